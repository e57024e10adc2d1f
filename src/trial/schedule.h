// Owns a list of what is done to the world under trial and when, and carries it out in the order of time. It
// must never draw nor judge.
#pragma once

#include <functional>
#include <vector>

#include "trial/harness.h"

namespace rockcrank::trial {

class Schedule {
 public:
  using Action = std::function<void(Harness&)>;

  void add(Millis at, Action action);
  // From now on. Actions of one moment keep the order in which they were added.
  void play(Harness& harness, const std::function<void(Millis at)>& after_each = {});

 private:
  struct TimedAction {
    Millis at = 0;
    Action action;
  };
  std::vector<TimedAction> actions_;
};

}  // namespace rockcrank::trial
