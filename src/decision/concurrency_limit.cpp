// Concurrency limits: how many calls may be in flight, in total and at each route and endpoint, and which
// call is canceled when healthy destinations need its slot.
#include <algorithm>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::set_stage(Call& call, CallStage stage) {
  calls_started_ += (stage == CallStage::started) - (call.stage == CallStage::started);
  calls_connecting_ += (stage == CallStage::connecting) - (call.stage == CallStage::connecting);
  call.stage = stage;
}

bool Decider::is_degraded(Route& route) {
  double slow_calls = route.slow_calls.value(now_), failures = route.failures.value(now_);
  return slow_calls > std::max(0.05, slow_call_share * route.completed_calls.value(now_)) ||
         failures > std::max(0.2, 0.25 * (route.successes.value(now_) + failures));
}

// Mean duration of a call: the route's own, with the mean over all routes as a prior of two calls.
Millis Decider::usual_duration(Route& route) {
  double all_calls = timed_calls_.value(now_),
         mean_of_all = all_calls > 0.01 ? total_duration_.value(now_) / all_calls : 0;
  return (route.total_duration.value(now_) + 2 * mean_of_all) / (route.timed_calls.value(now_) + 2);
}

// When an endpoint whose connections or queue were full may take one more call: after full_endpoint_hold, or
// one more per backoff step where it refuses calls when full.
Millis Decider::capacity_free_at(const Endpoint& e) const {
  int excess_calls = std::max(0, e.calls_in_flight + 1 - e.concurrency_limit);
  Millis free_at = excess_calls == 0 ? -never
                                     : e.limit_met_at + (e.refuses_when_full ? excess_calls * backoff_base
                                                                             : full_endpoint_hold);
  return std::max(free_at, now_ < e.online_at + settings_.warm_up_time ? e.not_before : -never);
}

// Calls far overdue at hung destinations hold slots that healthy destinations need. While a document waits
// only for a slot, the most overdue call is canceled; an unsafe document on it cannot be sent again.
bool Decider::needs_slot(Doc& doc) {
  if (!most_overdue_ || slots_taken() < settings_.slots || calls_canceled_ >= settings_.slots) return false;
  return std::get<0>(priority_of(doc)) < 2 && can_transmit_with(doc, settings_.slots + 1);
}

// Timeouts with hardly any late answers mean that destinations hang. Where late answers come too they are
// only slow, and canceling would discard work that the destinations go on with.
Call* Decider::find_most_overdue() {
  Call* worst = nullptr;
  if (!settings_.may_cancel) return worst;
  double max_factor =
      hung_calls_.value(now_) > 6 && late_answers_.value(now_) < 0.08 * hung_calls_.value(now_) ? 0.6 : 2.5;
  for (auto& [number, call] : calls_) {
    double factor = (now_ - call.sent_at) / overdue_after(*call.route) * call.route->timeout_factor;
    if (!call.canceled && factor > max_factor) worst = &call, max_factor = factor;
  }
  return worst;
}

void Decider::cancel_most_overdue(Doc& doc) {
  Call* call = most_overdue_;
  call->canceled = true, ++calls_canceled_, doc.not_before = now_ + settings_.tick;
  for (auto& [transmission, entry] : in_flight_)
    if (&calls_[std::get<0>(entry)] == call)
      actions_.canceled.push_back({transmission.first, transmission.second});
  ++counters_.canceled;
  log(*call->route, "called_off", {{"age_ms", now_ - call->sent_at}, {"calls_out", calls_in_flight_}});
  most_overdue_ = find_most_overdue();
}

}  // namespace rockcrank::internal
