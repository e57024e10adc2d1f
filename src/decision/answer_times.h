// How long an endpoint took to answer lately: the shortest and the longest duration.
#pragma once

#include <algorithm>

#include "decision/decision.h"

namespace rockcrank::state {

// The extremes of the values of the last one to two spans.
class RecentRange {
 public:
  void add(Millis now, Millis value) {
    advance(now);
    current_.add(value);
  }
  // Both are 0 where nothing was added lately.
  Millis shortest(Millis now) {
    advance(now);
    if (is_empty()) return 0;
    return std::min(previous_.shortest, current_.shortest);
  }
  Millis longest(Millis now) {
    advance(now);
    return std::max(previous_.longest, current_.longest);
  }

 private:
  static constexpr Millis span = 10000;
  static constexpr Millis no_value = 1e18;
  struct Range {
    Millis shortest = no_value, longest = 0;
    void add(Millis value) {
      shortest = std::min(shortest, value);
      longest = std::max(longest, value);
    }
  };

  bool is_empty() const { return previous_.shortest >= no_value && current_.shortest >= no_value; }
  void advance(Millis now) {
    if (now < began_at_ + span) return;
    previous_ = now < began_at_ + 2 * span ? current_ : Range{};
    current_ = Range{};
    began_at_ = now;
  }

  Range previous_, current_;
  Millis began_at_ = 0;
};

// Deliveries take longer than refusals, so they are kept apart.
struct AnswerTimes {
  RecentRange delivered, failed;
  Millis copied_at = -1e18;  // when a copy of an answer was last seen
  Millis longest(Millis now) { return std::max(delivered.longest(now), failed.longest(now)); }
};

}  // namespace rockcrank::state
