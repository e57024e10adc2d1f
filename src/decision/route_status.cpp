// Route status exchanged with other relays, and kept for this relay's next process.
#include <algorithm>
#include <utility>

#include "decision/decider.h"

namespace rockcrank::internal {

std::vector<RouteStatus> Decider::route_statuses(bool all) {
  std::vector<RouteStatus> statuses;
  for (auto& [key, route] : routes_) {
    if (!all && !std::exchange(route.publish_pending, false)) continue;
    auto status = route.status(key.first, now_, in_slow_start(route), all);
    if (!all || status.retry_after_left > 0 || status.state != RouteState::healthy || status.rate_limit > 0)
      statuses.push_back(status);
  }
  return statuses;
}

std::vector<RouteStatus> Decider::route_statuses_to_persist() {
  std::vector<RouteStatus> statuses;
  if (!std::exchange(persist_pending_, false)) return statuses;
  for (auto& [key, route] : routes_) {
    if (!std::exchange(route.persist_pending, false)) continue;
    auto status = route.status(key.first, now_, in_slow_start(route), true);
    if (is_suspected(route)) status.state = RouteState::down, status.state_age = now_ - route.last_failure_at;
    status.from_this_relay = true;
    statuses.push_back(status);
  }
  return statuses;
}

// Applies a status as if it had been seen here at that time, unless something newer is known. A route that
// the endpoint list has not named gets no call by it, and is forgotten after the longest document lifetime.
// Where the route is healthy elsewhere while its breaker is open here, the trial call is moved forward, to a
// moment drawn from the slow-start rate of this relay.
void Decider::apply_route_status(const RouteStatus& status) {
  RouteKey key{status.per_endpoint, status.route};
  if (!routes_.count(key) && routes_.size() > endpoints_.size() + max_unlisted_routes) return;
  Route& route = routes_[key];
  const bool was_pending = route.publish_pending,
             breaker_open = route.breaker == BreakerState::open || route.breaker == BreakerState::half_open;
  Millis seen_at = now_ - status.state_age, met_at = now_ - status.limit_age,
         until = now_ + status.retry_after_left;
  Millis recovered_at = route.slow_start_since > now_ ? -never : route.slow_start_since,
         oldest_relevant = now_ - max_lifetime_;
  // What this relay saw itself stays true until it sees the recovery.
  Millis oldest_outage = status.from_this_relay ? -never : oldest_relevant;
  route.id = status.route, route.learned_at = now_;
  // Another relay's refusal extends this relay's streak of refusals.
  if (status.rate_limit > 0 && status.remaining_share < 0.1 && met_at > route.answered_at &&
      route.consecutive_refusals > 0)
    ++route.consecutive_refusals;
  if (status.rate_limit > 0 &&
      met_at > std::max({route.load_hints_at, route.rate_reduced_at, oldest_relevant}))
    route.rate_limit = status.rate_limit, route.remaining_share = status.remaining_share,
    route.load_hints_at = met_at;
  if (status.retry_after_left > 0 && until > route.retry_after_until)
    apply_retry_after(route, route.learned_retry_after_until = until,
                      status.remaining_share < 0.1 && now_ < met_at + max_limit_window);
  // Another relay's rate says nothing about this relay's part.
  double own_rate = status.from_this_relay ? status.rate_before_outage : 0;
  // Relays that find a recovery one after another each report their own trial call: the first report counts.
  if (status.state == RouteState::recovering && !recovery_is_known(route) &&
      seen_at > std::max(recovered_at, now_ - settings_.warm_up_time))
    record_rate_before_outage(route, own_rate), begin_slow_start(route, seen_at);
  if (status.state == RouteState::down && !breaker_open &&
      seen_at >= std::max({route.answered_at, recovered_at, oldest_outage})) {
    record_rate_before_outage(route, own_rate), route.failing_since = std::min(route.failing_since, now_);
    route.failures.add(now_, failures_to_open), open_breaker(route), route.down_seen_at = seen_at;
  } else if (status.state != RouteState::down && route.breaker == BreakerState::open &&
             seen_at > route.down_seen_at) {
    route.down_seen_at = seen_at;
    // Once per outage: the minimum of many draws would not be spread at random.
    if (std::exchange(route.trial_advanced_at, now_) < route.opened_at) {
      Millis age =
          status.state == RouteState::recovering ? std::min(status.state_age, settings_.warm_up_time) : 0;
      route.next_trial_at =
          std::min(route.next_trial_at, now_ + uniform(0, 1) * 1000 / slow_start_rate(route, age));
    }
  }
  route.publish_pending = was_pending;
}

}  // namespace rockcrank::internal
