// The rate at which this relay calls a route: its share of the rate limit, of the fleet's slow-start budget,
// and of the budget for a destination that may be down.
#include <algorithm>
#include <cmath>

#include "decision/decider.h"

namespace rockcrank::internal {

// Whether slow start began after the last known failure, here or on another relay.
bool Decider::recovery_is_known(const Route& route) const {
  return in_slow_start(route) && route.slow_start_since > std::max(route.down_seen_at, route.last_failure_at);
}

// The relay's own rate before an outage, on which its slow start is based. The failed call itself is left
// out: a relay that has just called would otherwise seem to call more often than it does, the more so the
// less it calls.
void Decider::record_rate_before_outage(Route& route, double reported_rate, const Call* failed_call) {
  if (in_slow_start(route) || route.failing_since < never) return;
  double own_rate = route.calls.per_second(now_);
  if (failed_call) own_rate -= route.calls.weight_per_second(now_ - failed_call->sent_at);
  route.rate_before_outage = std::max({0.0, reported_rate, own_rate});
}

// Starts with a random token level: where all relays were told the same moment, they must not call at the
// same instant.
void Decider::begin_slow_start(Route& route, Millis since) {
  route.slow_start_since = since, mark_for_persistence(route);
  route.refilled_at = std::max(now_, since), route.tokens = uniform(0, 1);
}

// Calls per second that this relay allows itself on a route. Rate limits are shared with all other relays.
double Decider::allowed_rate(Route& route) {
  double rate = never, own_part = 1.0 / settings_.relays;
  if (route.rate_limit > 0) {
    // The relay's own part of the limit, and more only while fresh hints say that the others leave some of
    // it. With no fresh hints half of the whole limit: a burst is mostly one relay's, and refusals cut the
    // rate where others burst too.
    bool hints_are_fresh = now_ < route.load_hints_at + 1500;
    double spare_share =
        hints_are_fresh ? std::clamp((route.remaining_share - spare_limit_share) / 0.4, 0.0, 1.0) : 0;
    double own_part_used = hints_are_fresh ? std::clamp(0.5 + route.remaining_share / 0.4, 0.5, 1.0) : 1;
    rate = route.rate_limit * (own_part * own_part_used + (1 - own_part) * spare_share);
    if (own_part_used >= 1) rate = std::max(rate, 0.5 * route.rate_limit);
  }
  if (route.reduced_rate > 0)
    rate = std::min(rate, route.reduced_rate * std::exp((now_ - route.rate_reduced_at) / 4000));
  if (now_ < route.slow_start_since + settings_.warm_up_time + SlowStart::ramp_time)
    rate = std::min(rate, slow_start_rate(route, std::max(0.0, now_ - route.slow_start_since)));
  if (is_suspected(route)) rate = std::min(rate, suspected_rate(route));
  return rate;
}

// Calls per second that a destination takes from this relay at this age of its slow start.
double Decider::slow_start_rate(const Route& route, Millis age) const {
  return slow_start_.rate({route.rate_before_outage, route.rate_limit}, age);
}

// After a first failure, which is mostly chance, the rate of a relay that hardly ever calls there is taken
// from that one call.
double Decider::suspected_rate(Route& route) {
  if (route.silent || std::max(route.consecutive_failures, route.consecutive_refusals) > 1)
    return slow_start_rate(route, 0);
  double own_rate = std::max(route.rate_before_outage, 0.5 * route.calls.weight_per_second(0));
  Millis age = std::min(now_ - route.failing_since, settings_.warm_up_time);
  return slow_start_.rate({own_rate, route.rate_limit}, age);
}

// A destination whose calls fail may be down, and may recover at any moment: until a call is answered it gets
// the rate that it takes at the start of slow start. A first failure alone is mostly chance, so the rate
// grows after it. During slow start a single refusal is enough.
bool Decider::is_suspected(Route& route) {
  if (settings_.relays <= 1 || route.breaker != BreakerState::closed || route.failing_since >= never)
    return false;
  return route.silent || route.failures.value(now_) > route.successes.value(now_) ||
         refuses_persistently(route) || (in_slow_start(route) && route.consecutive_refusals > 0);
}

// Refusals without hints mean a met rate limit or an outage. A streak longer than a limit's window means an
// outage, but only a relay that calls several times within the window can tell; for others two refusals are
// enough.
bool Decider::refuses_persistently(const Route& route) const {
  bool calls_seldom = route.rate_before_outage * max_limit_window < 1000;
  return route.consecutive_refusals > 1 &&
         (calls_seldom || route.rate_reduced_at - route.failing_since > max_limit_window);
}

// Refills the route's token bucket (capacity 1) at the allowed rate; a call takes one token.
double Decider::available_tokens(Route& route) {
  route.tokens =
      std::min(1.0, route.tokens + allowed_rate(route) * std::max(0.0, now_ - route.refilled_at) / 1000);
  route.refilled_at = std::max(route.refilled_at, now_);
  return route.tokens;
}

// When the next call may go to this route by its Retry-After, breaker, concurrency cap and rate; never: not
// before some event.
Millis Decider::next_call_at(Route& route) {
  if (now_ < route.retry_after_until) return route.retry_after_until;
  if (route.breaker == BreakerState::open) return route.next_trial_at;
  int max_in_flight = route.breaker == BreakerState::half_open    ? 1
                      : route.breaker == BreakerState::confirming ? 2
                                                                  : settings_.slots;
  // A trial call that hangs is known to have failed once it is overdue, long before it times out.
  int in_flight = route.breaker == BreakerState::half_open ? calls_not_overdue(route) : route.calls_in_flight;
  if (in_flight >= std::min(max_in_flight, max_calls(route)) || route.calls_in_flight >= max_calls(route) ||
      now_ + 2 * usual_duration(route) > shutdown_at_)
    return never;
  double rate = allowed_rate(route),
         missing_tokens = 1 - (is_slow_start_limited(route) ? 0 : 0.3 * rate) - available_tokens(route);
  return missing_tokens <= 1e-9 ? now_ : now_ + std::min(500.0, 1000 * missing_tokens / rate);
}

int Decider::calls_not_overdue(const Route& route) const {
  return static_cast<int>(std::ranges::count_if(calls_, [&](const auto& entry) {
    return entry.second.route == &route && entry.second.document_count > 0 && !entry.second.overdue;
  }));
}

Millis Decider::next_call_at(const Destination& destination) {
  Millis earliest = never;
  for (Endpoint* e : destination.ranked_endpoints) earliest = std::min(earliest, next_call_at(*e->route));
  return earliest;
}

}  // namespace rockcrank::internal
