// The circuit breaker of a route: consecutive failures open it, an answered trial call closes it step by
// step, and a Retry-After keeps calls back.
#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::record_failure(Call& call, bool refused, bool has_retry_after) {
  Route& route = *call.route;
  if (!refused) {
    route.failures.add(now_, 1);
    route.excess_failures = std::min(route.excess_failures + 1, 2 * failures_to_open);
    if (++call.endpoint->consecutive_failures >= 2)
      call.endpoint->deprioritized_until = now_ + jittered(2 * trial_delay);
  }
  bool first_failure = route.failing_since >= never;
  record_rate_before_outage(route, 0, &call), route.failing_since = std::min(route.failing_since, now_);
  // The token bucket starts at a random level, so that relays that failed together do not retry together.
  if (first_failure && is_suspected(route)) route.tokens = uniform(0, 1), route.refilled_at = now_;
  route.last_failure_at = now_, mark_for_persistence(route);
  // A refusal alone means that the rate limit is met; only a streak longer than a limit's window means an
  // outage.
  bool is_outage = !has_retry_after && now_ - route.failing_since > max_limit_window;
  if (call.sent_at < route.opened_at || (refused && route.breaker == BreakerState::closed && !is_outage))
    return;
  ++route.consecutive_failures;
  if (route.breaker == BreakerState::half_open || route.breaker == BreakerState::confirming)
    open_breaker(route);
}

// A Retry-After longer than any limit's window counts as an outage: the documents it kept back must not be
// sent in a burst at its end. Returns whether peers have to be told.
bool Decider::apply_retry_after(Route& route, Millis until, bool limit_met) {
  if (until <= route.retry_after_until) return route.publish_pending;
  route.retry_after_until = until, mark_for_persistence(route);
  if (limit_met || until - std::min(now_, route.failing_since) <= max_limit_window) return true;
  record_rate_before_outage(route);
  if (!in_slow_start(route))
    log(route, "shut_cold_after", {{"wait_ms", until - now_}, {"rate_before", route.rate_before_outage}});
  begin_slow_start(route, until);
  return true;
}

void Decider::record_success(Route& route) {
  double failure_share = route.failures.value(now_) /
                         std::max(1e-3, route.failures.value(now_) + route.successes.value(now_) - 1);
  // Slow start also binds a relay that saw a single failure, unless that is one among many answers.
  bool refusing = refuses_persistently(route);
  // A second outage during slow start: the time without calls must not count as warm-up time.
  bool silent_since_failure = (route.consecutive_failures > 0 || route.consecutive_refusals > 0) &&
                              now_ - route.failing_since > max_limit_window;
  bool was_silent = std::exchange(route.silent, false) && now_ - route.silent_since > max_limit_window;
  // Unlike the decaying sums this does not depend on how many answers came before the outage.
  bool mostly_failing = route.excess_failures >= failures_to_open;
  route.excess_failures = std::max(0, route.excess_failures - 1);
  // An outage seen in any of these ways counts even where, on a relay that calls often, answers from before
  // it outweigh the failures.
  bool outage = refusing || was_silent || mostly_failing || route.breaker != BreakerState::closed ||
                failure_share > 0.5 || (in_slow_start(route) && silent_since_failure);
  route.consecutive_refusals = route.consecutive_failures = 0;
  // Slow start counts from the answered trial call: the confirming calls must not restart it. Nor does an
  // answer restart it where the recovery is already known since the last failure, as from another relay.
  if (route.failing_since < never && outage && route.breaker != BreakerState::confirming &&
      !recovery_is_known(route)) {
    if (!in_slow_start(route))
      log(route, "cold_return", {{"rate_before", route.rate_before_outage}, {"failing", failure_share}}),
          ++counters_.slow_starts;
    route.slow_start_since = now_, route.publish_pending = true;
  }
  if (route.failing_since < never) mark_for_persistence(route);
  if (route.breaker == BreakerState::closed) route.failing_since = never;
  if (route.breaker == BreakerState::half_open)
    route.breaker = BreakerState::confirming, route.confirmations_left = confirming_calls;
  else if (route.breaker == BreakerState::confirming && --route.confirmations_left <= 0) {
    route.breaker = BreakerState::closed, route.failing_since = never, route.publish_pending = true;
    log(route, "breaker_closed", {{"open_ms", now_ - route.opened_at}, {"failing", failure_share}});
  }
}

void Decider::open_breaker(Route& route) {
  if (route.breaker == BreakerState::closed) {
    ++counters_.breakers_opened;
    log(route, "breaker_open",
        {{"failures", route.consecutive_failures}, {"failing", route.failures.value(now_)}});
  }
  route.breaker = BreakerState::open, route.opened_at = route.down_seen_at = now_,
  route.publish_pending = true;
  mark_for_persistence(route);
  route.next_trial_at = now_ + draw_trial_delay(route);
}

// A relay whose own slow-start rate allows less than one call in trial_delay draws from its own interval.
Millis Decider::draw_trial_delay(const Route& route) {
  const Millis own_interval = 1000 / slow_start_rate(route, 0);
  const bool calls_seldom = own_interval > trial_delay;
  const Millis own_delay = calls_seldom ? std::min(draw_exponential(own_interval), 2 * own_interval) : 0;
  return std::max(jittered(trial_delay), own_delay);
}

// Five consecutive failures over all relays: a relay that calls seldom would not see five before the outage
// is over, so its own threshold is its share of them. While single failures are mostly followed by answers,
// the threshold is five of its own.
int Decider::failure_threshold(Route& route) {
  if (lone_failures_.value(now_) >= repeated_failures_.value(now_)) return failures_to_open;
  double threshold = 10 * std::max(route.rate_before_outage, route.calls.per_second(now_));
  threshold =
      std::clamp(std::max(threshold, 1.0 * failures_to_open / settings_.relays), 1.0, 1.0 * failures_to_open);
  return static_cast<int>(std::ceil(threshold));
}

// Few routes have failed recently; the threshold is computed only for those, as it reads decaying sums.
bool Decider::reached_failure_threshold(Route& route) {
  return route.breaker == BreakerState::closed && route.consecutive_failures > 0 &&
         route.consecutive_failures >= failure_threshold(route);
}

}  // namespace rockcrank::internal
