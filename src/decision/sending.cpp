// Sends transmissions: the choice of an endpoint, batching, the checks before a send, and those repeated once
// the connection is up.
#include <algorithm>
#include <string>

#include "decision/decider.h"

namespace rockcrank::internal {

// Asked right before each call is written, by the present time: since the call was chosen its connection may
// have come up late, or the process may have been held up. Calls whose connection is up get a slot before any
// new call.
SendPermission Decider::may_send(DocId doc, int transmission) {
  auto found = in_flight_.find({doc, transmission});
  if (found == in_flight_.end()) return SendPermission::never;
  const std::uint64_t number = std::get<0>(found->second);
  Call& call = calls_[number];
  set_stage(call, CallStage::connected);
  if (const char* reason = reason_not_to_send(call, number)) {
    ++counters_.not_started;
    log(*call.route, (std::string("not_begun reason=") + reason).c_str(), {{"message", double(doc)}});
    return SendPermission::never;
  }
  if (calls_started_ >= settings_.slots) return SendPermission::later;
  set_stage(call, CallStage::started);
  if (auto held = docs_.find(doc); held != docs_.end()) check_write(held->second, *call.endpoint);
  return SendPermission::now;
}

// Why a chosen call must not be sent after all, or null.
const char* Decider::reason_not_to_send(const Call& call, std::uint64_t number) {
  if (now_ < call.route->retry_after_until) return "told_wait";
  if (!call.endpoint->accepts_calls()) return "closed_endpoint";
  if (went_down_since_chosen(call)) return "slow_start";
  // Where a connection comes up late, the destination may have forgotten an idempotency key by then.
  for (const auto& [transmission, entry] : in_flight_)
    if (auto held = docs_.find(transmission.first); std::get<0>(entry) == number)
      if (held != docs_.end() && !retry_is_safe(held->second, now_)) return "window";
  return nullptr;
}

// Whether the destination was found down, or in slow start, only after the call was chosen, while its
// connection was coming up, and the present rate does not allow the call.
bool Decider::went_down_since_chosen(const Call& call) {
  Route& route = *call.route;
  if (call.stage == CallStage::started) return false;
  if (route.breaker == BreakerState::open) return true;
  bool since_chosen = in_slow_start(route)
                          ? call.sent_at < route.slow_start_since && route.breaker == BreakerState::closed
                          : is_suspected(route) && call.sent_at < route.failing_since;
  return since_chosen && next_call_at(route) > now_;
}

// Limits batches where calls lose their connection more often the more documents they carry: a call carries
// no more documents than were recently answered per lost call, so that about half of such calls get through.
int Decider::current_batch_limit(Route& route) {
  double lost_calls = route.lost_connections.value(now_),
         max_documents = lost_calls > 0.1 ? route.answered_documents.value(now_) / lost_calls : never;
  return static_cast<int>(std::clamp(max_documents, 1.0, 1.0 * route.max_batch_size));
}

// The call opened to this endpoint in the present turn, a trial call too, or null where its batch is full.
Call* Decider::batch_of_turn(const Endpoint& endpoint) {
  auto batch = batches_of_turn_.find(endpoint.id);
  Call* call = batch == batches_of_turn_.end() ? nullptr : &calls_[batch->second];
  return call && call->document_count < endpoint.route->max_batch_size ? call : nullptr;
}

bool Decider::can_join_batch(const Endpoint& endpoint) {
  Call* call = batch_of_turn(endpoint);
  return call && call->document_count < current_batch_limit(*endpoint.route);
}

// Chooses among the endpoints that can take the document: first those whose open batch it can join, then
// those without recent failures, then the one with the fewest calls in flight; ties go to the first by rank.
Endpoint* Decider::choose_endpoint(const Doc& doc, int slots) {
  Endpoint* best = nullptr;
  auto cost = [&](const Endpoint& e) {
    return std::tuple(!can_join_batch(e), now_<e.deprioritized_until, e.consecutive_failures> 0,
                      e.calls_in_flight);
  };
  bool blocked = true;  // for every document of the destination
  for (Endpoint* e : doc.destination->ranked_endpoints) {
    if (!e->accepts_calls()) continue;
    bool can_open_call = slots_taken() < slots && !batch_of_turn(*e) && now_ >= capacity_free_at(*e) &&
                         now_ >= next_call_at(*e->route);
    if (!can_open_call && !can_join_batch(*e)) continue;
    blocked = false;
    if (!may_transmit_to(doc, *e)) continue;
    // A trial call may end without a known outcome: no unsafe document is sent with it while a retry-safe one
    // waits, or in one batch with others.
    bool is_unsafe = doc.type->retry_safety == RetrySafety::unsafe,
         is_trial = e->route->breaker != BreakerState::closed;
    if (is_unsafe && is_trial && batch_of_turn(*e)) continue;
    if (is_unsafe && doc.destination->ready_retry_safe > 0 && (is_trial || is_degraded(*e->route))) continue;
    if (!best || cost(*e) < cost(*best)) best = e;
  }
  doc.destination->blocked[slots > settings_.slots] = blocked;
  return best;
}

bool Decider::can_transmit_with(Doc& doc, int slots) {
  return !sending_paused_ && is_ready(doc) && !doc.destination->blocked[slots > settings_.slots] &&
         is_next_of_key(doc) && choose_endpoint(doc, slots) != nullptr;
}

void Decider::transmit(Doc& doc) {
  Endpoint& endpoint = *choose_endpoint(doc, settings_.slots);
  Route& route = *endpoint.route;
  bool joined = can_join_batch(endpoint);
  check_send(doc, endpoint, !joined);
  auto& number = batches_of_turn_[endpoint.id];
  if (joined) route.tokens -= is_slow_start_limited(route) ? 0.12 : 0;
  else {
    Millis idle_time = endpoint.calls_in_flight == 0 ? std::max(0.0, now_ - endpoint.idle_since) : 0;
    if (idle_time > actions_.max_idle_time)
      actions_.closed_connections.push_back({endpoint.id}), idle_time = 0;
    calls_[number = ++last_call_number_] = Call{&route, &endpoint, now_, 0, idle_time};
    ++calls_started_, ++calls_in_flight_, ++route.calls_in_flight, ++endpoint.calls_in_flight;
    endpoint.not_before = now_ + 1000 / slow_start_rate(route, now_ - endpoint.online_at);
    route.calls.add(now_, 1), route.recent_calls.add(now_, 1);
    route.tokens = available_tokens(route) - 1;
  }
  ++calls_[number].document_count;
  const Millis timeout = call_timeout(doc, route);
  actions_.transmissions.push_back({doc.id, endpoint.id, timeout, now_ + timeout});
  in_flight_[{doc.id, doc.transmissions}] = {number, doc.key, doc.ordered};
  if (doc.ordered) ++key_queues_[doc.key].in_flight;
  doc.destination->ready_retry_safe -= doc.type->retry_safety != RetrySafety::unsafe;
  ++doc.transmissions, ++doc.in_flight;
}

// Run-time invariant checks when a transmission is decided; check_write() runs again when it is written.
void Decider::check_send(const Doc& doc, const Endpoint& endpoint, bool new_call) {
  Route& route = *endpoint.route;
  if (new_call) {
    ++counters_.calls, counters_.trial_calls += route.breaker == BreakerState::half_open;
    if (is_slow_start_limited(route)) {
      ++counters_.slow_start_calls;
      bool over = route.slow_start_monitor.record_call(now_, allowed_rate(route), settings_.overload_window);
      check_invariant(Invariant::slow_start, !over, route, doc.id);
      log_limited_route(route, "slow_start_call");
    }
  }
  counters_.retried_documents += doc.transmissions > 0;
  bool first_of_key = !doc.ordered || (*key_queues_[doc.key].waiting.begin() == doc.sequence &&
                                       key_queues_[doc.key].unacknowledged_ends.empty());
  check_invariant(Invariant::key_order, first_of_key, route, doc.id);
  check_invariant(Invariant::single_transmission,
                  doc.in_flight == 0 && doc.transmissions < doc.max_transmissions && retry_is_safe(doc, now_),
                  route, doc.id);
  check_write(doc, endpoint);
}

// What the rate of a route in slow start, or suspected, is based on.
void Decider::log_limited_route(Route& route, const char* event) {
  log(route, event,
      {{"rate", allowed_rate(route)},
       {"own_rate", route.rate_before_outage},
       {"limit", route.rate_limit},
       {"slow_start_ms", in_slow_start(route) ? now_ - route.slow_start_since : -1},
       {"failing_ms", route.failing_since < never ? now_ - route.failing_since : -1},
       {"silent", route.silent}});
}

void Decider::check_write(const Doc& doc, const Endpoint& endpoint) {
  check_invariant(Invariant::retry_after, now_ >= endpoint.route->retry_after_until, *endpoint.route, doc.id);
  check_invariant(Invariant::closed_endpoint, endpoint.accepts_calls(), *endpoint.route, doc.id);
  check_invariant(Invariant::expiry, now_ < doc.expiry, *endpoint.route, doc.id);
}

void Decider::check_invariant(Invariant invariant, bool holds, const Route& route, DocId doc) {
  if (!counters_.invariants.violated(invariant, holds)) return;
  std::string event = std::string("violation rule=") + name_of(invariant);
  log(route, event.c_str(), {{"message", static_cast<double>(doc)}, {"calls_out", route.calls_in_flight}});
}

}  // namespace rockcrank::internal
