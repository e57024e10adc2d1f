// The division of the fleet's budget; slow_start.h says what it is for.
#include "decision/slow_start.h"

#include <algorithm>

namespace rockcrank {
namespace {

// Of the allowed multiple, what is left for chance: calls of relays that decide alone come at random, so that
// some spans hold more than the mean.
constexpr double used_of_multiple = 0.85;
constexpr double most_of_capacity = 1.6;
// A rough limit may be told up to half too high.
constexpr double rough_limit_most = 1.5;
// All relays together try a destination at least once in this time.
constexpr double seconds_between_trials = 1;
// A relay's own part may go beyond its steady rate by the calls of one moment: the credit for one call, a
// trial, and the calls that follow it.
constexpr double calls_at_once = 5;

}  // namespace

SlowStart::SlowStart(const Settings& settings)
    : relays_(settings.relays),
      start_capacity_(settings.start_capacity),
      allowed_share_(std::min(most_of_capacity, used_of_multiple * settings.fall_multiple)),
      warm_within_(settings.warm_within) {}

double SlowStart::capacity_share(Millis age) const {
  if (warm_within_ <= 0) return 1;
  return start_capacity_ + (1 - start_capacity_) * std::clamp(age / warm_within_, 0.0, 1.0);
}

// Where the limit is known, the mean of the relay's own rate and its equal part of the limit: over the fleet
// the rates sum to the traffic and the parts to the limit, so the sum stays under the larger of the two. The
// larger of both for each relay would sum to up to twice as much.
double SlowStart::full_rate(const SlowStartInput& input) const {
  if (input.limit <= 0) return input.own_rate;
  double limit = input.limit_is_rough ? input.limit / rough_limit_most : input.limit;
  return (std::min(input.own_rate, limit) + limit / relays_) / 2;
}

double SlowStart::rate(const SlowStartInput& input, Millis age) const {
  double least = 1 / (seconds_between_trials * relays_);
  return std::max(full_rate(input) * capacity_share(age) * allowed_share_, least);
}

bool SlowStartMonitor::sent(Millis now, double rate, Millis fall_time) {
  while (!sent_.empty() && sent_.front() < now - fall_time) sent_.pop_front();
  sent_.push_back(now);
  return static_cast<double>(sent_.size()) > rate * fall_time / 1000 + calls_at_once;
}

}  // namespace rockcrank
