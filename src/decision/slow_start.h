// Slow start: how much a destination that returns from an outage, or may be about to, gets from one relay.
// Each relay decides alone, so the budget of the whole fleet is divided here: the sum over all relays stays
// under what the settings allow, whatever each of them knows. docs/design.md has the derivation.
#pragma once

#include <cstdint>
#include <deque>

#include "decision/decision.h"

namespace rockcrank {

// What one relay knows of a destination when it works out its part.
struct SlowStartInput {
  double own_rate = 0;  // calls a second of this relay before the outage, those that failed not counted
  double limit = 0;     // calls a second that the destination takes from all relays; 0: not known
};

class SlowStart {
 public:
  // After the slow start the rate still opens step by step: what was held back must not go at once, as the
  // age of the return is each relay's own estimate.
  static constexpr Millis ramp_time = 5000;

  explicit SlowStart(const Settings& settings);

  // Calls a second that this relay may send at this age of the return; at age 0 also while the destination
  // may still be out.
  double rate(const SlowStartInput& input, Millis age) const;
  // The share of its capacity that the destination has at this age, at the least.
  double capacity_share(Millis age) const;

 private:
  double full_rate(const SlowStartInput& input) const;

  double relays_;
  double start_capacity_;
  double allowed_multiple_;  // of the warm capacity, at an age at which all of it is there
  Millis warm_up_time_;
};

// Counts at run time the sends that go beyond this relay's part: an independent check of the guard above. It
// decides nothing.
class SlowStartMonitor {
 public:
  // A call goes to a destination in slow start, whose rate is so many calls a second now. True: within the
  // fall time more calls went than this relay's part allows.
  bool record_call(Millis now, double rate, Millis fall_time);

 private:
  std::deque<Millis> sent_at_;
};

}  // namespace rockcrank
