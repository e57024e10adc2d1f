// What the end of an attempt says of its message, its endpoint and its route.
#include <algorithm>
#include <cstdio>
#include <utility>

#include "decision/decider.h"

namespace rockcrank::internal {

void Decider::outcome(const Outcome& got) {
  auto found = out_.find({got.doc, got.transmission});
  if (found == out_.end()) return;
  auto [call_number, lane_key, ordered] = found->second;
  out_.erase(found);
  Call& call = calls_[call_number];
  bool ran_out = got.result == TransmissionResult::timed_out,
       off = got.result == TransmissionResult::canceled;
  bool unknown = ran_out || off || got.result == TransmissionResult::connection_lost;
  if (ordered) {
    KeyLane& lane = lanes_[lane_key];
    --lane.out;
    if (unknown) lane.rests_until = std::max(lane.rests_until, now_ + set_.order_settle_time);
  }
  // Rule 6: a told wait binds every send of the route; each document of a bundle may name its own.
  if (got.retry_after > 0)
    call.route->news = told_wait(*call.route, now_ + got.retry_after, spent(got.hints));
  Millis overdue = overdue_after(*call.route);
  if ((ran_out || off) && got.duration > 1.1 * overdue / call.route->patience) hung_.add(now_, 1);
  if (got.result == TransmissionResult::answered) call.route->answered.add(now_, 1);
  // A call cut short by its document's expiry says nothing of the destination.
  bool tells = got.result != TransmissionResult::not_sent && !off && !(ran_out && got.duration < overdue);
  if (!call.counted && tells) count(call, got);
  call.counted = true;
  if (--call.docs == 0) {
    --call.route->calls_out;
    if (--call.endpoint->calls_out == 0) call.endpoint->idle_since = now_;
    used_.insert(call.endpoint->id);
    pass(call, Stage::up), --calls_out_, freed_ -= call.called_off;
  }
  if (auto holder = docs_.find(got.doc); holder != docs_.end()) {
    Doc& doc = holder->second;
    --doc.out;
    if (got.exhausted) doc.most = std::min(doc.most, doc.tries);
    if ((unknown || got.result == TransmissionResult::error) && !doc.may_have_run())
      doc.risked_at = call.sent, doc.risked_hall = call.endpoint->hall;
    if (got.completed) close(doc);
    else {
      // The ladder, also where no slot or socket was free: base x 2^(try-1), varied; after a refusal by all
      // of itself from the end of a told wait, so that what was refused together comes again apart.
      Millis pause = ladder(++doc.failures);
      doc.not_before =
          now_ + (got.result == TransmissionResult::refused ? drawn(0, 2) * pause : varied(pause));
      if (got.retry_after > 0 && !choose(doc, set_.slots + 1)) doc.not_before += got.retry_after;
      note_failed_attempt(doc, got, *call.route);
    }
  }
  if (call.docs == 0) calls_.erase(call_number);
}

// Health, latency and pace of a route, from one call's end.
void Decider::count(Call& call, const Outcome& got) {
  Route& route = *call.route;
  Endpoint& endpoint = *call.endpoint;
  if (got.hints.present) {
    auto met = std::pair(route.limit, route.left_share < room_left);
    route.limit =
        got.hints.rate_limit > 0 ? got.hints.rate_limit : (set_.limits_from_discovery ? route.limit : 0);
    route.left_share = got.hints.rate_limit > 0 ? got.hints.remaining_share : 1, route.hinted_at = now_;
    route.news |= met != std::pair(route.limit, route.left_share < room_left);
  }
  route.ended.add(now_, 1);
  if (got.result == TransmissionResult::not_connected) unconnected_.add(now_, 1);
  if (got.result == TransmissionResult::connection_lost) route.broke.add(now_, 1);
  if (got.duration > slow_call) route.slow.add(now_, 1);
  bool at_cap =
      got.result == TransmissionResult::refused && got.connection_closed && got.connection_idle_time == 0;
  if (!at_cap && route.failures_in_row == 1 && call.sent > route.failing_since)
    (got.result == TransmissionResult::answered ? again_good_ : again_bad_).add(now_, 1);
  if (got.result == TransmissionResult::answered) {
    route.took.add(now_, got.duration), route.timed.add(now_, 1), route.good.add(now_, 1);
    took_.add(now_, got.duration), timed_.add(now_, 1);
    if (call.overdue) late_.add(now_, 1);
    route.patience = std::max(1.0, route.patience * 0.9);
    endpoint.failures_in_row = 0, endpoint.answered_at = route.answered_at = now_;
    if (call.sent >= route.opened_at) succeeded(route);
    return;
  }
  // At a connection cap some calls get in; a dead endpoint answers none. One that refuses a new
  // connection's first call and ends it has met its cap too, maybe by those of other relays. One that
  // refuses a call beside others, and tells of no limit or of room below it, has its queue full: a lower
  // pace leaves it idle.
  bool full = got.result == TransmissionResult::refused && got.retry_after <= 0 && got.hints.present &&
              (got.hints.rate_limit <= 0 || got.hints.remaining_share > room_left);
  // The first connection refused at once to one of many relays may be one that others hold. One that never
  // comes up tells an outage, as does a second, or one after any failure; then the one let pass counts too.
  bool missed = got.result == TransmissionResult::not_connected;
  bool beside = endpoint.calls_out > 1 && call.sent - endpoint.answered_at < 2000;
  bool passed = set_.relays > handful && route.cap_met_at > route.answered_at;
  // Where the host tells of its connections, an endpoint at its cap says so in an answer; one that refuses
  // a connection, or is silent, is out. So is one that had just come back.
  bool maybe_cap =
      missed && got.connection_idle_time < 0 && got.duration < 0.5 * set_.connect_timeout && !is_cold(route);
  bool once = maybe_cap && set_.relays > handful && endpoint.cap_met_at <= endpoint.answered_at && !passed &&
              route.failures_in_row == 0;
  if (at_cap || once || ((full || maybe_cap) && beside)) {
    endpoint.room = endpoint.calls_out - 1, endpoint.turns_away = at_cap || full;
    if (!full) endpoint.cap_met_at = route.cap_met_at = now_;
    if (now_ > endpoint.room_met_at + longest_span)
      log(route, full ? "queue_full" : "connections_full",
          {{"held_to", endpoint.room}, {"calls_out", endpoint.calls_out}});
    // What was refused together must not come again together: a hold is drawn from all of itself.
    endpoint.room_met_at = now_ + (once ? drawn(-1, 1) * room_hold : 0);
    return;
  }
  if (missed && passed && route.failures_in_row == 0) ++route.failures_in_row, again_bad_.add(now_, 1);
  if (got.result == TransmissionResult::refused) {
    route.refused_in_row += !spent(got.hints) && got.retry_after <= 0;
    if (now_ > route.paced_at + 300) {
      double least = std::max(0.3, 0.3 * route.limit / set_.relays);
      route.own_pace = std::max(least, 0.7 * std::min(pace(route), route.recent.per_second(now_)));
      route.paced_at = now_, route.news |= route.limit > 0;
    }
  } else if (got.result == TransmissionResult::timed_out)
    route.patience = std::min(6.0, route.patience * 1.5);
  Millis idle = got.connection_idle_time < 0 ? call.idle : got.connection_idle_time;
  bool on_kept =
      got.result == TransmissionResult::connection_lost && idle > (got.connection_idle_time < 0 ? 500 : 0);
  if (on_kept && route.name != idle_broken_) broke_idle(route, idle);
  if (got.result == TransmissionResult::connection_lost && got.connection_idle_time >= 0 &&
      idle_breaks_.read(now_) > 1.2)
    return;
  // A sunken limit refuses for seconds on end too, but then the hints say that nothing is left: no outage.
  if (got.result == TransmissionResult::refused && spent(got.hints)) return;
  if (!call.overdue) failed(call, got.result == TransmissionResult::refused, got.retry_after > 0);
}

void Decider::note_failed_attempt(const Doc& doc, const Outcome& got, const Route& route) {
  static const char* const endings[] = {"answered",      "error",  "refused",    "timed_out",
                                        "not_connected", "broken", "called_off", "not_sent"};
  char text[200];
  std::snprintf(text, sizeof text,
                "event=attempt_failed message=%llu attempt=%d route=%llx breaker=%s ending=%s took_ms=%.0f "
                "wait_ms=%.0f next_try_ms=%.0f",
                0ULL + static_cast<std::uint64_t>(doc.id), got.transmission, 0ULL + route.name,
                route.mode_name(), endings[static_cast<int>(got.result)], got.duration, got.retry_after,
                doc.not_before - now_);
  done_.log.push_back(text);
}

// Calls that break at one destination after another, each on a kept connection: something on the way drops
// connections. For a while those idle for as long are closed before use; a new one costs.
void Decider::broke_idle(const Route& route, Millis idle) {
  if (idle > 500) idle_limit_ = std::min(idle_breaks_.read(now_) < 0.2 ? never : idle_limit_, 0.9 * idle);
  idle_breaks_.add(now_, 1), idle_broken_ = route.name;
  if (idle_breaks_.read(now_) < 3)
    log(route, "idle_connection_broke", {{"idle_ms", idle}, {"lately", idle_breaks_.read(now_)}});
}

}  // namespace rockcrank::internal
