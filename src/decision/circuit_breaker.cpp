// The circuit breaker of a route: failures in a row open it, a trial that is answered closes it step by step,
// and a told wait holds it.
#include <algorithm>
#include <cmath>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::failed(Call& call, bool refused, bool waits) {
  Route& route = *call.route;
  if (!refused) {
    route.bad.add(now_, 1);
    if (++call.endpoint->failures_in_row >= 2) call.endpoint->rests_until = now_ + varied(2 * trial_pause);
  }
  bool first = route.failing_since >= never;
  note_rate(route, 0, &call), route.failing_since = std::min(route.failing_since, now_);
  // The next try comes at a moment drawn from the time that the slow pace takes for one call, so that the
  // tries of relays that failed together do not come together.
  if (first && is_suspected(route)) route.credit = drawn(0, 1), route.credited_at = now_;
  route.failed_at = now_, keep(route);
  // A refusal alone says that the limit is met; only a streak longer than a limit's span tells a shut one.
  bool shut = !waits && now_ - route.failing_since > longest_span;
  if (call.sent < route.opened_at || (refused && route.mode == Mode::closed && !shut)) return;
  ++route.failures_in_row;
  if (route.mode == Mode::trial || route.mode == Mode::following) open(route);
}

// A hold longer than any limit's span is an outage: what it kept back must not burst out at its end.
bool Decider::told_wait(Route& route, Millis until, bool limit_met) {
  if (until <= route.told_until) return route.news;
  route.told_until = until, keep(route);
  if (limit_met || until - std::min(now_, route.failing_since) <= longest_span) return true;
  note_rate(route);
  if (!is_cold(route))
    log(route, "shut_cold_after", {{"wait_ms", until - now_}, {"rate_before", route.rate_before}});
  cold_from(route, until);
  return true;
}

void Decider::succeeded(Route& route) {
  double failing = route.bad.read(now_) / std::max(1e-3, route.bad.read(now_) + route.good.read(now_) - 1);
  // A cold return binds also the relay that saw a single failure, unless it is one among many answers.
  bool shut = is_refusing(route);
  // A second outage in the midst of a return: its silence must not count as time to warm up.
  bool silent_since_failure =
      (route.failures_in_row > 0 || route.refused_in_row > 0) && now_ - route.failing_since > longest_span;
  // Answers from before the outage would else outweigh the failures of a relay that calls often.
  bool outage =
      shut || route.mode != Mode::closed || failing > 0.5 || (is_cold(route) && silent_since_failure);
  route.refused_in_row = route.failures_in_row = 0;
  // The trial that was answered found it back; the calls that follow must not start its return anew.
  // Nor does a return known since the last failure, as from another relay.
  if (route.failing_since < never && outage && route.mode != Mode::following && !return_is_known(route)) {
    if (!is_cold(route))
      log(route, "cold_return", {{"rate_before", route.rate_before}, {"failing", failing}}),
          ++counters_.slow_starts;
    route.cold_since = now_, route.news = true;
  }
  if (route.failing_since < never) keep(route);
  if (route.mode == Mode::closed) route.failing_since = never;
  if (route.mode == Mode::trial) route.mode = Mode::following, route.follow_left = follow_calls;
  else if (route.mode == Mode::following && --route.follow_left <= 0) {
    route.mode = Mode::closed, route.failing_since = never, route.news = true;
    log(route, "breaker_closed", {{"open_ms", now_ - route.opened_at}, {"failing", failing}});
  }
}

void Decider::open(Route& route) {
  if (route.mode == Mode::closed) {
    ++counters_.breakers_opened;
    log(route, "breaker_open", {{"failures", route.failures_in_row}, {"failing", route.bad.read(now_)}});
  }
  route.mode = Mode::open, route.opened_at = route.down_at = now_, route.news = true;
  keep(route);
  Millis own = 1000 / cold_pace(route, 0);
  route.trial_at =
      now_ + std::max(varied(trial_pause), own > trial_pause ? std::min(exponential(own), 2 * own) : 0);
}

// Five failures in a row, counted over all relays: one that calls seldom would not see five before the
// outage is over. While single failures are mostly followed by answers, its own five.
int Decider::to_open(Route& route) {
  if (again_good_.read(now_) >= again_bad_.read(now_)) return failures_to_open;
  double soon = 10 * std::max(route.rate_before, route.calls.per_second(now_));
  soon = std::clamp(std::max(soon, 1.0 * failures_to_open / set_.relays), 1.0, 1.0 * failures_to_open);
  return static_cast<int>(std::ceil(soon));
}

// Few routes have failed lately; only for those the sums behind to_open are read.
bool Decider::fails_in_row(Route& r) {
  return r.mode == Mode::closed && r.failures_in_row > 0 && r.failures_in_row >= to_open(r);
}

}  // namespace rockcrank::internal
