// The pace of a route: its part of a limit, of the fleet's budget in slow start, and of that for a
// destination that may be out.
#include <algorithm>
#include <cmath>

#include "decision/decider.h"

namespace rockcrank::internal {

// A return that began after the last failure known of, here or elsewhere.
bool Decider::return_is_known(const Route& route) const {
  return is_cold(route) && route.cold_since > std::max(route.down_at, route.failed_at);
}

// The relay's own rate before an outage, against which its return is paced.
// Without the call that failed: whoever has just called would else seem to call more often than it does,
// and the more so the less it calls.
void Decider::note_rate(Route& route, double told, const Call* failed) {
  if (is_cold(route) || route.failing_since < never) return;
  double own = route.calls.per_second(now_);
  if (failed) own -= route.calls.weight_per_second(now_ - failed->sent);
  route.rate_before = std::max({0.0, told, own});
}

// Where all relays were told the same moment, they do not call in the same instant.
void Decider::cold_from(Route& route, Millis since) {
  route.cold_since = since, keep(route);
  route.credited_at = std::max(now_, since), route.credit = drawn(0, 1);
}

// Calls a second that this relay allows itself on a route; limits are shared with relays unseen.
double Decider::pace(Route& route) {
  double rate = never, part = 1.0 / set_.relays;
  if (route.limit > 0) {
    // The relay's own part of the limit; more only while fresh hints say that the others leave room. While
    // none tell, half of it: a clump is one relay's, and refusals cut the pace where others were there too.
    bool fresh = now_ < route.hinted_at + 1500;
    double spare = fresh ? std::clamp((route.left_share - room_left) / 0.4, 0.0, 1.0) : 0;
    double held = fresh ? std::clamp(0.5 + route.left_share / 0.4, 0.5, 1.0) : 1;
    rate = route.limit * (part * held + (1 - part) * spare);
    if (held >= 1) rate = std::max(rate, 0.5 * route.limit);
  }
  if (route.own_pace > 0) rate = std::min(rate, route.own_pace * std::exp((now_ - route.paced_at) / 4000));
  if (now_ < route.cold_since + set_.warm_up_time + SlowStart::opening_within)
    rate = std::min(rate, cold_pace(route, std::max(0.0, now_ - route.cold_since)));
  if (is_suspected(route)) rate = std::min(rate, suspected_pace(route));
  return rate;
}

// What a destination in slow start bears from this relay, in calls a second at this age of its return.
double Decider::cold_pace(const Route& route, Millis age) const {
  return slow_start_.rate({route.rate_before, route.limit}, age);
}

// After a first failure, which is mostly chance, a relay that hardly ever calls there goes by that one
// call.
double Decider::suspected_pace(Route& route) {
  if (std::max(route.failures_in_row, route.refused_in_row) > 1) return cold_pace(route, 0);
  double own_rate = std::max(route.rate_before, 0.5 * route.calls.weight_per_second(0));
  Millis age = std::min(now_ - route.failing_since, set_.warm_up_time);
  return slow_start_.rate({own_rate, route.limit}, age);
}

// A destination whose calls fail may be out, and may return at any moment: until a call is answered it gets
// what it would bear at its return. A first failure alone is mostly chance, so the pace grows after it. In
// slow start a single refusal is enough.
bool Decider::is_suspected(Route& route) {
  if (set_.relays <= 1 || route.mode != Mode::closed || route.failing_since >= never) return false;
  return route.bad.read(now_) > route.good.read(now_) || is_refusing(route) ||
         (is_cold(route) && route.refused_in_row > 0);
}

// Refusals without a reason: a met limit, or a shut destination. A limit's span tells them apart, but only
// for a relay that calls several times within it.
bool Decider::is_refusing(const Route& route) const {
  bool calls_seldom = route.rate_before * longest_span < 1000;
  return route.refused_in_row > 1 && (calls_seldom || route.paced_at - route.failing_since > longest_span);
}

// Calls that the pace allows now; a call takes one.
double Decider::credit(Route& route) {
  route.credit = std::min(1.0, route.credit + pace(route) * std::max(0.0, now_ - route.credited_at) / 1000);
  route.credited_at = std::max(route.credited_at, now_);
  return route.credit;
}

// Rules 3, 4 and 6 and the caps: when a call may go on this route; never: an event must come first.
Millis Decider::free_at(Route& route) {
  if (now_ < route.told_until) return route.told_until;
  if (route.mode == Mode::open) return route.trial_at;
  int most = route.mode == Mode::trial ? 1 : route.mode == Mode::following ? 2 : set_.slots;
  if (route.calls_out >= std::min(most, cap(route)) || now_ + 2 * usual(route) > leave_at_) return never;
  double rate = pace(route), lacks = 1 - (is_slow(route) ? 0 : 0.3 * rate) - credit(route);
  return lacks <= 1e-9 ? now_ : now_ + std::min(500.0, 1000 * lacks / rate);
}

Millis Decider::free_at(const Destination& to) {
  Millis free = never;
  for (Endpoint* e : to.ranked) free = std::min(free, free_at(*e->route));
  return free;
}

}  // namespace rockcrank::internal
