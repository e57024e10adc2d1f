// The one way on which calls leave the module: the choice of an endpoint, the checks before a send, and those
// made again when its connection is up.
#include <algorithm>
#include <string>

#include "decision/decider.h"

namespace rockcrank::internal {

// Rules 3 and 6 hold for the moment of sending too. Calls that are up wait for a slot before any new one.
SendPermission Decider::may_send(DocId doc, int transmission) {
  auto found = out_.find({doc, transmission});
  if (found == out_.end()) return SendPermission::never;
  const std::uint64_t number = std::get<0>(found->second);
  Call& call = calls_[number];
  pass(call, Stage::up);
  if (const char* reason = overtaken_by(call, number)) {
    ++counters_.not_started;
    log(*call.route, (std::string("not_begun reason=") + reason).c_str(), {{"message", double(doc)}});
    return SendPermission::never;
  }
  if (begun_ >= set_.slots) return SendPermission::later;
  pass(call, Stage::begun);
  if (auto held = docs_.find(doc); held != docs_.end()) check_writing(held->second, *call.endpoint);
  return SendPermission::now;
}

// What came between a call's choice and the moment at which its connection is up, or null.
const char* Decider::overtaken_by(const Call& call, std::uint64_t number) {
  if (now_ < call.route->told_until) return "told_wait";
  if (!call.endpoint->open()) return "closed_endpoint";
  if (is_out_since(call)) return "slow_start";
  // Guards against connections that come up late: by then the destination may have forgotten a mark.
  for (const auto& [transmission, entry] : out_)
    if (auto held = docs_.find(transmission.first); std::get<0>(entry) == number)
      if (held != docs_.end() && !marked(held->second, now_)) return "window";
  return nullptr;
}

// Guards against a call chosen before its destination was known to be out or in slow start, whose
// connection comes up later: the destination's pace has no room for it.
bool Decider::is_out_since(const Call& call) {
  Route& route = *call.route;
  if (call.stage == Stage::begun) return false;
  if (route.mode == Mode::open) return true;
  bool since_chosen = is_cold(route) ? call.sent < route.cold_since && route.mode == Mode::closed
                                     : is_suspected(route) && call.sent < route.failing_since;
  return since_chosen && free_at(route) > now_;
}

// Guards against calls that break the more often, the more documents they carry: one carries no more than
// were lately answered there for each call that broke, so that about half of such calls get through.
int Decider::bundle_most(Route& route) {
  double broke = route.broke.read(now_), most = broke > 0.1 ? route.answered.read(now_) / broke : never;
  return static_cast<int>(std::clamp(most, 1.0, 1.0 * route.bundle_max));
}

// What goes there in this turn, with a trial too, travels in the call opened; beyond its most it waits.
Call* Decider::opened(const Endpoint& endpoint) {
  auto bundle = bundles_.find(endpoint.id);
  Call* call = bundle == bundles_.end() ? nullptr : &calls_[bundle->second];
  return call && call->docs < endpoint.route->bundle_max ? call : nullptr;
}

bool Decider::joins(const Endpoint& endpoint) {
  Call* call = opened(endpoint);
  return call && call->docs < bundle_most(*endpoint.route);
}

// First in rank until it has enough, then the next; failing ones rest while another can take the document.
Endpoint* Decider::choose(const Doc& doc, int slots) {
  Endpoint* best = nullptr;
  auto burden = [&](const Endpoint& e) {
    return std::tuple(!joins(e), now_<e.rests_until, e.failures_in_row> 0, e.calls_out);
  };
  bool shut = true;  // for other documents too
  for (Endpoint* e : doc.to->ranked) {
    if (!e->open()) continue;
    bool free = slots_taken() < slots && !opened(*e) && now_ >= room_at(*e) && now_ >= free_at(*e->route);
    if (!free && !joins(*e)) continue;
    shut = false;
    if (!may_run_at(doc, *e)) continue;
    // A trial may end without an outcome: no binding document is risked while a harmless one waits there,
    // or with those that go already.
    bool binding = doc.type->retry_safety == RetrySafety::unsafe, trial = e->route->mode != Mode::closed;
    if (binding && trial && opened(*e)) continue;
    if (binding && doc.to->harmless > 0 && (trial || sick(*e->route))) continue;
    if (!best || burden(*e) < burden(*best)) best = e;
  }
  doc.to->shut[slots > set_.slots] = shut;
  return best;
}

bool Decider::could_go(Doc& doc, int slots) {
  return !held_ && is_ready(doc) && !doc.to->shut[slots > set_.slots] && in_turn(doc) &&
         choose(doc, slots) != nullptr;
}

void Decider::transmit(Doc& doc) {
  Endpoint& endpoint = *choose(doc, set_.slots);
  Route& route = *endpoint.route;
  bool joined = joins(endpoint);
  check_send(doc, endpoint, !joined);
  auto& number = bundles_[endpoint.id];
  if (joined) route.credit -= is_slow(route) ? 0.12 : 0;
  else {
    Millis idle = endpoint.calls_out == 0 ? std::max(0.0, now_ - endpoint.idle_since) : 0;
    if (idle > done_.max_idle_time) done_.closed_connections.push_back({endpoint.id}), idle = 0;
    calls_[number = ++call_number_] = Call{&route, &endpoint, now_, 0, idle};
    ++begun_, ++calls_out_, ++route.calls_out, ++endpoint.calls_out;
    endpoint.paced_until = now_ + 1000 / cold_pace(route, now_ - endpoint.back_at);
    route.calls.add(now_, 1), route.recent.add(now_, 1);
    route.credit = credit(route) - 1;
  }
  ++calls_[number].docs;
  done_.transmissions.push_back({doc.id, endpoint.id, time_out(doc, route)});
  out_[{doc.id, doc.tries}] = {number, doc.key, doc.ordered};
  if (doc.ordered) ++lanes_[doc.key].out;
  doc.to->harmless -= doc.type->retry_safety != RetrySafety::unsafe;
  ++doc.tries, ++doc.out;
}

// The run-time check of a send, at the moment of its decision or, once more, of its writing.
void Decider::check_send(const Doc& doc, const Endpoint& endpoint, bool new_call) {
  Route& route = *endpoint.route;
  if (new_call) {
    ++counters_.calls, counters_.trial_calls += route.mode == Mode::trial;
    if (is_slow(route)) {
      ++counters_.slow_start_calls;
      bool over = route.slow_start_monitor.sent(now_, pace(route), set_.overload_window);
      check(Invariant::slow_start, !over, route, doc.id);
    }
  }
  counters_.retried_documents += doc.tries > 0;
  bool first_of_key =
      !doc.ordered || (*lanes_[doc.key].waiting.begin() == doc.turn_taken && lanes_[doc.key].untold.empty());
  check(Invariant::key_order, first_of_key, route, doc.id);
  check(Invariant::single_transmission, doc.out == 0 && doc.tries < doc.most && marked(doc, now_), route,
        doc.id);
  check_writing(doc, endpoint);
}

void Decider::check_writing(const Doc& doc, const Endpoint& endpoint) {
  check(Invariant::retry_after, now_ >= endpoint.route->told_until, *endpoint.route, doc.id);
  check(Invariant::closed_endpoint, endpoint.open(), *endpoint.route, doc.id);
  check(Invariant::expiry, now_ < doc.expiry, *endpoint.route, doc.id);
}

void Decider::check(Invariant invariant, bool holds, const Route& route, DocId doc) {
  if (!counters_.invariants.violated(invariant, holds)) return;
  std::string event = std::string("violation rule=") + name_of(invariant);
  log(route, event.c_str(), {{"message", static_cast<double>(doc)}, {"calls_out", route.calls_out}});
}

}  // namespace rockcrank::internal
