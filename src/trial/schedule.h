// A list of timed actions on the harness.
#pragma once

#include <functional>
#include <vector>

#include "trial/harness.h"

namespace rockcrank::trial {

class Schedule {
 public:
  using Action = std::function<void(Harness&)>;

  void add(Millis at, Action action);
  // Runs the actions, with times counted from now. Actions at the same time keep the order of insertion.
  void play(Harness& harness, const std::function<void(Millis at)>& after_each = {});

 private:
  struct TimedAction {
    Millis at = 0;
    Action action;
  };
  std::vector<TimedAction> actions_;
};

}  // namespace rockcrank::trial
