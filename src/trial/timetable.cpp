// The order of a trial's actions; timetable.h says what this owns.
#include "trial/timetable.h"

#include <algorithm>
#include <utility>

namespace rockcrank::trial {

void Timetable::add(Millis at, Action action) { entries_.push_back({at, std::move(action)}); }

void Timetable::play(Rig& rig, const std::function<void(Millis at)>& after_each) {
  std::ranges::stable_sort(entries_, {}, &Entry::at);
  Millis begun = rig.now();
  for (const auto& entry : entries_) {
    rig.until(begun + entry.at - rig.now(), [] { return false; });
    entry.action(rig);
    if (after_each) after_each(entry.at);
  }
}

}  // namespace rockcrank::trial
