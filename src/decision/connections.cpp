// Connection reuse: which idle connections are kept or closed, and where connections are opened in advance.
#include <algorithm>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::note_connecting(DocId doc, int transmission) {
  auto found = in_flight_.find({doc, transmission});
  if (found != in_flight_.end()) set_stage(calls_[std::get<0>(found->second)], CallStage::connecting);
}

// In a large fleet each relay opens one at most, closed again if unused. Where a connection cap was met, up
// to half of the concurrency limit met.
bool Decider::may_preconnect(EndpointId id, int connections) {
  auto found = endpoints_.find(id);
  if (found == endpoints_.end() || !found->second.accepts_calls() || sending_paused_ || shutdown_at_ < never)
    return false;
  Endpoint& e = found->second;
  const Route& r = *e.route;
  int max_connections = settings_.relays > min_connection_cap ? 1 : max_calls(*e.route),
      failures = r.consecutive_failures + e.consecutive_failures;
  bool is_unhealthy =
      r.breaker != BreakerState::closed || failures > 0 || r.consecutive_refusals > 1 || in_slow_start(r);
  Millis allowed_at = std::max({r.retry_after_until, e.online_at + settings_.warm_up_time,
                                capacity_free_at(e), e.connection_cap_met_at + connection_cap_memory});
  if (is_unhealthy || now_ < allowed_at ||
      connections >= (e.connection_cap_met_at > -never ? std::min(max_connections, e.concurrency_limit / 2)
                                                       : max_connections))
    return false;
  if (e.calls_in_flight == 0) e.idle_since = std::min(e.idle_since, now_);
  return true;
}

// How long an idle connection is kept: in a large fleet for the time in which min_connection_cap calls arrive
// there from all relays.
Millis Decider::idle_timeout(const Endpoint& e) {
  double own_rate = e.route->calls.per_second(now_), limit = e.route->rate_limit;
  if (settings_.relays <= min_connection_cap)
    return connect_failures_.value(now_) > 0.3 && own_rate * usual_duration(*e.route) < 100 ? 0 : never;
  return 1000 * min_connection_cap / std::max(0.1, limit > 0 ? limit : own_rate * settings_.relays);
}

// Whether the endpoint's idle connections are to be closed. This runs once per trial_delay, so it rounds by
// half of that.
bool Decider::should_close_idle(const Endpoint& e) {
  if (e.calls_in_flight > 0 || e.idle_since >= never) return false;
  return !e.accepts_calls() || now_ + trial_delay / 2 >= e.idle_since + idle_timeout(e);
}

}  // namespace rockcrank::internal
