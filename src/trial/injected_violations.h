// Owns the planted breaks: each makes the stand-ins' log say one thing that must not be, as a broken program
// would have made it say, to prove that the auditor sees it. It must never be used but where asked for.
#pragma once

#include <string>
#include <vector>

#include "trial/log.h"

namespace rockcrank::trial {

std::vector<std::string> violation_names();
// False: the log holds nothing in which the break could be planted. Throws std::out_of_range: no such plant.
bool inject_violation(const std::string& name, Log& log);

}  // namespace rockcrank::trial
