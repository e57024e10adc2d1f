// Which connections are kept, opened ahead or closed before use.
#include <algorithm>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::note_connecting(DocId doc, int transmission) {
  auto found = out_.find({doc, transmission});
  if (found != out_.end()) pass(calls_[std::get<0>(found->second)], Stage::connecting);
}

// Of many relays each opens one at most, which goes again unused; where a cap was met, half of its part.
bool Decider::may_preconnect(EndpointId id, int up) {
  auto found = endpoints_.find(id);
  if (found == endpoints_.end() || !found->second.open() || held_ || leave_at_ < never) return false;
  Endpoint& e = found->second;
  const Route& r = *e.route;
  int most = set_.relays > handful ? 1 : cap(*e.route), failed = r.failures_in_row + e.failures_in_row;
  bool shut = r.mode != Mode::closed || failed > 0 || r.refused_in_row > 1 || is_cold(r);
  Millis at = std::max({r.told_until, e.back_at + set_.warm_up_time, room_at(e), e.cap_met_at + cap_counts});
  if (shut || now_ < at || up >= (e.cap_met_at > -never ? std::min(most, e.room / 2) : most)) return false;
  if (e.calls_out == 0) e.idle_since = std::min(e.idle_since, now_);
  return true;
}

// How long an idle connection is kept: by many relays for as long as a handful of calls take to come there.
Millis Decider::linger(const Endpoint& e) {
  double own = e.route->calls.per_second(now_), limit = e.route->limit;
  if (set_.relays <= handful) return unconnected_.read(now_) > 0.3 && own * usual(*e.route) < 100 ? 0 : never;
  return 1000 * handful / std::max(0.1, limit > 0 ? limit : own * set_.relays);
}

// Whether its idle connections go: it is looked at once a pause, so half of one early.
bool Decider::gives_up(const Endpoint& e) {
  if (e.calls_out > 0 || e.idle_since >= never) return false;
  return !e.open() || now_ + trial_pause / 2 >= e.idle_since + linger(e);
}

}  // namespace rockcrank::internal
