// Owns the verdict on a trial: it reads the log as text and says which promises were broken, with what was
// seen. It must share no code with the program under trial nor with the rig, and depends on the standard
// library only; it knows nothing but the log. docs/fleet-trial.md lists the log's lines and each check.
#pragma once

#include <string>
#include <vector>

namespace rockcrank::trial {

struct Violation {
  std::string check;                  // one word, by which planted breaks name it
  std::string summary;                // one line
  std::vector<std::string> evidence;  // the lines of the log that bear on it, in order
};

// Throws std::runtime_error where the log cannot be read.
std::vector<Violation> audit(const std::string& log);

}  // namespace rockcrank::trial
