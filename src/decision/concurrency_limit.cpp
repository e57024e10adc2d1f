// How many calls may be out, in all and at each route and endpoint, and which of them is given up for want of
// a slot.
#include <algorithm>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::pass(Call& call, Stage to) {
  begun_ += (to == Stage::begun) - (call.stage == Stage::begun);
  connecting_ += (to == Stage::connecting) - (call.stage == Stage::connecting);
  call.stage = to;
}

bool Decider::sick(Route& route) {
  double slow = route.slow.read(now_), bad = route.bad.read(now_);
  return slow > std::max(0.05, slow_share * route.ended.read(now_)) ||
         bad > std::max(0.2, 0.25 * (route.good.read(now_) + bad));
}

// The usual time of a call: the route's own, leaning on that of all routes while it has few.
Millis Decider::usual(Route& route) {
  double n = timed_.read(now_), lean = n > 0.01 ? took_.read(now_) / n : 0;
  return (route.took.read(now_) + 2 * lean) / (route.timed.read(now_) + 2);
}

// Connections or queue full: calls stay under the number met for a while, or one more goes each pause.
Millis Decider::room_at(const Endpoint& e) const {
  int more = std::max(0, e.calls_out + 1 - e.room);
  Millis room = more == 0 ? -never : e.room_met_at + (e.turns_away ? more * ladder_base : room_hold);
  return std::max(room, now_ < e.back_at + set_.warm_up_time ? e.paced_until : -never);
}

// Slots taken by calls far overdue at hung destinations starve the healthy ones. While a document waits for
// a slot only, the call furthest overdue is called off; a binding document is lost with it.
bool Decider::wants_slot(Doc& doc) {
  if (!overdue_ || slots_taken() < set_.slots || freed_ >= set_.slots) return false;
  return std::get<0>(urgency(doc)) < 2 && could_go(doc, set_.slots + 1);
}

// Calls that run out with hardly a late answer among them hang; where late answers come too, all is only
// slow, and calling off would throw away work that the destinations go on with.
Call* Decider::furthest_overdue() {
  Call* worst = nullptr;
  if (!set_.may_cancel) return worst;
  double most = hung_.read(now_) > 6 && late_.read(now_) < 0.08 * hung_.read(now_) ? 0.6 : 2.5;
  for (auto& [number, call] : calls_) {
    double by = (now_ - call.sent) / overdue_after(*call.route) * call.route->patience;
    if (!call.called_off && by > most) worst = &call, most = by;
  }
  return worst;
}

void Decider::call_off(Doc& doc) {
  Call* call = overdue_;
  call->called_off = true, ++freed_, doc.not_before = now_ + set_.tick;
  for (auto& [transmission, entry] : out_)
    if (&calls_[std::get<0>(entry)] == call)
      done_.canceled.push_back({transmission.first, transmission.second});
  ++counters_.canceled;
  log(*call->route, "called_off", {{"age_ms", now_ - call->sent}, {"calls_out", calls_out_}});
  overdue_ = furthest_overdue();
}

}  // namespace rockcrank::internal
