// Evaluates the outcome of a transmission for its document, its endpoint and its route.
#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "decision/decider.h"

namespace rockcrank {

const char* name_of(TransmissionResult result) {
  static constexpr std::array<const char*, 8> names = {"answered",      "error",  "refused",    "timed_out",
                                                       "not_connected", "broken", "called_off", "not_sent"};
  return names[static_cast<std::size_t>(result)];
}

}  // namespace rockcrank

namespace rockcrank::internal {

void Decider::outcome(const Outcome& outcome) {
  auto found = in_flight_.find({outcome.doc, outcome.transmission});
  if (found == in_flight_.end()) return;
  auto [call_number, key, ordered] = found->second;
  in_flight_.erase(found);
  Call& call = calls_[call_number];
  bool timed_out = outcome.result == TransmissionResult::timed_out,
       canceled = outcome.result == TransmissionResult::canceled;
  bool outcome_unknown = timed_out || canceled || outcome.result == TransmissionResult::connection_lost ||
                         outcome.end == DocumentEnd::over_unproved;
  if (ordered) {
    KeyQueue& queue = key_queues_[key];
    --queue.in_flight;
    if (outcome_unknown) queue.settled_at = std::max(queue.settled_at, now_ + settings_.order_settle_time);
  }
  // A Retry-After binds every call of the route; each document of a batch may carry its own.
  if (outcome.retry_after > 0)
    call.route->publish_pending =
        apply_retry_after(*call.route, now_ + outcome.retry_after, limit_is_exhausted(outcome.hints));
  Millis overdue_duration = overdue_after(*call.route);
  if ((timed_out || canceled) && outcome.duration > 1.1 * overdue_duration / call.route->timeout_factor)
    hung_calls_.add(now_, 1);
  if (outcome.result == TransmissionResult::answered) call.route->answered_documents.add(now_, 1);
  // A call cut short by its document's expiry says nothing about the destination.
  bool is_evidence = outcome.result != TransmissionResult::not_sent && !canceled &&
                     !(timed_out && outcome.duration < overdue_duration);
  record_answer_time(*call.endpoint, outcome);
  if (!call.counted && is_evidence) record_call_result(call, outcome);
  call.counted = true;
  if (--call.document_count == 0) {
    --call.route->calls_in_flight;
    if (--call.endpoint->calls_in_flight == 0) call.endpoint->idle_since = now_;
    endpoints_to_check_.insert(call.endpoint->id);
    set_stage(call, CallStage::connected), --calls_in_flight_, calls_canceled_ -= call.canceled;
  }
  if (auto held = docs_.find(outcome.doc); held != docs_.end()) {
    Doc& doc = held->second;
    --doc.in_flight;
    if (outcome.end == DocumentEnd::attempts_spent)
      doc.max_transmissions = std::min(doc.max_transmissions, doc.transmissions);
    else if (outcome.never_written) ++doc.max_transmissions;  // it spent none
    if ((outcome_unknown || outcome.result == TransmissionResult::error) && !doc.may_have_run())
      doc.may_have_run_at = call.sent_at, doc.may_have_run_zone = call.endpoint->zone;
    if (outcome.end == DocumentEnd::over) {
      remove(doc);
    } else if (outcome.end == DocumentEnd::over_unproved) {
      abandon(doc, "over by an answer without proof");
    } else {
      // Exponential backoff with jitter: base x 2^(failures-1), also where no slot or socket was free. After
      // a refusal the jitter is 100%, counted from the end of a Retry-After, so that what was refused
      // together is not retried together.
      Millis pause = backoff(++doc.failures);
      doc.not_before =
          now_ + (outcome.result == TransmissionResult::refused ? uniform(0, 2) * pause : jittered(pause));
      if (outcome.retry_after > 0 && !choose_endpoint(doc, settings_.slots + 1))
        doc.not_before += outcome.retry_after;
      log_failed_transmission(doc, outcome, *call.route);
    }
  }
  if (call.document_count == 0) calls_.erase(call_number);
}

// The header may be garbled, so it must not stop a destination for long.
void Decider::wait_told_early(DocId doc, int transmission, Millis wait) {
  auto found = in_flight_.find({doc, transmission});
  if (found == in_flight_.end() || wait <= 0) return;
  Route& route = *calls_[std::get<0>(found->second)].route;
  route.publish_pending = apply_retry_after(route, now_ + std::min(wait, max_unconfirmed_wait), false);
}

// Updates the health, latency and rate of a route from the first outcome of a call.
void Decider::record_call_result(Call& call, const Outcome& outcome) {
  Route& route = *call.route;
  Endpoint& endpoint = *call.endpoint;
  if (outcome.hints.present) {
    auto previous = std::pair(route.rate_limit, route.remaining_share < spare_limit_share);
    route.rate_limit = outcome.hints.rate_limit > 0
                           ? outcome.hints.rate_limit
                           : (settings_.limits_from_discovery ? route.rate_limit : 0);
    route.remaining_share = outcome.hints.rate_limit > 0 ? outcome.hints.remaining_share : 1,
    route.load_hints_at = now_;
    route.publish_pending |=
        previous != std::pair(route.rate_limit, route.remaining_share < spare_limit_share);
  }
  route.completed_calls.add(now_, 1);
  bool responded = outcome.result == TransmissionResult::answered ||
                   outcome.result == TransmissionResult::error ||
                   outcome.result == TransmissionResult::refused;
  if (responded) route.responded_at = now_;
  if (outcome.result == TransmissionResult::not_connected) connect_failures_.add(now_, 1);
  if (outcome.result == TransmissionResult::connection_lost) route.lost_connections.add(now_, 1);
  if (outcome.duration > slow_call_duration) route.slow_calls.add(now_, 1);
  bool at_cap = outcome.result == TransmissionResult::refused && outcome.connection_closed &&
                outcome.connection_idle_time == 0;
  if (!at_cap && route.consecutive_failures == 1 && call.sent_at > route.failing_since)
    (outcome.result == TransmissionResult::answered ? lone_failures_ : repeated_failures_).add(now_, 1);
  if (outcome.result == TransmissionResult::answered) {
    route.total_duration.add(now_, outcome.duration), route.timed_calls.add(now_, 1),
        route.successes.add(now_, 1);
    total_duration_.add(now_, outcome.duration), timed_calls_.add(now_, 1);
    if (call.overdue) late_answers_.add(now_, 1);
    route.timeout_factor = std::max(1.0, route.timeout_factor * 0.9);
    endpoint.consecutive_failures = 0, endpoint.answered_at = route.answered_at = now_;
    if (call.sent_at >= route.opened_at) record_success(route);
    return;
  }
  // At a connection cap some calls succeed; a dead endpoint answers none. An endpoint that refuses the first
  // call of a new connection and closes it has met its cap too, perhaps by connections of other relays. One
  // that refuses a call beside others, and reports no rate limit or a share of it left, has its queue full: a
  // lower rate would leave it idle.
  bool full = outcome.result == TransmissionResult::refused && outcome.retry_after <= 0 &&
              outcome.hints.present &&
              (outcome.hints.rate_limit <= 0 || outcome.hints.remaining_share > spare_limit_share);
  // In a large fleet the first connection refused at once may be due to connections that other relays hold.
  // One that never comes up means an outage, as does a second refused one, or one after any failure; then the
  // first, excused one counts too.
  bool connect_failed = outcome.result == TransmissionResult::not_connected;
  bool others_in_flight = endpoint.calls_in_flight > 1 && call.sent_at - endpoint.answered_at < 2000;
  bool excused_before =
      settings_.relays > min_connection_cap && route.connection_cap_met_at > route.answered_at;
  // Where the host reports connection idle times, an endpoint at its cap says so in an answer, and one that
  // refuses a connection or stays silent is down. So is one in slow start.
  bool maybe_cap = connect_failed && outcome.connection_idle_time < 0 &&
                   outcome.duration < 0.5 * settings_.connect_timeout && !in_slow_start(route);
  bool excused = maybe_cap && settings_.relays > min_connection_cap &&
                 endpoint.connection_cap_met_at <= endpoint.answered_at && !excused_before &&
                 route.consecutive_failures == 0;
  if (at_cap || excused || ((full || maybe_cap) && others_in_flight)) {
    endpoint.concurrency_limit = endpoint.calls_in_flight - 1, endpoint.refuses_when_full = at_cap || full;
    if (!full) endpoint.connection_cap_met_at = route.connection_cap_met_at = now_;
    if (now_ > endpoint.limit_met_at + max_limit_window)
      log(route, full ? "queue_full" : "connections_full",
          {{"held_to", endpoint.concurrency_limit}, {"calls_out", endpoint.calls_in_flight}});
    // What was refused together must not be retried together, so the hold is jittered over its whole length.
    endpoint.limit_met_at = now_ + (excused ? uniform(-1, 1) * full_endpoint_hold : 0);
    return;
  }
  if (connect_failed && excused_before && route.consecutive_failures == 0)
    ++route.consecutive_failures, repeated_failures_.add(now_, 1);
  if (outcome.result == TransmissionResult::refused) {
    route.consecutive_refusals += !limit_is_exhausted(outcome.hints) && outcome.retry_after <= 0;
    if (now_ > route.rate_reduced_at + 300) {
      double min_rate = std::max(0.3, 0.3 * route.rate_limit / settings_.relays);
      route.reduced_rate =
          std::max(min_rate, 0.7 * std::min(allowed_rate(route), route.recent_calls.per_second(now_)));
      route.rate_reduced_at = now_, route.publish_pending |= route.rate_limit > 0;
    }
  } else if (outcome.result == TransmissionResult::timed_out)
    route.timeout_factor = std::min(6.0, route.timeout_factor * 1.5);
  Millis idle_time =
      outcome.connection_idle_time < 0 ? call.endpoint_idle_time : outcome.connection_idle_time;
  bool on_reused_connection = outcome.result == TransmissionResult::connection_lost &&
                              idle_time > (outcome.connection_idle_time < 0 ? 500 : 0);
  if (on_reused_connection && route.id != last_idle_loss_route_)
    record_idle_connection_loss(route, idle_time);
  if (outcome.result == TransmissionResult::connection_lost && outcome.connection_idle_time >= 0 &&
      idle_connection_losses_.value(now_) > 1.2)
    return;
  // A lowered rate limit refuses for seconds on end too, but then the hints say that nothing is left: no
  // outage.
  if (outcome.result == TransmissionResult::refused && limit_is_exhausted(outcome.hints)) return;
  if (!call.overdue)
    record_failure(call, outcome.result == TransmissionResult::refused, outcome.retry_after > 0);
}

void Decider::log_failed_transmission(const Doc& doc, const Outcome& outcome, const Route& route) {
  char text[260];
  std::snprintf(text, sizeof text,
                "event=attempt_failed message=%llu attempt=%d route=%llx breaker=%s ending=%s took_ms=%.0f "
                "wait_ms=%.0f next_try_ms=%.0f connection=%llu calls_before=%d%s",
                0ULL + static_cast<std::uint64_t>(doc.id), outcome.transmission, 0ULL + route.id,
                route.breaker_name(), name_of(outcome.result), outcome.duration, outcome.retry_after,
                doc.not_before - now_, 0ULL + outcome.connection, outcome.calls_before,
                outcome.unproven ? " unproven=1" : "");
  actions_.log.push_back({text, doc.id});
}

// Connections lost at one destination after another, each on a reused connection, mean that something on the
// path drops idle connections. For a while connections idle for as long are closed before use; others are
// reused, as a new connection is costly.
void Decider::record_idle_connection_loss(const Route& route, Millis idle_time) {
  if (idle_time > 500)
    max_idle_time_ =
        std::min(idle_connection_losses_.value(now_) < 0.2 ? never : max_idle_time_, 0.9 * idle_time);
  idle_connection_losses_.add(now_, 1), last_idle_loss_route_ = route.id;
  if (idle_connection_losses_.value(now_) < 3)
    log(route, "idle_connection_broke",
        {{"idle_ms", idle_time}, {"lately", idle_connection_losses_.value(now_)}});
}

}  // namespace rockcrank::internal
