// Tests the run-time check of slow start: calls that the rate allowed when they were sent hold, others do
// not.

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "decision/slow_start.h"

namespace rockcrank {
namespace {

constexpr Millis window = 2000;
constexpr Millis end_time = 4000;
constexpr double high_rate = 30, low_rate = 10;  // calls per second

using RateAt = std::function<double(Millis)>;

// Sends calls at the actual rate where `allowed` is allowed. Returns when the monitor first reported too
// many, or a negative time.
Millis first_excess(const RateAt& allowed, const RateAt& actual) {
  SlowStartMonitor monitor;
  for (Millis now = 0; now < end_time; now += 1000 / actual(now))
    if (monitor.record_call(now, allowed(now), window)) return now;
  return -1;
}

double constant(Millis) { return high_rate; }
double falling(Millis now) { return now < window ? high_rate : low_rate; }
double rising(Millis now) { return low_rate + (high_rate - low_rate) * std::min(1.0, now / window); }

// Guards against a violation reported for calls that were allowed before a refusal lowered the rate.
TEST(SlowStartMonitor, CallsSentBeforeTheRateFellAreNotAnExcess) {
  EXPECT_LT(first_excess(falling, falling), 0);
}

TEST(SlowStartMonitor, CallsAtARisingOrConstantRateAreNotAnExcess) {
  EXPECT_LT(first_excess(rising, rising), 0);
  EXPECT_LT(first_excess(constant, constant), 0);
}

// Guards against an excess that is not seen, as the highest rate of the window is taken for all of it.
TEST(SlowStartMonitor, KeepingTheOldRateAfterItFellIsAnExcess) {
  const Millis found_at = first_excess(falling, constant);
  EXPECT_GE(found_at, window);
  EXPECT_LE(found_at, window + 500);
}

TEST(SlowStartMonitor, TheFinalRateFromTheBeginningIsAnExcess) {
  const Millis found_at = first_excess(rising, constant);
  EXPECT_GE(found_at, 0);
  EXPECT_LE(found_at, window);
}

TEST(SlowStartMonitor, MoreThanAConstantRateIsAnExcess) {
  EXPECT_GE(first_excess([](Millis) { return low_rate; }, constant), 0);
}

}  // namespace
}  // namespace rockcrank
