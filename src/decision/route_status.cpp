// Route status exchanged with other relays, and kept for this relay's next process.
#include <algorithm>
#include <utility>

#include "decision/decider.h"

namespace rockcrank::internal {

std::vector<RouteStatus> Decider::route_statuses(bool all) {
  std::vector<RouteStatus> known;
  for (auto& [key, route] : routes_) {
    if (!all && !std::exchange(route.publish_pending, false)) continue;
    auto one = route.status(key.first, now_, in_slow_start(route), all);
    if (!all || one.retry_after_left > 0 || one.state != RouteState::healthy || one.rate_limit > 0)
      known.push_back(one);
  }
  return known;
}

std::vector<RouteStatus> Decider::route_statuses_to_persist() {
  std::vector<RouteStatus> kept;
  if (!std::exchange(persist_pending_, false)) return kept;
  for (auto& [key, route] : routes_) {
    if (!std::exchange(route.persist_pending, false)) continue;
    auto one = route.status(key.first, now_, in_slow_start(route), true);
    if (is_suspected(route)) one.state = RouteState::down, one.state_age = now_ - route.last_failure_at;
    one.from_this_relay = true;
    kept.push_back(one);
  }
  return kept;
}

// Applies a status as if it had been seen here at that time, unless something newer is known. A route that
// the endpoint list has not named gets no call by it, and is forgotten after the longest document lifetime.
// Where the route is healthy elsewhere while its breaker is open here, the trial call is moved forward, to a
// moment drawn from the slow-start rate of this relay.
void Decider::apply_route_status(const RouteStatus& k) {
  RouteKey key{k.per_endpoint, k.route};
  if (!routes_.count(key) && routes_.size() > endpoints_.size() + max_unlisted_routes) return;
  Route& route = routes_[key];
  const bool news = route.publish_pending,
             shut = route.breaker == BreakerState::open || route.breaker == BreakerState::half_open;
  Millis seen = now_ - k.state_age, met = now_ - k.limit_age, until = now_ + k.retry_after_left;
  Millis back = route.slow_start_since > now_ ? -never : route.slow_start_since,
         oldest = now_ - max_lifetime_;
  route.id = k.route, route.learned_at = now_;
  // Another relay's refusal extends this relay's streak of refusals.
  if (k.rate_limit > 0 && k.remaining_share < 0.1 && met > route.answered_at &&
      route.consecutive_refusals > 0)
    ++route.consecutive_refusals;
  if (k.rate_limit > 0 && met > std::max({route.load_hints_at, route.rate_reduced_at, oldest}))
    route.rate_limit = k.rate_limit, route.remaining_share = k.remaining_share, route.load_hints_at = met;
  if (k.retry_after_left > 0 && until > route.retry_after_until)
    apply_retry_after(route, route.learned_retry_after_until = until,
                      k.remaining_share < 0.1 && now_ < met + max_limit_window);
  // Another relay's rate says nothing about this relay's part.
  double own_rate = k.from_this_relay ? k.rate_before_outage : 0;
  // Relays that find a recovery one after another each report their own trial call: the first report counts.
  if (k.state == RouteState::recovering && !recovery_is_known(route) &&
      seen > std::max(back, now_ - settings_.warm_up_time))
    record_rate_before_outage(route, own_rate), begin_slow_start(route, seen);
  if (k.state == RouteState::down && !shut && seen >= std::max({route.answered_at, back, oldest})) {
    record_rate_before_outage(route, own_rate), route.failing_since = std::min(route.failing_since, now_);
    route.failures.add(now_, failures_to_open), open_breaker(route), route.down_seen_at = seen;
  } else if (k.state != RouteState::down && route.breaker == BreakerState::open &&
             seen > route.down_seen_at) {
    route.down_seen_at = seen;
    // Once per outage: the minimum of many draws would not be spread at random.
    if (std::exchange(route.trial_advanced_at, now_) < route.opened_at) {
      Millis age = k.state == RouteState::recovering ? std::min(k.state_age, settings_.warm_up_time) : 0;
      route.next_trial_at =
          std::min(route.next_trial_at, now_ + uniform(0, 1) * 1000 / slow_start_rate(route, age));
    }
  }
  route.publish_pending = news;
}

}  // namespace rockcrank::internal
