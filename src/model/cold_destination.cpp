// The load of the destination of a cold return.
#include "model/cold_destination.h"

#include <algorithm>

namespace rockcrank::model {
namespace {

constexpr Millis limit_period = 1000;  // the allowance is that of so much time
constexpr Millis hint_period = 300;

}  // namespace

ColdDestination::ColdDestination(const ColdScenario& scenario)
    : limit_(scenario.limit),
      allowance_depth_(std::max(2.0, scenario.limit * limit_period / 1000)),
      refusals_use_limit_(scenario.refusals_use_limit),
      queue_time_(scenario.queue_time),
      allowance_(allowance_depth_) {}

void ColdDestination::refill(Millis now) {
  allowance_ = std::min(allowance_depth_, allowance_ + limit_ * (now - refilled_at_) / 1000);
  refilled_at_ = now;
}

ColdDestination::Admission ColdDestination::admit(Millis now, double capacity) {
  refill(now);
  Millis start = std::max(now, busy_until_);
  bool accepted = allowance_ >= 1 && start - now <= queue_time_;
  if (accepted || refusals_use_limit_) allowance_ = std::max(0.0, allowance_ - 1);
  if (!accepted) return {false, 0};
  busy_until_ = start + 1000 / capacity;
  return {true, start - now};
}

void ColdDestination::refuse(Millis now) {
  refill(now);
  if (refusals_use_limit_) allowance_ = std::max(0.0, allowance_ - 1);
}

double ColdDestination::told_remaining_share(Millis now) {
  if (now >= told_at_ + hint_period) {
    refill(now);
    told_share_ = allowance_ / allowance_depth_;
    told_at_ = now;
  }
  return told_share_;
}

}  // namespace rockcrank::model
