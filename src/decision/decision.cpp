// All decisions of rockcrank. The interface is decision.h: a host reports what happened in a turn and calls
// decide(), which goes through the ordered rules of decider.h until none fires. docs/design.md
// says which parts are the design's and under which condition each departure acts.
#include "decision/decision.h"

#include <algorithm>
#include <utility>

#include "decision/decider.h"
#include "decision/state_archive.h"

namespace rockcrank {
namespace internal {

void Decider::log(const Route& route, const char* event, std::initializer_list<RouteMarks::Field> fields) {
  done_.log.push_back(route.line(event, fields));
}

// Documents point to the type they were taken on with, so types are only ever added.
DocTypeId Decider::type_id(const DocType& type) {
  auto found = std::ranges::find(types_, type);
  if (found == types_.end()) found = types_.insert(types_.end(), type);
  longest_life_ = std::max(longest_life_, type.lifetime);
  return DocTypeId(found - types_.begin());
}

void Decider::update_settings(const Settings& settings) {
  set_ = settings;
  slow_start_ = SlowStart(settings);
  shares_.resize(set_.tenant_rates.size(), {Fading(10000), 0});
  for (std::size_t i = 0; i < shares_.size(); ++i) shares_[i].second = set_.tenant_rates[i] / set_.relays;
}

void Decider::begin_turn(Millis now) {
  // A stall of the relay itself: what fell due meanwhile must not go at once, so its waits are drawn anew.
  if (now > due_ + stall && due_ > 0)
    for (auto& [id, doc] : docs_)
      if (doc.tries > 0 && doc.not_before <= now) doc.not_before = now + drawn(0, ladder_base);
  now_ = now, done_ = {}, bundles_.clear();
}

void Decider::withdraw(DocId id) {
  if (docs_.count(id)) close(docs_[id]);
  for (auto& [key, lane] : lanes_) lane.untold.erase(id);
}

// Whatever is put back is cold: the route where it is the only one open, else the endpoint alone.
void Decider::set_offline(EndpointId id, bool out) {
  if (!(out ? outs_.insert(id).second : outs_.erase(id) > 0) || !endpoints_.count(id)) return;
  Endpoint& e = endpoints_[id];
  Route& route = *e.route;
  used_.insert(id), e.out = out;
  if (out) return note_rate(route);
  e.back_at = now_;
  bool alone = std::ranges::none_of(endpoints_, [&](const auto& other) {
    return other.second.route == &route && other.first != id && other.second.open();
  });
  if (alone) cold_from(route, now_);
}

std::string Decider::export_state() {
  Carried all;
  all.put(parts());
  for (auto& [id, e] : endpoints_) all.add("endpoints", id, e);
  for (auto& [number, call] : calls_) all.add("calls", std::pair(number, call.endpoint->id), call);
  for (auto& [id, doc] : docs_) all.add("docs", *doc.type, doc);
  return all.text();
}

void Decider::import_state(const std::string& state) {
  Carried all(state);
  all.get(parts());
  all.each<EndpointId, Endpoint>("endpoints", [&](EndpointId id, const Endpoint& e) {
    (endpoints_[id] = e).route = &routes_.at(e.key());
    destinations_[e.destination].rank(&endpoints_[id]);
  });
  all.each<std::pair<std::uint64_t, EndpointId>, Call>("calls", [&](const auto& where, const Call& call) {
    (calls_[where.first] = call).endpoint = &endpoints_.at(where.second);
    calls_[where.first].route = endpoints_.at(where.second).route;
  });
  all.each<DocType, Doc>("docs", [&](const DocType& type, const Doc& doc) {
    (docs_[doc.id] = doc).type = &types_[static_cast<std::size_t>(type_id(type))];
    docs_[doc.id].to = &destinations_[doc.destination], ++docs_[doc.id].to->docs;
  });
  follow_at_ = set_.discovery_on_request ? 0 : never;
}

Actions Decider::decide() {
  if (held_at_start_ < 0) held_at_start_ = static_cast<int>(docs_.size());
  done_.max_idle_time = idle_breaks_.read(now_) > 1.2 ? idle_limit_ : never;
  for (auto& [id, to] : destinations_) {
    if (to.docs == 0) continue;
    to.harmless = 0, to.told_until = never;
    to.lead = to.ranked.empty() ? 0 : usual(*to.ranked.front()->route);
    for (Endpoint* e : to.ranked)
      if (e->open()) to.told_until = std::min(to.told_until, e->route->told_until);
    if (to.told_until >= never) to.told_until = -never;  // none is listed: the list may be late
  }
  waiting_.clear();
  for (auto& [id, doc] : docs_) {
    doc.to->harmless += is_ready(doc) && doc.type->retry_safety != RetrySafety::unsafe;
    waiting_.push_back({urgency(doc), &doc});
  }
  std::sort(waiting_.begin(), waiting_.end());
  for (bool fired = true; fired;) {
    fired = false;
    // A call out far longer than usual counts as failed at that moment: a hung destination is known before
    // its calls time out, and binding documents, which have no time-out, do not fill the slots behind it.
    for (auto& [number, call] : calls_)
      if (!call.overdue && !call.counted && now_ >= call.sent + overdue_after(*call.route))
        call.overdue = true, failed(call, false, false);
    for (const Rule<Decider, Route>& rule : route_rules)
      for (auto& [key, route] : routes_)
        if ((this->*rule.when)(route)) (this->*rule.then)(route), fired = true;
    for (auto& [id, to] : destinations_) to.shut[0] = to.shut[1] = false;
    overdue_ = furthest_overdue();
    for (const Rule<Decider, Doc>& rule : doc_rules)
      for (auto& [grade, doc] : waiting_)
        if (doc && (this->*rule.when)(*doc)) {
          DocId id = doc->id;
          reason_ = rule.name;
          (this->*rule.then)(*doc), fired = true;
          if (!docs_.count(id)) doc = nullptr;
        }
  }
  // Endpoints take only so many connections, idle ones counted; who keeps one never meets the cap. So all
  // keep no more together than any endpoint takes, none to one not open; at a cap, what lies unused goes.
  for (EndpointId id : std::exchange(used_, {})) {
    Endpoint& e = endpoints_[id];
    if (gives_up(e)) done_.closed_connections.push_back({id}), e.idle_since = never;
    else if (now_ < e.cap_met_at + cap_counts) done_.closed_connections.push_back({id, trial_pause});
  }
  if (now_ >= forgot_at_ + trial_pause) forget();
  Millis asked = set_.local_discovery_agent ? ladder_base : trial_pause;  // a lost watch shows soon
  if (now_ >= follow_at_) done_.long_poll_wait = asked, follow_at_ = never;
  done_.discovery_timeout = set_.local_discovery_agent ? ladder_base : 2.5 * trial_pause;
  due_ = next_due(), done_.wake_in = due_ >= never ? -1 : std::max(0.0, due_ - now_);
  return std::move(done_);
}

void Decider::close(Doc& doc) {
  if (doc.ordered) lanes_[doc.key].waiting.erase(doc.turn_taken);
  --doc.to->docs, doc.to->harmless -= is_ready(doc) && doc.type->retry_safety != RetrySafety::unsafe;
  docs_.erase(doc.id);
}

// Guards against a day without end: what nobody can ask for any more goes, a route after all that binds it.
void Decider::forget() {
  forgot_at_ = now_;
  for (auto& [id, e] : endpoints_) {
    if (gives_up(e) || now_ < e.cap_met_at + cap_counts) used_.insert(id);
    if (e.calls_out > 0 || now_ < e.gone_at + longest_life_) continue;
    for (auto& [destination, to] : destinations_) std::erase(to.ranked, &e);
    --e.route->endpoints, done_.forgotten_endpoints.push_back(id);
  }
  for (EndpointId id : done_.forgotten_endpoints) endpoints_.erase(id), used_.erase(id);
  std::erase_if(destinations_, [](auto& at) { return at.second.ranked.empty() && !at.second.docs; });
  std::erase_if(routes_, [&](auto& at) {
    return at.second.endpoints == 0 && now_ >= at.second.binds_until(set_.warm_up_time, longest_life_);
  });
  std::erase_if(lanes_, [&](auto& entry) { return entry.second.is_over(now_); });
}

Millis Decider::next_due() {
  Millis due = follow_at_;
  auto wake_at = [&](Millis when) { due = when > now_ ? std::min(due, when) : due; };
  for (auto& [number, call] : calls_)
    if (!call.overdue) wake_at(call.sent + overdue_after(*call.route));
  for (auto& [id, doc] : docs_) {
    wake_at(doc.expiry - margin());
    if (doc.out > 0) continue;
    wake_at(doc.risked_at + doc.type->idempotency_window - margin()), wake_at(doc.not_before);
    if (doc.not_before > now_) continue;
    if (doc.ordered) wake_at(rests_until(lanes_[doc.key]));
    doc.to->wanted = true;
  }
  for (auto& [id, to] : destinations_) {
    if (!std::exchange(to.wanted, false)) continue;
    for (Endpoint* e : to.ranked)
      if (e->open()) wake_at(opened(*e) ? now_ + set_.tick : free_at(*e->route)), wake_at(room_at(*e));
  }
  return due;
}

}  // namespace internal

std::unique_ptr<Decision> Decision::make(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<internal::Decider>(settings, seed);
}

}  // namespace rockcrank
