// Simulation of cold returns.
#include "model/cold_fleet.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <utility>

#include "model/cold_destination.h"

namespace rockcrank::model {
namespace {

constexpr Millis tick = 5;
constexpr Millis gossip_delay = 30;  // of route statuses between relays
constexpr Millis refusal_time = 10;
constexpr Millis connect_timeout = 1500;
constexpr Millis preconnect_interval = 100;
constexpr double small_budget = 30;
constexpr DestinationId destination_id{1}, other_destination_id{2};
constexpr EndpointId other_endpoint{1000};
constexpr Millis longest_idle_time = 3000;  // of a connection that is used again

using RandomEngine = std::mt19937_64;

double draw_uniform(RandomEngine& random, double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random);
}
bool draw_bool(RandomEngine& random, double share) { return draw_uniform(random, 0, 1) < share; }

class ColdFleet {
 public:
  ColdFleet(const ColdScenario& scenario, std::uint64_t seed, const ColdOptions& options)
      : scenario_(scenario), random_(seed * 2 + 1), options_(options), destination_(scenario) {
    settings_.relays = static_cast<int>(scenario_.relay_rates.size());
    settings_.slots = scenario_.slots;
    settings_.may_cancel = scenario_.may_cancel;
    settings_.max_transmissions = 12;
    settings_.tick = tick;
    settings_.connect_timeout = connect_timeout;
    settings_.overload_multiple = scenario_.overload_multiple;
    settings_.start_capacity = scenario_.start_capacity;
    settings_.warm_up_time = scenario_.warm_up_time;
    settings_.limits_from_discovery = limits_listed();
    settings_.max_retry_after = 3000;
    settings_.doc_types = {scenario_.document_type};
    DestinationKind kind;
    kind.max_batch_size = scenario_.max_batch_size;
    settings_.destination_kinds = {kind};
    relays_.resize(scenario_.relay_rates.size());
    for (std::size_t i = 0; i < relays_.size(); ++i) {
      start(i, draw_uniform(random_, 0, 1000));
      schedule(draw_uniform(random_, 0, 1000) + next_interarrival_time(i), Event::arrival, i);
      if (has_other_destination()) schedule(next_other_arrival(), Event::other_arrival, i);
    }
    for (const auto& replacement : scenario_.replacements)
      schedule(replacement.at, Event::replace, replacement.relay);
    for (const auto& change : scenario_.reconfigurations)
      schedule(change.at, Event::reconfigure, change.relay);
    for (const auto& restart : scenario_.restarts) {
      schedule(restart.from, Event::kill, restart.relay);
      schedule(restart.to, Event::restart_relay, restart.relay, restart.storage_kept);
    }
    end_ = scenario_.outages.back().to + scenario_.warm_up_time + 2 * scenario_.overload_window;
  }

  ColdReport run() {
    while (!events_.empty()) {
      Event event = events_.top();
      events_.pop();
      if (event.at > end_) break;
      now_ = event.at;
      handle(event);
    }
    return report();
  }

 private:
  struct Event {
    enum Kind {
      arrival,
      wake,
      outcome,
      connected,
      gossip_received,
      kill,
      restart_relay,
      preconnect,
      other_arrival,
      replace,
      reconfigure
    } kind;
    Millis at;
    std::uint64_t order;
    std::size_t relay;
    std::uint64_t number = 0;                   // index of the call or gossip; for a wake, its generation
    bool operator<(const Event& other) const {  // std::priority_queue pops the greatest
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  struct HeldDocument {
    Millis expiry;
    DestinationId destination = destination_id;
    DocType type;
    int transmissions = 0;
    bool may_have_run = false;
  };
  struct Relay {
    std::unique_ptr<Decision> decision;
    std::map<DocId, HeldDocument> held;
    // By route: the stored status and when it was stored.
    std::map<std::uint64_t, std::pair<RouteStatus, Millis>> persisted_routes;
    std::uint64_t process_generation = 0, wake_generation = 0;
    bool is_running = true;
    Millis informed_at = -1;  // last failed call in an outage or gossip of one; negative: none
    int connections = 0;
    std::optional<DocType> new_type;  // of documents accepted since the configuration changed
    std::map<std::pair<DocId, int>, std::uint64_t> calls_out;  // call number by transmission
  };
  // One call of a relay, with one or more documents.
  struct Call {
    std::uint64_t process_generation = 0;
    Millis sent = 0;
    std::vector<std::pair<DocId, int>> documents;
    Outcome outcome;     // the same for all documents
    bool ended = false;  // a canceled call ends before its outcome would come
  };
  struct DestinationCall {
    Millis at;
    bool from_informed_relay;
  };

  void trace(std::size_t relay, const std::string& text) {
    if (!options_.trace) return;
    char prefix[60];
    std::snprintf(prefix, sizeof prefix, "%9.0f relay %zu%s: ", now_, relay,
                  outage_at(now_) ? " (outage)" : "");
    *options_.trace += prefix + text + "\n";
  }
  bool limits_listed() const {
    return scenario_.limit_knowledge == LimitKnowledge::listed ||
           scenario_.limit_knowledge == LimitKnowledge::listed_roughly;
  }
  Millis next_interarrival_time(std::size_t relay) {
    return 1000 * std::exponential_distribution<double>(scenario_.relay_rates[relay])(random_);
  }
  bool has_other_destination() const { return scenario_.other_destination.documents_per_second > 0; }
  Millis next_other_arrival() {
    double rate = scenario_.other_destination.documents_per_second;
    return now_ + 1000 * std::exponential_distribution<double>(rate)(random_);
  }
  void schedule(Millis at, Event::Kind kind, std::size_t relay, std::uint64_t number = 0) {
    events_.push({kind, at, ++last_event_order_, relay, number});
  }

  const Outage* outage_at(Millis when) const {
    for (const auto& outage : scenario_.outages)
      if (when >= outage.from && when < outage.to) return &outage;
    return nullptr;
  }
  // The last return by that time; negative: none.
  Millis last_return_before(Millis when) const {
    Millis last = -1;
    for (const auto& outage : scenario_.outages)
      if (when >= outage.to) last = outage.to;
    return last;
  }
  Millis last_outage_start(Millis when) const {
    Millis last = 0;
    for (const auto& outage : scenario_.outages)
      if (when >= outage.from) last = outage.from;
    return last;
  }
  double capacity_at(Millis when) const {
    Millis returned = last_return_before(when);
    double age = returned < 0 ? 1 : std::clamp((when - returned) / scenario_.warm_up_time, 0.0, 1.0);
    return scenario_.capacity * (scenario_.start_capacity + (1 - scenario_.start_capacity) * age);
  }

  void start(std::size_t i, Millis at) {
    Relay& relay = relays_[i];
    relay.decision = Decision::make(settings_, random_());
    relay.decision->begin_turn(at);
    std::vector<EndpointEntry> entries;
    for (int n = 1; n <= scenario_.endpoints; ++n) {
      EndpointEntry entry;
      entry.endpoint = EndpointId(n);
      entry.destination = destination_id;
      entry.listed_rate = limits_listed() ? scenario_.listed_limit : 0;
      entries.push_back(entry);
    }
    if (has_other_destination()) {
      EndpointEntry other;
      other.endpoint = other_endpoint;
      other.destination = other_destination_id;
      entries.push_back(other);
    }
    relay.decision->update_endpoints(entries, true);
    relay.is_running = true;
  }

  void handle(const Event& event) {
    Relay& relay = relays_[event.relay];
    bool is_call_event = event.kind == Event::outcome || event.kind == Event::connected;
    if (is_call_event &&
        (calls_[event.number].ended || calls_[event.number].process_generation != relay.process_generation))
      return;
    if (event.kind == Event::wake && event.number != relay.wake_generation) return;
    if (event.kind == Event::arrival) {
      schedule(now_ + next_interarrival_time(event.relay), Event::arrival, event.relay);
      if (scenario_.idle_during_outage[event.relay] && outage_at(now_ + scenario_.call_time)) return;
    }
    if (event.kind == Event::other_arrival) schedule(next_other_arrival(), Event::other_arrival, event.relay);
    if (event.kind == Event::kill) return kill(event.relay);
    if (event.kind == Event::restart_relay) return restart_relay(event.relay, event.number != 0);
    if (!relay.is_running) return;
    relay.decision->begin_turn(now_);
    if (event.kind == Event::arrival) accept_new_document(relay, destination_id);
    if (event.kind == Event::other_arrival) accept_new_document(relay, other_destination_id);
    if (event.kind == Event::replace) replace_process(event.relay);
    if (event.kind == Event::reconfigure) reconfigure(event.relay);
    if (event.kind == Event::outcome) {
      trace(event.relay, "end " + std::to_string(event.number) + " " +
                             std::to_string(static_cast<int>(calls_[event.number].outcome.result)));
      end_call(relay, calls_[event.number]);
    }
    if (event.kind == Event::connected) connected(event.relay, event.number);
    if (event.kind == Event::gossip_received) apply_gossip(relay, gossip_[event.number]);
    if (event.kind == Event::preconnect) preconnect(event.relay);
    decide(event.relay);
  }

  void accept_document(Relay& relay, DocId id, const HeldDocument& held) {
    Document document;
    document.id = id;
    document.destination = held.destination;
    document.type = relay.decision->type_id(held.type);
    document.time_left = held.expiry - now_;
    document.transmissions = held.transmissions;
    document.may_have_run = held.may_have_run;
    relay.decision->accept(document);
  }

  void accept_new_document(Relay& relay, DestinationId destination) {
    DocId id{++last_document_};
    const DocType& type = relay.new_type ? *relay.new_type : settings_.doc_types[0];
    HeldDocument held{now_ + type.lifetime, destination, type};
    relay.held[id] = held;
    wanted_ += destination == destination_id && is_cold(now_);
    accept_document(relay, id, held);
  }
  bool is_cold(Millis when) const {
    Millis returned = last_return_before(when);
    return returned >= 0 && when < returned + scenario_.warm_up_time && !outage_at(when);
  }

  void end_call(Relay& relay, Call& call) {
    call.ended = true;
    const bool to_other = call.outcome.endpoint == other_endpoint;
    bool answered = call.outcome.result == TransmissionResult::answered;
    if (!answered && !to_other && call.outcome.result != TransmissionResult::not_sent && outage_at(call.sent))
      relay.informed_at = std::max(relay.informed_at, call.sent);
    for (auto [doc, transmission] : call.documents) {
      relay.calls_out.erase({doc, transmission});
      Outcome outcome = call.outcome;
      outcome.doc = doc;
      outcome.transmission = transmission;
      const bool is_over = answered || !relay.held.count(doc);
      outcome.end = is_over ? DocumentEnd::over : DocumentEnd::none;
      relay.decision->outcome(outcome);
      if (answered && relay.held.erase(doc) > 0) delivered_ += !to_other && is_cold(call.sent);
    }
  }

  void apply_gossip(Relay& relay, const RouteStatus& status) {
    if (status.state == RouteState::down)
      relay.informed_at = std::max(relay.informed_at, now_ - status.state_age);
    relay.decision->apply_route_status(status);
  }

  void kill(std::size_t i) {
    Relay& relay = relays_[i];
    if (!relay.is_running) return;
    trace(i, "killed");
    ++relay.process_generation, relay.connections = 0, relay.calls_out.clear(), relay.is_running = false;
    relay.decision.reset();
  }

  void replace_process(std::size_t i) {
    trace(i, "replaced");
    std::string state = relays_[i].decision->export_state();
    relays_[i].decision = Decision::make(settings_, random_());
    relays_[i].decision->begin_turn(now_);
    relays_[i].decision->import_state(state);
  }

  void reconfigure(std::size_t i) {
    trace(i, "new configuration");
    DocType type = settings_.doc_types[0];
    type.target_latency *= 0.5;
    type.lifetime *= 0.75;
    relays_[i].new_type = type;
    Settings changed = settings_;
    changed.doc_types = {type};
    relays_[i].decision->update_settings(changed);
  }

  // Starts a new process. Without its storage it has no documents and doesn't know of the outage.
  void restart_relay(std::size_t i, bool storage_kept) {
    Relay& relay = relays_[i];
    if (relay.is_running) return;
    if (!storage_kept) relay.held.clear(), relay.persisted_routes.clear(), relay.informed_at = -1;
    start(i, now_);
    for (const auto& [route, entry] : relay.persisted_routes) {
      auto [status, persisted_at] = entry;
      Millis stored_for = now_ - persisted_at;
      status.retry_after_left = std::max(0.0, status.retry_after_left - stored_for);
      status.state_age += stored_for;
      status.limit_age += stored_for;
      relay.decision->apply_route_status(status);
    }
    for (auto& [id, held] : relay.held)
      if (held.expiry > now_ + 2 * tick) accept_document(relay, id, held);
    schedule(now_ + tick, Event::preconnect, i);
    decide(i);
  }

  void preconnect(std::size_t i) {
    Relay& relay = relays_[i];
    if (!relay.decision->may_preconnect(EndpointId{1}, relay.connections)) return;
    ++relay.connections;
    record_destination_call(relay);
    schedule(now_ + preconnect_interval, Event::preconnect, i);
  }

  void record_destination_call(const Relay& relay) {
    destination_calls_.push_back({now_, relay.informed_at >= last_outage_start(now_)});
  }

  void decide(std::size_t i) {
    Relay& relay = relays_[i];
    Actions actions = relay.decision->decide();
    for (const auto& rejected : actions.rejected) relay.held.erase(rejected.doc);
    for (DocId doc : actions.abandoned) relay.held.erase(doc);
    for (const auto& line : actions.log) trace(i, line.text);
    for (const auto& canceled : actions.canceled) cancel(relay, canceled);
    for (const auto& status : relay.decision->route_statuses_to_persist())
      relay.persisted_routes[status.route] = {status, now_};
    send(i, actions.transmissions);
    if (scenario_.relays_gossip)
      for (const auto& status : relay.decision->route_statuses(false)) send_gossip(i, status);
    ++relay.wake_generation;
    if (actions.wake_in >= 0) {
      Millis ticks = std::ceil(std::max(actions.wake_in, 1.0) / tick);
      schedule(now_ + ticks * tick, Event::wake, i, relay.wake_generation);
    }
  }

  // A batch is canceled as a whole, by one of its documents.
  void cancel(Relay& relay, const Cancel& canceled) {
    auto found = relay.calls_out.find({canceled.doc, canceled.transmission});
    if (found == relay.calls_out.end() ||
        calls_[found->second].outcome.result == TransmissionResult::canceled)
      return;
    Call& call = calls_[found->second];
    call.outcome.result = TransmissionResult::canceled;
    call.outcome.duration = now_ - call.sent;
    schedule(now_, Event::outcome, static_cast<std::size_t>(&relay - relays_.data()), found->second);
  }

  void send_gossip(std::size_t from, const RouteStatus& status) {
    gossip_.push_back(status);
    for (std::size_t i = 0; i < relays_.size(); ++i)
      if (i != from) schedule(now_ + gossip_delay, Event::gossip_received, i, gossip_.size() - 1);
  }

  // Transmissions of one turn to the same endpoint share a call, up to the batch size.
  void send(std::size_t i, const std::vector<Transmit>& transmissions) {
    Relay& relay = relays_[i];
    const std::uint64_t first = calls_.size();
    std::map<EndpointId, std::uint64_t> open_calls;
    for (const auto& transmit : transmissions) {
      auto found = open_calls.find(transmit.endpoint);
      bool fits_batch = found != open_calls.end() &&
                        static_cast<int>(calls_[found->second].documents.size()) < scenario_.max_batch_size;
      if (!fits_batch) {
        open_calls[transmit.endpoint] = calls_.size();
        calls_.push_back(new_call(relay, transmit));
      }
      Call& call = calls_[open_calls[transmit.endpoint]];
      call.outcome.duration = std::min(call.outcome.duration, transmit.timeout);
      call.documents.emplace_back(transmit.doc, relay.held.at(transmit.doc).transmissions++);
      relay.calls_out[call.documents.back()] = open_calls[transmit.endpoint];
    }
    for (std::uint64_t number = first; number < calls_.size(); ++number) begin_call(i, number);
  }

  Call new_call(const Relay& relay, const Transmit& transmit) {
    Call call;
    call.process_generation = relay.process_generation;
    call.sent = now_;
    call.outcome.endpoint = transmit.endpoint;
    call.outcome.connection_idle_time = scenario_.host_reports_connections ? 0 : -1;
    if (scenario_.reused_connection_share > 0 && scenario_.host_reports_connections &&
        draw_bool(random_, scenario_.reused_connection_share))
      call.outcome.connection_idle_time = draw_uniform(random_, 1, longest_idle_time);
    call.outcome.duration = transmit.timeout;  // replaced when the result is known
    return call;
  }

  void begin_call(std::size_t i, std::uint64_t number) {
    if (!draw_bool(random_, scenario_.late_connection_share)) return write_call(i, number);
    for (auto [doc, transmission] : calls_[number].documents)
      relays_[i].decision->note_connecting(doc, transmission);
    schedule(now_ + draw_uniform(random_, 0, scenario_.max_connection_delay), Event::connected, i, number);
  }

  void connected(std::size_t i, std::uint64_t number) {
    auto permission = SendPermission::now;
    for (auto [doc, transmission] : calls_[number].documents)
      permission = std::max(permission, relays_[i].decision->may_send(doc, transmission));
    if (permission == SendPermission::later) return schedule(now_ + tick, Event::connected, i, number);
    if (permission == SendPermission::now) return write_call(i, number);
    calls_[number].outcome.result = TransmissionResult::not_sent;
    end_call(relays_[i], calls_[number]);
  }

  void write_call(std::size_t i, std::uint64_t number) {
    Call& call = calls_[number];
    Millis connecting_time = now_ - call.sent;
    Outcome& outcome = call.outcome;
    if (outcome.endpoint == other_endpoint) return write_other_call(i, number);
    record_destination_call(relays_[i]);
    trace(i, "call " + std::to_string(number));
    const Outage* outage = outage_at(now_);
    outcome.result = TransmissionResult::answered;
    Millis duration = scenario_.call_time;
    if (outage && draw_bool(random_, outage->failing_share)) duration = fail(outcome, *outage);
    else if (!outage && scenario_.rejects_excess && is_cold(now_) && !has_capacity())
      outcome.result = TransmissionResult::refused, duration = refusal_time;
    else if (!outage && scenario_.limits_calls) duration = serve(outcome);
    add_hints(outcome);
    for (auto [doc, transmission] : call.documents)
      if (auto held = relays_[i].held.find(doc); held != relays_[i].held.end())
        held->second.may_have_run |= outcome.result == TransmissionResult::timed_out;
    call.sent = now_;
    outcome.duration = connecting_time + duration;
    schedule(now_ + duration, Event::outcome, i, number);
  }

  // Calls to the other destination are answered, unless it hangs.
  void write_other_call(std::size_t i, std::uint64_t number) {
    Call& call = calls_[number];
    const OtherDestination& other = scenario_.other_destination;
    Millis connecting_time = now_ - call.sent, left = call.outcome.duration;
    bool hangs = now_ >= other.hangs_from && now_ < other.hangs_to;
    Millis duration = hangs ? left : std::min(left, other.call_time * draw_uniform(random_, 0.5, 1.5));
    call.outcome.result = duration < left ? TransmissionResult::answered : TransmissionResult::timed_out;
    call.sent = now_;
    call.outcome.duration = connecting_time + duration;
    schedule(now_ + duration, Event::outcome, i, number);
  }

  // Sets the result of a call to a destination that limits its calls, and returns how long it takes.
  Millis serve(Outcome& outcome) {
    auto admission = destination_.admit(now_, capacity_at(now_));
    if (!admission.accepted) {
      outcome.result = TransmissionResult::refused;
      return refusal_time;
    }
    Millis duration = scenario_.call_time * draw_uniform(random_, 0.5, 1.5) + admission.queued_for;
    bool timed_out = duration >= outcome.duration;
    if (timed_out) outcome.result = TransmissionResult::timed_out, duration = outcome.duration;
    const Outage* next = outage_at(now_ + duration);
    if (!next || !scenario_.ends_running_calls) return duration;
    return end_by_outage(outcome, *next);
  }

  // The call still runs when the outage begins.
  Millis end_by_outage(Outcome& outcome, const Outage& outage) const {
    bool hangs = outage.kind == OutageKind::hangs || outage.kind == OutageKind::silent;
    if (hangs) {
      outcome.result = TransmissionResult::timed_out;
      return outcome.duration;
    }
    bool resets = outage.kind == OutageKind::refuses_connections || outage.kind == OutageKind::resets;
    outcome.result = resets ? TransmissionResult::connection_lost : TransmissionResult::error;
    return outage.from - now_;
  }

  // Sets the result, and returns how long the relay takes to learn of it.
  Millis fail(Outcome& outcome, const Outage& outage) {
    switch (outage.kind) {
      case OutageKind::refuses_connections:
        outcome.result = TransmissionResult::not_connected;
        return refusal_time;
      case OutageKind::silent:
        if (outcome.connection_idle_time > 0) {
          outcome.result = TransmissionResult::timed_out;
          return outcome.duration;
        }
        outcome.result = TransmissionResult::not_connected;
        return connect_timeout;
      case OutageKind::hangs: outcome.result = TransmissionResult::timed_out; return outcome.duration;
      case OutageKind::refuses_calls:
        destination_.refuse(now_);
        outcome.result = TransmissionResult::refused;
        return refusal_time;
      case OutageKind::fails_most: outcome.result = TransmissionResult::error; return scenario_.call_time;
      case OutageKind::resets: outcome.result = TransmissionResult::connection_lost; return refusal_time;
    }
    return refusal_time;
  }

  void add_hints(Outcome& outcome) {
    bool in_answer = outcome.result == TransmissionResult::answered ||
                     outcome.result == TransmissionResult::refused ||
                     outcome.result == TransmissionResult::error;
    if (scenario_.limit_knowledge != LimitKnowledge::reported || !in_answer) return;
    outcome.hints.present = true;
    outcome.hints.rate_limit = scenario_.limit;
    outcome.hints.remaining_share = scenario_.limits_calls ? destination_.told_remaining_share(now_) : 0.5;
  }

  // Whether the destination accepts a call now: it serves at its current capacity and queues up to half a
  // second of it.
  bool has_capacity() {
    double rate = capacity_at(now_);
    queued_ = std::max(0.0, queued_ - rate * (now_ - queued_at_) / 1000);
    queued_at_ = now_;
    if (queued_ + 1 > std::max(1.0, 0.5 * rate) + 1) return false;
    ++queued_;
    return true;
  }

  double budget_from(Millis from) const {
    constexpr int steps = 20;
    double sum = 0;
    for (int i = 0; i < steps; ++i)
      sum += capacity_at(from + scenario_.overload_window * (i + 0.5) / steps) * scenario_.overload_window /
             1000 / steps;
    return scenario_.overload_multiple * sum;
  }

  // Evaluates the overload window that begins with each call after a return.
  ColdReport report() const {
    ColdReport report;
    bool first_window = true;
    for (std::size_t first = 0, last = 0; first < destination_calls_.size(); ++first) {
      Millis from = destination_calls_[first].at;
      if (!is_cold(from)) continue;
      ++report.calls;
      OverloadWindow window;
      Millis to =
          std::min(from + scenario_.overload_window, last_return_before(from) + scenario_.warm_up_time);
      for (last = first; last < destination_calls_.size() && destination_calls_[last].at <= to; ++last) {
        if (outage_at(destination_calls_[last].at)) break;
        ++window.calls, window.calls_of_informed_relays += destination_calls_[last].from_informed_relay;
      }
      window.budget = budget_from(from);
      bool small = !options_.uniform_slack && window.budget < small_budget;
      window.allowed = window.budget + (small ? 3 : 2) * std::sqrt(window.budget) + (small ? 3 : 2);
      window.since_return = from - last_return_before(from);
      auto rank = [](const OverloadWindow& one) { return std::pair(one.violates_rule(), one.excess()); };
      if (first_window || rank(window) > rank(report.worst)) report.worst = window, first_window = false;
    }
    for (std::size_t n = 0; n < scenario_.outages.size(); ++n) {
      Millis from = scenario_.outages[n].to, to = from + scenario_.warm_up_time;
      if (n + 1 < scenario_.outages.size()) to = std::min(to, scenario_.outages[n + 1].from);
      constexpr Millis step = 100;
      for (Millis at = from; at < to; at += step) report.possible_calls += capacity_at(at) * step / 1000;
    }
    report.wanted = wanted_, report.delivered = delivered_;
    return report;
  }

  const ColdScenario scenario_;
  RandomEngine random_;
  const ColdOptions options_;
  ColdDestination destination_;
  Settings settings_;
  std::vector<Relay> relays_;
  std::priority_queue<Event> events_;
  std::vector<Call> calls_;
  std::vector<RouteStatus> gossip_;
  std::vector<DestinationCall> destination_calls_;
  Millis now_ = 0, queued_at_ = 0, end_ = 0;
  double queued_ = 0, wanted_ = 0, delivered_ = 0;
  std::uint64_t last_event_order_ = 0, last_document_ = 0;
};

}  // namespace

double ColdReport::unused_share() const {
  double possible = std::min(possible_calls, wanted);
  return possible <= 0 ? 0 : std::max(0.0, 1 - delivered / possible);
}

ColdReport simulate_cold_return(const ColdScenario& scenario, std::uint64_t seed,
                                const ColdOptions& options) {
  return ColdFleet(scenario, seed, options).run();
}

}  // namespace rockcrank::model
