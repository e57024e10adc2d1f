// Silence of a route: none of its calls is answered for longer than chance explains. A destination that hangs
// is noticed by all calls in flight together, long before each of them is overdue by itself.
#include <algorithm>
#include <map>

#include "decision/decider.h"

namespace rockcrank::internal {

// What the calls in flight at a route have waited without any response from it.
struct Decider::UnansweredCalls {
  int count = 0;
  Millis total_wait = 0;
  Millis since = never;  // the last response, or the first of these calls if it was sent later
};

std::map<Route*, Decider::UnansweredCalls> Decider::unanswered_calls() {
  std::map<Route*, UnansweredCalls> by_route;
  for (auto& [number, call] : calls_) {
    Route& route = *call.route;
    bool waits = call.stage == CallStage::started && !call.counted && !call.canceled;
    if (!waits || route.silent || route.breaker != BreakerState::closed) continue;
    Millis waits_since = std::max(call.sent_at, route.responded_at);
    UnansweredCalls& calls = by_route[&route];
    ++calls.count;
    calls.total_wait += now_ - waits_since;
    calls.since = std::min(calls.since, waits_since);
  }
  // With fewer calls out the lower rate would delay the failures that open the breaker.
  std::erase_if(by_route, [](const auto& entry) { return entry.second.count < failures_to_open; });
  return by_route;
}

// One call is overdue after overdue_durations of its usual duration; several calls that wait together are as
// unlikely to get no response when their waits add up to as much.
void Decider::find_silent_routes() {
  for (auto& [route, calls] : unanswered_calls()) {
    if (now_ < silence_due_at(*route, calls)) continue;
    route->silent = true, route->silent_since = calls.since;
    suspect_silent_route(*route);
  }
}

Millis Decider::silence_due_at(Route& route, const UnansweredCalls& calls) {
  Millis missing_wait = overdue_duration(route) - calls.total_wait;
  return std::max(calls.since + min_silence, now_ + missing_wait / calls.count);
}

void Decider::suspect_silent_route(Route& route) {
  record_rate_before_outage(route);
  route.failing_since = std::min(route.failing_since, now_);
  route.last_failure_at = now_;
  if (is_suspected(route)) route.tokens = uniform(0, 1), route.refilled_at = now_;
  mark_for_persistence(route);
  log(route, "silent", {{"silent_ms", now_ - route.silent_since}, {"calls_out", route.calls_in_flight}});
}

Millis Decider::next_silence_due() {
  Millis due = never;
  for (auto& [route, calls] : unanswered_calls()) due = std::min(due, silence_due_at(*route, calls));
  return due;
}

}  // namespace rockcrank::internal
