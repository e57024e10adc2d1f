// Mutates a trial's log so that it shows a violation, as a faulty relay would have caused it, to prove that
// the auditor detects it. Used only with --plant.
#pragma once

#include <string>
#include <vector>

#include "trial/log.h"

namespace rockcrank::trial {

std::vector<std::string> violation_names();
// Returns false if the log holds nothing that can be mutated in this way. Throws std::out_of_range for an
// unknown name.
bool inject_violation(const std::string& name, Log& log);

}  // namespace rockcrank::trial
