// Runs timed actions in the order of time.
#include "trial/schedule.h"

#include <algorithm>
#include <utility>

namespace rockcrank::trial {

void Schedule::add(Millis at, Action action) { actions_.push_back({at, std::move(action)}); }

void Schedule::play(Harness& harness, const std::function<void(Millis at)>& after_each) {
  std::ranges::stable_sort(actions_, {}, &TimedAction::at);
  Millis start = harness.now();
  for (const auto& timed : actions_) {
    harness.run_until(start + timed.at - harness.now(), [] { return false; });
    timed.action(harness);
    if (after_each) after_each(timed.at);
  }
}

}  // namespace rockcrank::trial
