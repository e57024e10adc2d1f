// Slow start: the rate at which one relay calls a destination that recovers from an outage, or may be about
// to. Each relay decides alone, so the budget of the whole fleet is divided here: the sum over all relays
// stays under what the settings allow, whatever each of them knows. docs/design.md has the derivation.
#pragma once

#include <cstdint>
#include <deque>

#include "decision/decision.h"

namespace rockcrank {

// What one relay knows about a destination when it computes its part.
struct SlowStartInput {
  double own_rate = 0;  // calls per second of this relay before the outage, without failed ones
  double limit = 0;     // calls per second that the destination takes from all relays; 0: unknown
};

class SlowStart {
 public:
  // After slow start the rate still ramps up: what was held back must not be sent at once, as the time of the
  // recovery is each relay's own estimate.
  static constexpr Millis ramp_time = 5000;

  explicit SlowStart(const Settings& settings);

  // Calls per second that this relay may send at this age of the slow start; age 0 applies too while the
  // destination may still be down.
  double rate(const SlowStartInput& input, Millis age) const;
  // Lower bound of the share of its capacity that the destination has at this age.
  double capacity_share(Millis age) const;

 private:
  double full_rate(const SlowStartInput& input) const;

  double relays_;
  double start_capacity_;
  double allowed_multiple_;  // of the full capacity, once all of it is there
  Millis warm_up_time_;
};

// Run-time check of slow start, independent of the code that decides: finds calls beyond this relay's part.
// Each call counts by the rates allowed at its own time, as a refusal may lower the rate at any moment.
class SlowStartMonitor {
 public:
  // Records a call to a destination in slow start, at the rate (calls per second) allowed now. Returns true
  // if more calls were sent within the overload window than this relay's part allows.
  bool record_call(Millis now, double rate, Millis overload_window);

 private:
  static constexpr double max_rate = 1e6;  // keeps the sum exact enough
  struct Call {
    Millis sent_at = 0;
    double rate = 0;
    double allowed_since_previous = 0;  // calls
  };
  void add(Call call);
  void remove_oldest();

  std::deque<Call> calls_;  // within the window
  double allowed_between_calls_ = 0;
};

}  // namespace rockcrank
