// Owns a list of what is done to the world under trial and when, and carries it out in the order of time. It
// must never draw nor judge.
#pragma once

#include <functional>
#include <vector>

#include "trial/rig.h"

namespace rockcrank::trial {

class Timetable {
 public:
  using Action = std::function<void(Rig&)>;

  void add(Millis at, Action action);
  // From now on. Actions of one moment keep the order in which they were added.
  void play(Rig& rig, const std::function<void(Millis at)>& after_each = {});

 private:
  struct Entry {
    Millis at = 0;
    Action action;
  };
  std::vector<Entry> entries_;
};

}  // namespace rockcrank::trial
