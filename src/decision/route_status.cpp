// What is known of routes, as it is told to other relays and to this relay's next process, and learnt from
// them.
#include <algorithm>
#include <utility>

#include "decision/decider.h"

namespace rockcrank::internal {

std::vector<RouteStatus> Decider::route_statuses(bool all) {
  std::vector<RouteStatus> known;
  for (auto& [key, route] : routes_) {
    if (!all && !std::exchange(route.news, false)) continue;
    auto one = route.known(key.first, now_, is_cold(route), all);
    if (!all || one.retry_after_left > 0 || one.state != RouteState::healthy || one.rate_limit > 0)
      known.push_back(one);
  }
  return known;
}

std::vector<RouteStatus> Decider::route_statuses_to_persist() {
  std::vector<RouteStatus> kept;
  if (!std::exchange(some_to_keep_, false)) return kept;
  for (auto& [key, route] : routes_) {
    if (!std::exchange(route.keep, false)) continue;
    auto one = route.known(key.first, now_, is_cold(route), true);
    if (is_suspected(route)) one.state = RouteState::down, one.state_age = now_ - route.failed_at;
    one.from_this_relay = true;
    kept.push_back(one);
  }
  return kept;
}

// Counts as if seen here then, where nothing newer was. A route that the list has not named gets no call by
// it, and is forgotten as a document of now would be. Well elsewhere, while it is shut here: its trial goes
// sooner, at a moment drawn from what a cold destination bears of this relay.
void Decider::apply_route_status(const RouteStatus& k) {
  RouteKey key{k.per_endpoint, k.route};
  if (!routes_.count(key) && routes_.size() > endpoints_.size() + learnt_most) return;
  Route& route = routes_[key];
  const bool news = route.news, shut = route.mode == Mode::open || route.mode == Mode::trial;
  Millis seen = now_ - k.state_age, met = now_ - k.limit_age, until = now_ + k.retry_after_left;
  Millis back = route.cold_since > now_ ? -never : route.cold_since, oldest = now_ - longest_life_;
  route.name = k.route, route.learnt_at = now_;
  // Another relay's refusal is one more, in a row with this relay's own.
  if (k.rate_limit > 0 && k.remaining_share < 0.1 && met > route.answered_at && route.refused_in_row > 0)
    ++route.refused_in_row;
  if (k.rate_limit > 0 && met > std::max({route.hinted_at, route.paced_at, oldest}))
    route.limit = k.rate_limit, route.left_share = k.remaining_share, route.hinted_at = met;
  if (k.retry_after_left > 0 && until > route.told_until)
    told_wait(route, route.learnt_until = until, k.remaining_share < 0.1 && now_ < met + longest_span);
  // Another relay's rate says nothing of this one's part.
  double own_rate = k.from_this_relay ? k.rate_before_outage : 0;
  // Of relays that return one after another each tells of its own trial: the first word of a return counts.
  if (k.state == RouteState::recovering && !return_is_known(route) &&
      seen > std::max(back, now_ - set_.warm_up_time))
    note_rate(route, own_rate), cold_from(route, seen);
  if (k.state == RouteState::down && !shut && seen >= std::max({route.answered_at, back, oldest})) {
    note_rate(route, own_rate), route.failing_since = std::min(route.failing_since, now_);
    route.bad.add(now_, failures_to_open), open(route), route.down_at = seen;
  } else if (k.state != RouteState::down && route.mode == Mode::open && seen > route.down_at) {
    route.down_at = seen;
    // Once for each outage: the soonest of many draws would be no moment drawn at random.
    if (std::exchange(route.hastened_at, now_) < route.opened_at) {
      Millis age = k.state == RouteState::recovering ? std::min(k.state_age, set_.warm_up_time) : 0;
      route.trial_at = std::min(route.trial_at, now_ + drawn(0, 1) * 1000 / cold_pace(route, age));
    }
  }
  route.news = news;
}

}  // namespace rockcrank::internal
