// The turn of the decision module: decide() applies the ordered rules of decider.h until none fires. Also
// settings, cleanup, and export and import of the state at a handover.
#include "decision/decision.h"

#include <algorithm>
#include <utility>

#include "decision/decider.h"
#include "decision/state_archive.h"

namespace rockcrank {
namespace internal {

void Decider::log(const Route& route, const char* event, std::initializer_list<RouteBase::Field> fields) {
  actions_.log.push_back({route.log_line(event, fields), {}});
}

// Documents point to the type they were accepted with, so types are never removed.
DocTypeId Decider::type_id(const DocType& type) {
  auto found = std::ranges::find(doc_types_, type);
  if (found == doc_types_.end()) found = doc_types_.insert(doc_types_.end(), type);
  max_lifetime_ = std::max(max_lifetime_, type.lifetime);
  return DocTypeId(found - doc_types_.begin());
}

void Decider::update_settings(const Settings& settings) {
  settings_ = settings;
  slow_start_ = SlowStart(settings);
  tenant_shares_.resize(settings_.tenant_rates.size(), {DecayingSum(10000), 0});
  for (std::size_t i = 0; i < tenant_shares_.size(); ++i)
    tenant_shares_[i].second = settings_.tenant_rates[i] / settings_.relays;
}

void Decider::begin_turn(Millis now) {
  update_time(now);
  batches_of_turn_.clear();
}

void Decider::update_time(Millis now) {
  bool stalled = due_at_ > 0 && now > std::max(due_at_, now_) + min_stall;
  now_ = std::max(now_, now);
  if (stalled) spread_overdue_retries();
}

// After a stall of the relay itself, retries that fell due meanwhile are spread again, so that they are not
// sent at once.
void Decider::spread_overdue_retries() {
  for (auto& [id, doc] : docs_)
    if (doc.transmissions > 0 && doc.not_before <= now_) doc.not_before = now_ + uniform(0, backoff_base);
}

void Decider::withdraw(DocId id) {
  if (docs_.count(id)) remove(docs_[id]);
  for (auto& [key, queue] : key_queues_) queue.unacknowledged_ends.erase(id);
}

// An endpoint that comes back online begins in slow start: its route where no other endpoint of it accepts
// calls, else the endpoint alone.
void Decider::set_offline(EndpointId id, bool offline) {
  if (!(offline ? offline_endpoints_.insert(id).second : offline_endpoints_.erase(id) > 0) ||
      !endpoints_.count(id))
    return;
  Endpoint& e = endpoints_[id];
  Route& route = *e.route;
  endpoints_to_check_.insert(id), e.offline = offline;
  if (offline) return record_rate_before_outage(route);
  e.online_at = now_;
  bool is_only_endpoint = std::ranges::none_of(endpoints_, [&](const auto& other) {
    return other.second.route == &route && other.first != id && other.second.accepts_calls();
  });
  if (is_only_endpoint) begin_slow_start(route, now_);
}

std::string Decider::export_state() {
  StateArchive archive;
  archive.put_fields(exported_fields());
  for (auto& [id, e] : endpoints_) archive.append("endpoints", id, e);
  for (auto& [number, call] : calls_) archive.append("calls", std::pair(number, call.endpoint->id), call);
  for (auto& [id, doc] : docs_) archive.append("docs", *doc.type, doc);
  return archive.text();
}

void Decider::import_state(const std::string& state) {
  StateArchive archive(state);
  archive.get_fields(exported_fields());
  archive.for_each<EndpointId, Endpoint>("endpoints", [&](EndpointId id, const Endpoint& e) {
    (endpoints_[id] = e).route = &routes_.at(e.route_key());
    destinations_[e.destination].add_endpoint(&endpoints_[id]);
  });
  archive.for_each<std::pair<std::uint64_t, EndpointId>, Call>(
      "calls", [&](const auto& where, const Call& call) {
        (calls_[where.first] = call).endpoint = &endpoints_.at(where.second);
        calls_[where.first].route = endpoints_.at(where.second).route;
      });
  archive.for_each<DocType, Doc>("docs", [&](const DocType& type, const Doc& doc) {
    (docs_[doc.id] = doc).type = &doc_types_[static_cast<std::size_t>(type_id(type))];
    docs_[doc.id].destination = &destinations_[doc.destination_id],
    ++docs_[doc.id].destination->document_count;
  });
  discovery_at_ = settings_.discovery_on_request ? 0 : never;
  for (auto& [key, route] : routes_)
    if (route.breaker != BreakerState::closed || is_slow_start_limited(route))
      log_limited_route(route, "limited_route_taken_over");
}

Actions Decider::decide() {
  if (documents_at_start_ < 0) documents_at_start_ = static_cast<int>(docs_.size());
  actions_.max_idle_time = idle_connection_losses_.value(now_) > 1.2 ? max_idle_time_ : never;
  for (auto& [id, destination] : destinations_) {
    if (destination.document_count == 0) continue;
    destination.ready_retry_safe = 0, destination.retry_after_until = never;
    destination.expected_duration = destination.ranked_endpoints.empty()
                                        ? 0
                                        : usual_duration(*destination.ranked_endpoints.front()->route);
    for (Endpoint* e : destination.ranked_endpoints)
      if (e->accepts_calls())
        destination.retry_after_until = std::min(destination.retry_after_until, e->route->retry_after_until);
    if (destination.retry_after_until >= never)
      destination.retry_after_until = -never;  // no endpoint accepts calls: the list may be late
  }
  by_priority_.clear();
  for (auto& [id, doc] : docs_) {
    doc.destination->ready_retry_safe += is_ready(doc) && doc.type->retry_safety != RetrySafety::unsafe;
    by_priority_.push_back({priority_of(doc), &doc});
  }
  std::sort(by_priority_.begin(), by_priority_.end());
  for (bool fired = true; fired;) {
    fired = false;
    // An overdue call counts as failed at once: a hung destination is detected before its calls time out, and
    // unsafe documents, which have no timeout, do not fill the slots.
    for (auto& [number, call] : calls_)
      if (!call.overdue && !call.counted && now_ >= call.sent_at + overdue_after(*call.route))
        call.overdue = true, record_failure(call, false, false);
    find_silent_routes();
    for (const Rule<Decider, Route>& rule : route_rules)
      for (auto& [key, route] : routes_)
        if ((this->*rule.condition)(route)) (this->*rule.action)(route), fired = true;
    for (auto& [id, destination] : destinations_) destination.blocked[0] = destination.blocked[1] = false;
    most_overdue_ = find_most_overdue();
    for (const Rule<Decider, Doc>& rule : doc_rules)
      for (auto& [priority, doc] : by_priority_)
        if (doc && (this->*rule.condition)(*doc)) {
          DocId id = doc->id;
          current_rule_ = rule.name;
          (this->*rule.action)(*doc), fired = true;
          if (!docs_.count(id)) doc = nullptr;
        }
  }
  // Endpoints cap their connections, idle ones included, and a relay that holds an idle one never notices the
  // cap. So the fleet keeps no more idle connections than any endpoint accepts, and none to an endpoint that
  // accepts no calls; at an endpoint that met its cap, unused connections are closed.
  for (EndpointId id : std::exchange(endpoints_to_check_, {})) {
    Endpoint& e = endpoints_[id];
    if (should_close_idle(e)) actions_.closed_connections.push_back({id}), e.idle_since = never;
    else if (now_ < e.connection_cap_met_at + connection_cap_memory)
      actions_.closed_connections.push_back({id, trial_delay});
  }
  if (now_ >= forgot_unused_at_ + trial_delay) forget_unused();
  Millis poll_wait = settings_.local_discovery_agent
                         ? backoff_base
                         : trial_delay;  // a short wait, so that a lost long poll is noticed soon
  if (now_ >= discovery_at_) actions_.long_poll_wait = poll_wait, discovery_at_ = never;
  actions_.discovery_timeout = settings_.local_discovery_agent ? backoff_base : 2.5 * trial_delay;
  due_at_ = next_due(), actions_.wake_in = due_at_ >= never ? -1 : std::max(0.0, due_at_ - now_);
  return std::exchange(actions_, {});
}

void Decider::remove(Doc& doc) {
  if (doc.ordered) key_queues_[doc.key].waiting.erase(doc.sequence);
  --doc.destination->document_count,
      doc.destination->ready_retry_safe -= is_ready(doc) && doc.type->retry_safety != RetrySafety::unsafe;
  docs_.erase(doc.id);
}

// Bounds the memory of a long-running process: drops what no document can refer to any more. A route is kept
// while a Retry-After, slow start or a peer's report binds it.
void Decider::forget_unused() {
  forgot_unused_at_ = now_;
  for (auto& [id, e] : endpoints_) {
    if (should_close_idle(e) || now_ < e.connection_cap_met_at + connection_cap_memory)
      endpoints_to_check_.insert(id);
    if (e.calls_in_flight > 0 || now_ < e.gone_at + max_lifetime_) continue;
    for (auto& [destination_id, destination] : destinations_) std::erase(destination.ranked_endpoints, &e);
    --e.route->endpoint_count, actions_.forgotten_endpoints.push_back(id);
  }
  for (EndpointId id : actions_.forgotten_endpoints) endpoints_.erase(id), endpoints_to_check_.erase(id);
  std::erase_if(destinations_, [](auto& entry) {
    return entry.second.ranked_endpoints.empty() && !entry.second.document_count;
  });
  std::erase_if(routes_, [&](auto& entry) {
    return entry.second.endpoint_count == 0 &&
           now_ >= entry.second.relevant_until(settings_.warm_up_time, max_lifetime_);
  });
  std::erase_if(key_queues_, [&](auto& entry) { return entry.second.is_unused(now_); });
}

Millis Decider::next_due() {
  Millis due = std::min(discovery_at_, std::max(next_silence_due(), now_ + settings_.tick));
  auto wake_at = [&](Millis when) { due = when > now_ ? std::min(due, when) : due; };
  for (auto& [number, call] : calls_)
    if (!call.overdue) wake_at(call.sent_at + overdue_after(*call.route));
  for (auto& [id, doc] : docs_) {
    wake_at(doc.expiry - expiry_margin());
    if (doc.in_flight > 0) continue;
    wake_at(doc.may_have_run_at + doc.type->idempotency_window - expiry_margin()), wake_at(doc.not_before);
    if (doc.not_before > now_) continue;
    if (doc.ordered) wake_at(settled_at(key_queues_[doc.key]));
    doc.destination->has_ready_document = true;
  }
  for (auto& [id, destination] : destinations_) {
    if (!std::exchange(destination.has_ready_document, false)) continue;
    for (Endpoint* e : destination.ranked_endpoints)
      if (e->accepts_calls())
        wake_at(batch_of_turn(*e) ? now_ + settings_.tick : next_call_at(*e->route)),
            wake_at(capacity_free_at(*e));
  }
  return due;
}

}  // namespace internal

std::unique_ptr<Decision> Decision::make(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<internal::Decider>(settings, seed);
}

}  // namespace rockcrank
