// Owns the notation of scenes (tests/trials/*.trial; docs/fleet-trial.md has the words) and plays one on a
// rig. A scene waits for conditions of the log, never for a time to pass but where nothing must come in it.
#pragma once

#include <string>
#include <vector>

#include "trial/harness.h"

namespace rockcrank::trial {

class Scene {
 public:
  explicit Scene(const std::string& path);  // throws std::runtime_error with file and line
  // What the lines before the first event tell of the world.
  void set_up(Setup& setup) const;
  // Empty: all that it waits for came. Else the line and what was seen instead.
  std::string play(Harness& harness) const;

 private:
  struct Step {
    int line = 0;
    std::string text;
    std::vector<std::string> positional;
    Options options;
  };
  bool is_setup(const Step& step) const;
  std::string run_step(Harness& harness, const Step& step, std::size_t& mark) const;
  std::string path_;
  std::vector<Step> steps_;
};

}  // namespace rockcrank::trial
