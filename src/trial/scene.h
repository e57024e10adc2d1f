// Parses a scene (tests/trials/*.trial; docs/fleet-trial.md lists its words) and runs it on a harness. A
// scene waits for conditions of the log; it waits for a fixed time only to show that nothing happens in it.
#pragma once

#include <string>
#include <vector>

#include "trial/harness.h"

namespace rockcrank::trial {

class Scene {
 public:
  explicit Scene(const std::string& path);  // throws std::runtime_error with file and line
  // Applies the configuration lines, which precede the first event.
  void set_up(Setup& setup) const;
  // Returns an empty string, or the failed line and what was seen instead.
  std::string play(Harness& harness) const;

 private:
  struct Step {
    int line = 0;
    std::string text;
    std::vector<std::string> positional;
    Options options;
  };
  bool is_setup(const Step& step) const;
  std::string run_step(Harness& harness, const Step& step, std::size_t& search_from) const;
  std::string path_;
  std::vector<Step> steps_;
};

}  // namespace rockcrank::trial
