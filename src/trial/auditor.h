// Audits a trial: reads the log as text and reports which guarantees were violated, with the evidence. It
// shares no code with the relay or the harness, depends on the standard library only, and knows nothing but
// the log. docs/fleet-trial.md lists the log's lines and each check.
#pragma once

#include <string>
#include <vector>

namespace rockcrank::trial {

struct Violation {
  std::string check;                  // name of the check, also that of the injected violation
  std::string summary;                // one line
  std::vector<std::string> evidence;  // relevant lines of the log, in order
};

// Throws std::runtime_error where the log cannot be read.
std::vector<Violation> audit(const std::string& log);

}  // namespace rockcrank::trial
