// Division of the fleet's slow-start budget among its relays.
#include "decision/slow_start.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rockcrank {
namespace {

// Used part of the overload multiple. With the sums of full_rate() and a capacity a little above the limit,
// the calls of all relays come to 0.72 to 0.83 of what is allowed in the mean. The rest, with the slack for
// chance that the rule adds, covers windows that hold more: relays that decide alone call at random moments.
constexpr double budget_utilization = 0.83;
// All relays together call a destination at least once in this time.
constexpr double seconds_between_trials = 1;
// After slow start the rate of each relay doubles in each of these periods, starting from at least
// min_ramp_rate.
constexpr Millis ramp_doubling_time = 500;
constexpr double min_ramp_rate = 1;
// A relay may exceed its steady rate by a burst: one token, a trial call and the confirming calls.
constexpr double burst_calls = 5;

}  // namespace

SlowStart::SlowStart(const Settings& settings)
    : relays_(settings.relays),
      start_capacity_(settings.start_capacity),
      allowed_multiple_(budget_utilization * settings.overload_multiple),
      warm_up_time_(settings.warm_up_time) {}

double SlowStart::capacity_share(Millis age) const {
  if (warm_up_time_ <= 0) return 1;
  return start_capacity_ + (1 - start_capacity_) * std::clamp(age / warm_up_time_, 0.0, 1.0);
}

// With a known limit: an equal part of it, and half of what this relay called above that part. Over the fleet
// the parts sum to the limit and the halves to at most half of the traffic, however it is spread, so the sum
// stays under one and a half times the limit. With no known limit the relays' own rates sum to the traffic.
double SlowStart::full_rate(const SlowStartInput& input) const {
  if (input.limit <= 0) return input.own_rate;
  double equal_part = input.limit / relays_;
  return equal_part + std::max(0.0, std::min(input.own_rate, input.limit) - equal_part) / 2;
}

double SlowStart::rate(const SlowStartInput& input, Millis age) const {
  double min_rate = 1 / (seconds_between_trials * relays_);
  double budget = std::max(full_rate(input) * capacity_share(age) * allowed_multiple_, min_rate);
  if (age <= warm_up_time_) return budget;
  return std::max(budget, min_ramp_rate) * std::exp2((age - warm_up_time_) / ramp_doubling_time);
}

bool SlowStartMonitor::record_call(Millis now, double rate, Millis overload_window) {
  const Millis window_start = now - overload_window;
  while (!calls_.empty() && calls_.front().sent_at < window_start) remove_oldest();
  add({now, std::min(rate, max_rate), 0});
  const Call& oldest = calls_.front();
  const double allowed_before_oldest = oldest.rate * (oldest.sent_at - window_start) / 1000;
  return static_cast<double>(calls_.size()) > allowed_before_oldest + allowed_between_calls_ + burst_calls;
}

void SlowStartMonitor::add(Call call) {
  if (!calls_.empty()) {
    const Call& previous = calls_.back();
    call.allowed_since_previous =
        std::max(previous.rate, call.rate) * (call.sent_at - previous.sent_at) / 1000;
    allowed_between_calls_ += call.allowed_since_previous;
  }
  calls_.push_back(call);
}

void SlowStartMonitor::remove_oldest() {
  calls_.pop_front();
  if (calls_.empty()) allowed_between_calls_ = 0;
  else allowed_between_calls_ -= std::exchange(calls_.front().allowed_since_previous, 0);
}

}  // namespace rockcrank
