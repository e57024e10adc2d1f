// The turns of one relay; relay.h says what it owns. The order in settle() is a promise to clients and
// endpoints: what outlives the process comes first. No wait, retry or choice may be made here.

#include "relay/relay.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "relay/log.h"
#include "settings/settings.h"

namespace rockcrank {
namespace {

// The protocol's times of a planned restart: connections still come for 0.2 to 0.4 s after SIGTERM, and
// SIGKILL comes no sooner than 3.7 s after it.
constexpr Millis connections_come = 500;
constexpr Millis gone_within = 3500;
// The last of that time: answers given now still get through, and what clients send meanwhile is read and
// dropped.
constexpr Millis last_answers = 300;
constexpr Millis metrics_every = 10000;
constexpr Millis look_again = 50;  // for the end of a process that keeps its file
constexpr int baggage_form = 1;    // changed with every change of what pack() gives

using Json = nlohmann::json;

Store::HandoverState passed_store(const Json& state, HandoverPayload& baggage) {
  if (state.at("form") != baggage_form) throw std::runtime_error("what is handed over is of another form");
  const Json& store = state.at("store");
  Store::HandoverState passed;
  passed.path = store.at(0).get<std::string>(), passed.snapshot = store.at(1).get<std::string>();
  passed.descriptor = baggage.take_descriptor(store.at(2).get<std::size_t>()),
  passed.last_doc_number = store.at(3).get<std::uint64_t>();
  passed.file_bytes = store.at(4).get<std::size_t>(), passed.rewrite_needed = store.at(5).get<bool>();
  return passed;
}

std::string busy(Millis wait) {
  return wait > 0 ? "-BUSY " + std::to_string(static_cast<long>(std::ceil(wait))) + "\r\n" : "-BUSY\r\n";
}

}  // namespace

Relay::Relay(Config config, EventLoop& loop, AdminServer* admin, HandoverPayload* baggage, bool notes)
    : Relay(std::move(config), loop, admin,
            baggage ? nlohmann::json::from_cbor(baggage->state) : nlohmann::json(), baggage, notes) {}

Relay::Relay(Config config, EventLoop& loop, AdminServer* admin, const nlohmann::json& state,
             HandoverPayload* baggage, bool notes)
    : config_(std::move(config)),
      fleet_config_(peer::read_fleet(config_)),
      loop_(loop),
      store_(baggage ? Store(config_.state_folder, config_.max_disk_bytes, passed_store(state, *baggage))
                     : Store(config_.state_folder, config_.max_disk_bytes - peer::disk_kept(fleet_config_))),
      decision_(Decision::make(config_.settings, config_.seed)),
      clients_(loop_, config_.listen, config_.inherited_socket,
               {config_.max_client_connections, config_.max_idle_clients}),
      endpoints_(loop_, {config_.settings.connect_timeout, config_.idle_timeout,
                         config_.max_endpoint_connections - peer::descriptors_kept(fleet_config_)}),
      watch_(loop_, config_.discovery),
      notices_(loop_, config_.discovery),
      turn_timer_(loop_, [this] { end_turn(); }),
      shutdown_timer_(loop_, [this] { continue_shutdown(); }),
      signals_(
          loop_, [this] { begin_shutdown(); }, [this] { reload_config(); }),
      admin_(admin),
      adopt_timer_(loop_, [this] { adopt_orphaned_documents(); }),
      metrics_timer_(loop_, [this] { log_metrics(); }) {
  clients_.on_enqueue = [this](const EnqueueCommand& handed, ReplyTo to) { enqueue(handed, to); };
  endpoints_.on_outcome = [this](const Outcome& outcome) { on_outcome(outcome); };
  endpoints_.on_connecting = [this](DocId doc, int transmission) {
    decision_->note_connecting(doc, transmission);
  };
  endpoints_.may_begin = [this](DocId doc, int transmission) {
    begin_turn();
    if (!owns(doc)) return SendPermission::later;
    return decision_->may_send(doc, transmission);
  };
  endpoints_.is_finished = [this](DocId doc) {
    auto found = store_.documents().find(doc);
    return found == store_.documents().end() || found->second.ended;
  };
  endpoints_.before_write = [this](EndpointId endpoint,
                                   const std::vector<Endpoints::InFlightTransmission>& calls) {
    return record_in_doubt(endpoint, calls);
  };
  watch_.version = [this] { return list_version_; };
  watch_.on_failure = [this](bool turned_away, Millis took) {
    begin_turn();
    ++list_failures_;
    decision_->discovery_failed(turned_away, took);
  };
  watch_.on_list = [this](std::string_view body) {
    try {
      apply_endpoint_list(config_.parse_endpoint_list(nlohmann::json::parse(body)));
      if (auto failures = std::exchange(list_failures_, 0); failures > 0)
        log_line("watch: version %lld after %d failures", static_cast<long long>(list_version_), failures);
      return true;
    } catch (const std::exception& error) {
      log_line("watch: %s", error.what());
      return false;
    }
  };
  notices_.on_acknowledged = [this](DocId doc) {
    store_.remove(doc);
    begin_turn();
    decision_->withdraw(doc);
  };
  notices_.backoff_after = [this](int failures) { return decision_->retry_backoff(failures); };
  if (baggage) take_over(state, *baggage);
  if (fleet_config_) start_fleet();
  else route_state_store_.emplace(store_, *decision_);
  if (!fleet_config_ && notes && config_.gossip_allowed && !baggage)
    whisper_ = std::make_unique<peer::Whisper>(loop_, *decision_, config_, [this] { begin_turn(); });
}

void Relay::start_fleet() {
  around_.emplace(peer::Around{
      loop_, *decision_, store_, endpoints_, config_, known_endpoints_, [this] { begin_turn(); },
      [this] { return turn_began_; }, [this](DocId doc) { begin_turn(), resume_document(doc); },
      [this](DocId doc) { release(doc); }, [this](DocId doc, bool taken) { answer_pending(doc, taken); },
      [this](const std::string& endpoint, bool out) {
        if (!store_.set_offline(endpoint, out)) return;
        begin_turn();
        decision_->set_offline(EndpointId(fnv1a_hash(endpoint)), out);
      }});
  fleet_ = std::make_unique<peer::Fleet>(*around_, *fleet_config_, config_.state_folder, config_.seed);
  store_.on_record = [this](char kind, DocId doc, int transmission) {
    fleet_->noted(kind, doc, transmission);
  };
}

Relay::~Relay() {
  if (admin_) admin_->on_health = nullptr, admin_->on_metrics = nullptr, admin_->on_set_offline = nullptr;
}

void Relay::run() {
  if (admin_) {
    admin_->on_metrics = [this] { return metrics(); };
    admin_->on_health = [this] { return std::string(shutting_down_ ? "it ends" : ""); };
    admin_->on_set_offline = [this](const std::string& endpoint, bool out) {
      return set_offline(endpoint, out);
    };
  }
  signals_.unblock_reload();
  // Guards against a SIGHUP that the process before had while it handed over: this one read the file before.
  if (taken_over_) reload_config();
  begin_turn();
  for (const auto& endpoint : store_.offline_endpoints())
    decision_->set_offline(EndpointId(fnv1a_hash(endpoint)), true);
  if (!taken_over_) apply_endpoint_list(config_.known_endpoints);
  if (fleet_) fleet_->start();
  if (route_state_store_ && !taken_over_) route_state_store_->restore();
  if (store_.has_recovered_file()) decision_->previous_process_ended();
  std::vector<DocId> all;
  for (const auto& [doc, held] : store_.documents())
    if (!taken_over_ || held.ended) all.push_back(doc);
  for (DocId doc : all) resume_document(doc);
  // A process that would not hand over may still send: nothing goes from here until it has ended.
  if (!store_.is_sole_process()) decision_->pause_sending(true), adopt_timer_.set(loop_.now() + look_again);
  clients_.resume_reading();
  end_turn();
  if (config_.inherited_socket >= 0) {
    successor_ = std::make_unique<HandoverServer>(loop_, config_.state_folder);
    successor_->make_payload = [this](const std::string& numbering) { return export_state(numbering); };
    successor_->on_complete = [this] {
      handed_over_ = true;
      loop_.stop();
    };
  }
  log_line("%s serves%s", config_.name.c_str(),
           taken_over_                ? ", taken over whole"
           : store_.is_sole_process() ? ""
                                      : ", and sends when the process before it has ended");
  metrics_timer_.set(loop_.now() + metrics_every);
  loop_.run();
  log_metrics();
  // Guards against the platform's signal to end, which follows a hand-over, while this process is ending
  // already.
  if (handed_over_) {
    signals_.set_terminating();
    return log_line("%s is handed over", config_.name.c_str());
  }
  store_.flush();
  log_line("%s ends with %zu documents held", config_.name.c_str(), store_.documents().size());
  if (fleet_) log_line("fleet: %s", fleet_->figures().c_str());
}

void Relay::begin_turn() {
  if (std::exchange(turn_open_, true)) return;
  decision_->begin_turn(turn_began_ = loop_.now());
  for (const auto& outcome : std::exchange(unsent_outcomes_, {})) decision_->outcome(outcome);
  // Turns come at most once a tick, as the module's settings say, so that what comes together goes together.
  turn_timer_.set(std::max(loop_.now(), last_turn_at_ + config_.settings.tick));
}

Document Relay::to_document(const StoredDocument& held, DocId doc, Millis wall) const {
  Document document;
  document.id = doc;
  document.type = decision_->type_id(held.type), document.max_transmissions = held.max_transmissions;
  auto tenant = config_.tenants.find(held.tenant);
  document.tenant = tenant == config_.tenants.end() ? TenantId(UINT32_MAX) : tenant->second;  // of no share
  document.destination = held.destination;
  document.has_key = held.order_key.find_first_not_of('0') != std::string::npos;
  document.key = KeyId(fnv1a_hash(held.order_key));
  document.time_left = held.expiry - wall;
  document.transmissions = held.transmissions;
  document.may_have_run = !held.in_doubt.empty();
  if (document.may_have_run) {
    document.may_have_run_ago = std::max(0.0, wall - held.in_doubt.front().sent_at);
    document.may_have_run_zone = held.in_doubt.front().zone;
  }
  return document;
}

void Relay::resume_document(DocId doc) {
  if (!owns(doc) || deferred_ends_.count(doc)) return;  // the fleet asks again once nobody else has it
  StoredDocument& held = store_.documents().at(doc);
  // Guards against an upgrade from a version whose files name a type only.
  if (auto type = config_.doc_types.find(held.doc_type); held.max_transmissions == 0 && !held.ended) {
    if (type == config_.doc_types.end()) return end_document(doc, false, 0);
    held.type = type->second, held.max_transmissions = config_.settings.max_transmissions;
  }
  if (!held.ended) return decision_->accept(to_document(held, doc, EventLoop::wall_time()));
  if (Document ended = to_document(held, doc, EventLoop::wall_time()); held.type.in_order && ended.has_key) {
    ended.ended = true;
    decision_->accept(ended);
  }
  notices_.report(doc, held.id, held.rejected, held.reject_wait);
}

// Documents of a process that has ended without handing over, as after a restart.
void Relay::adopt_orphaned_documents() {
  begin_turn();
  for (DocId doc : store_.adopt_orphaned_files()) resume_document(doc);
  decision_->previous_process_ended();
  if (!store_.is_sole_process()) return adopt_timer_.set(loop_.now() + look_again);
  decision_->pause_sending(false);
  log_line("%s sends: the process before it has ended", config_.name.c_str());
}

// All that this process knows and holds, between two turns, so that each request that came is answered.
std::optional<HandoverPayload> Relay::export_state(const std::string& numbering) {
  // Guards against kinds and halls that mean others there: what is numbered so cannot be handed over.
  if (numbering != config_.numbering_hash)
    return log_line("not handed over: kinds or zones differ"), std::nullopt;
  // Leases and copies are bound to this process's life: another begins as after a restart.
  if (fleet_) return log_line("not handed over: a member of a fleet restarts"), std::nullopt;
  end_turn();
  begin_turn();
  // Both processes have the connections for a moment, and the limit on descriptors is one.
  if (2 * (clients_.size() + endpoints_.connections()) >
      config_.max_client_connections + config_.max_endpoint_connections)
    clients_.close_idle(), endpoints_.close_all_idle();
  HandoverPayload baggage;
  auto place = [&](int fd) { return baggage.descriptors.push_back(fd), baggage.descriptors.size() - 1; };
  auto stream = [&](const Stream::Snapshot& kept) {
    return Json::array({place(kept.fd), kept.connecting, kept.unconsumed, kept.unsent});
  };
  auto store = store_.handover_state();
  Json all{{"form", baggage_form}, {"version", list_version_}, {"decision", decision_->export_state()}};
  all["store"] = {store.path,       store.snapshot,      place(store.descriptor), store.last_doc_number,
                  store.file_bytes, store.rewrite_needed};
  for (const auto& [endpoint, entry] : known_endpoints_)
    all["known"].push_back(
        Json::array({endpoint, entry.destination, entry.kind, entry.zone, entry.listed_rate}));
  for (const auto& [endpoint, at] : endpoints_.addresses())
    all["places"].push_back(Json::array({endpoint, at.host, at.port}));
  for (const auto& one : clients_.export_connections())
    all["clients"].push_back(Json::array(
        {stream(one.stream), one.has_sent_command, one.input_ended, one.closing, one.last_used_at}));
  for (const auto& one : endpoints_.export_connections()) {
    auto items = Json::array();
    for (const auto& item : one.transmissions)
      items.push_back(Json::array({item.doc, item.transmission, item.deadline, item.id}));
    all["calls"].push_back(Json::array({one.endpoint, one.address.host, one.address.port, stream(one.stream),
                                        items, one.request, one.is_batch, one.deferred, one.connection_close,
                                        one.draining, one.started_at, one.idle_since, one.idle_before_use}));
  }
  Json::to_cbor(all, baggage.state);
  return baggage;
}

void Relay::take_over(const Json& state, HandoverPayload& baggage) {
  decision_->import_state(state.at("decision").get<std::string>());
  list_version_ = state.at("version").get<std::int64_t>();
  auto list = [&](const char* name) { return state.value(name, Json::array()); };
  for (const auto& one : list("known")) {
    EndpointEntry entry;
    entry.endpoint = one.at(0).get<EndpointId>(), entry.destination = one.at(1).get<DestinationId>();
    entry.kind = one.at(2).get<DestinationKindId>(), entry.zone = one.at(3).get<ZoneId>();
    entry.listed_rate = one.at(4).get<double>();
    known_endpoints_[entry.endpoint] = entry;
  }
  for (const auto& one : list("places"))
    endpoints_.set_address(one.at(0).get<EndpointId>(), {one.at(1).get<std::string>(), one.at(2).get<int>()});
  auto stream = [&](const Json& one) {
    return Stream::Snapshot{baggage.take_descriptor(one.at(0).get<std::size_t>()), one.at(1).get<bool>(),
                            one.at(2).get<std::string>(), one.at(3).get<std::string>()};
  };
  std::vector<Clients::ConnectionState> clients;
  for (const auto& one : list("clients"))
    clients.push_back({stream(one.at(0)), one.at(1).get<bool>(), one.at(2).get<bool>(), one.at(3).get<bool>(),
                       one.at(4).get<double>()});
  clients_.import_connections(clients);
  std::vector<Endpoints::ConnectionState> calls;
  for (const auto& one : list("calls")) {
    Endpoints::ConnectionState kept{one.at(0).get<EndpointId>(),
                                    {one.at(1).get<std::string>(), one.at(2).get<int>()},
                                    stream(one.at(3)),
                                    {},
                                    one.at(5).get<std::string>(),
                                    one.at(6).get<bool>(),
                                    one.at(7).get<bool>(),
                                    one.at(8).get<bool>(),
                                    one.at(9).get<bool>(),
                                    one.at(10).get<double>(),
                                    one.at(11).get<double>(),
                                    one.at(12).get<double>()};
    for (const auto& item : one.at(4))
      kept.transmissions.push_back({item.at(0).get<DocId>(), item.at(1).get<int>(), item.at(2).get<double>(),
                                    item.at(3).get<std::string>()});
    calls.push_back(std::move(kept));
  }
  endpoints_.import_connections(calls);
  taken_over_ = true;
}

void Relay::apply_endpoint_list(const EndpointListUpdate& list) {
  begin_turn();
  std::vector<EndpointEntry> entries;
  for (const auto& listed : list.entries) {
    auto fits = static_cast<std::size_t>(listed.entry.kind) < config_.settings.destination_kinds.size();
    if (!fits) continue;
    entries.push_back(listed.entry);
    // One that is not listed is only of account while it is known from before.
    if (listed.entry.status != EndpointStatus::ready && !known_endpoints_.count(listed.entry.endpoint))
      continue;
    if (listed.address.port != 0) endpoints_.set_address(listed.entry.endpoint, listed.address);
    if (listed.entry.status == EndpointStatus::ready) known_endpoints_[listed.entry.endpoint] = listed.entry;
  }
  decision_->update_endpoints(entries, list.full);
  list_version_ = list.version;
}

void Relay::enqueue(const EnqueueCommand& handed, ReplyTo answer_to) {
  auto say = [&](const char* text) { clients_.reply(answer_to, text); };
  StoredDocument held;
  held.id = handed.id, held.order_key = handed.order_key, held.body = handed.body;
  Millis left = -1;
  bool addressed = false;
  try {
    auto rest = handed.attributes;
    while (!rest.empty()) {
      auto pair = next_token(rest, ',');
      auto equals = pair.find('=');
      if (equals == std::string_view::npos) continue;
      auto name = pair.substr(0, equals), value = pair.substr(equals + 1);
      if (name == "c") held.doc_type = value;
      else if (name == "d") left = parse_number(value, "d");
      else if (name == "k") held.idempotency_key = value;
      else if (name == "t") held.tenant = value;
      else if (name == "dest")
        held.destination = DestinationId(parse_integer(value, "dest", 0, INT64_MAX)), addressed = true;
    }
  } catch (const ParseError& fault) {
    log_line("client: %s", fault.what());
    return say("-ERR bad value\r\n");
  }
  if (held.body.size() > Endpoints::max_body_bytes) return say("-ERR body too large\r\n");
  if (!config_.doc_types.count(held.doc_type) || left < 0 || !addressed || held.id.empty() ||
      !is_printable(held.id) || !is_printable(held.idempotency_key) ||
      held.id.size() + held.idempotency_key.size() + held.order_key.size() + held.tenant.size() > 1024)
    return say("-ERR bad document\r\n");
  // Guards against a second document under an id that is held: its end would be taken for the first one's.
  if (store_.contains(held.id)) return say("-ERR the id is held already\r\n");
  begin_turn();
  // What nobody has listed cannot be sent; the list may only be late, so the client may try again.
  auto later = [&] { say(busy(decision_->retry_after(held.destination)).c_str()); };
  if (!decision_->has_destination(held.destination)) return later();
  auto bytes = held.id.size() + held.idempotency_key.size() + held.body.size() + held.order_key.size() + 128;
  // A full room or a full store: nothing ran, so the client may try again.
  if (!decision_->has_capacity() || !store_.has_room(bytes)) return later();
  auto wall = EventLoop::wall_time();
  held.expiry = wall + left;
  held.type = config_.doc_types.at(held.doc_type),
  held.max_transmissions = config_.settings.max_transmissions;
  auto doc = store_.add(std::move(held));
  new_documents_.push_back({doc, answer_to});
  if (!fleet_) decision_->accept(to_document(store_.documents().at(doc), doc, wall));
}

void Relay::on_outcome(const Outcome& outcome) {
  begin_turn();
  bool never = outcome.result == TransmissionResult::refused ||
               outcome.result == TransmissionResult::not_connected ||
               outcome.result == TransmissionResult::not_sent;
  if (store_.documents().count(outcome.doc)) {
    if (outcome.completed) store_.remove(outcome.doc);
    else if (never) store_.record_never_ran(outcome.doc, outcome.transmission);
  }
  decision_->outcome(outcome);
  if (fleet_) fleet_->outcome(outcome);
}

void Relay::end_document(DocId doc, bool rejected, Millis wait) {
  if (!store_.documents().count(doc)) return;
  // Another may own it by now: its end is kept back until that is known, and is never told if so.
  if (!owns(doc)) return deferred_ends_[doc] = {rejected, wait}, void();
  auto fresh =
      std::find_if(new_documents_.begin(), new_documents_.end(), [&](const auto& a) { return a.doc == doc; });
  if (fresh != new_documents_.end()) {
    // Not yet taken on: the client hears it at once, and no notice is owed.
    auto to = fresh->reply_to;
    new_documents_.erase(fresh);
    store_.remove(doc);
    decision_->withdraw(doc);
    return clients_.reply(to, rejected ? busy(wait) : "-ERR cannot be transmitted\r\n");
  }
  store_.record_ended(doc, rejected, wait);
  // Guards against an end told here and another by whoever takes over: a copy has to have noted it first.
  if (fleet_ && !fleet_->may_tell(doc)) return;
  notices_.report(doc, store_.documents().at(doc).id, rejected, wait);
}

void Relay::end_turn() {
  begin_turn();
  if (fleet_) fleet_->before_turn(), end_deferred(), send_deferred();
  if (whisper_) whisper_->before_turn();
  endpoints_.resume_deferred();
  auto decided = decision_->decide();
  turn_open_ = false;
  last_turn_at_ = loop_.now();
  turn_timer_.clear();
  if (fleet_) fleet_->after_turn(decided);
  if (whisper_) whisper_->after_turn();
  for (const auto& line : decided.log) log_line("%s", line.c_str());
  for (const auto& reject : decided.rejected) end_document(reject.doc, true, reject.retry_after);
  for (DocId doc : decided.abandoned) end_document(doc, false, 0);
  // The store comes before the answers and before the sends: what outlives the process must know of both.
  for (const auto& one : new_documents_) store_.record_accepted(one.doc);
  auto wall = EventLoop::wall_time();
  for (const auto& sent : decided.transmissions) {
    auto found = store_.documents().find(sent.doc);
    if (found == store_.documents().end()) continue;
    auto transmission = found->second.transmissions;
    store_.record_transmission(sent.doc, transmission, wall, known_endpoints_.at(sent.endpoint).zone);
    // It is counted here, but can only run once it is written: note_risk(). The fleet asks its copies before.
    if (!fleet_) store_.record_never_ran(sent.doc, transmission);
  }
  if (route_state_store_) route_state_store_->save();
  bool kept = store_.flush();
  if (!kept) decided.transmissions = filter_sendable_unrecorded(decided.transmissions);
  answer_new_documents(kept);
  for (const auto& one : decided.closed_connections) endpoints_.close_idle(one.endpoint, one.min_idle_time);
  endpoints_.max_idle_time = decided.max_idle_time;
  if (fleet_) send_or_defer(decided.transmissions);
  else send(decided.transmissions);
  for (const auto& call : decided.canceled) endpoints_.cancel(call.doc, call.transmission);
  for (EndpointId endpoint : decided.forgotten_endpoints)
    endpoints_.remove(endpoint), known_endpoints_.erase(endpoint);
  if (decided.long_poll_wait > 0) watch_.start(decided.long_poll_wait, decided.discovery_timeout);
  if (!turn_open_ && (decided.wake_in >= 0 || !unsent_outcomes_.empty())) {
    auto wake = unsent_outcomes_.empty() ? decided.wake_in : 0.0;
    turn_timer_.set(loop_.now() + std::max(wake, config_.settings.tick));
  }
}

// Guards against giving up, after a kill, what was only chosen to go: a call that waits for its connection,
// or stands behind the answers of its turn, has not run and is tried again after the restart.
bool Relay::record_in_doubt(EndpointId endpoint, const std::vector<Endpoints::InFlightTransmission>& calls) {
  if (fleet_) return true;  // noted when it was chosen
  auto wall = EventLoop::wall_time();
  for (const auto& call : calls)
    store_.record_transmission(call.doc, call.transmission, wall, known_endpoints_.at(endpoint).zone);
  return store_.flush() || std::ranges::all_of(calls, [&](const auto& call) {
           auto found = store_.documents().find(call.doc);
           return found == store_.documents().end() || may_send_unrecorded(found->second);
         });
}

bool Relay::may_send_unrecorded(const StoredDocument& held) {
  return held.type.may_forget_transmission(held.expiry - EventLoop::wall_time());
}

// The store could not be written. What it would have to note before it goes does not go, nor any of a
// document about to be given back. The rest, which is owed, goes on.
std::vector<Transmit> Relay::filter_sendable_unrecorded(const std::vector<Transmit>& transmitted) {
  std::vector<Transmit> going;
  for (const auto& sent : transmitted) {
    auto found = store_.documents().find(sent.doc);
    if (found == store_.documents().end()) continue;
    bool arrived = std::ranges::any_of(new_documents_, [&](const auto& one) { return one.doc == sent.doc; });
    if (!fleet_ && !arrived && may_send_unrecorded(found->second)) going.push_back(sent);
    else report_not_sent(sent, found->second.transmissions - 1);
  }
  return going;
}

// Ends that were kept back while it was not known whether this relay still owned the documents.
void Relay::end_deferred() {
  for (const auto& [doc, kept] : std::exchange(deferred_ends_, {}))
    end_document(doc, kept.rejected, kept.wait);
}

// Calls that were kept back until a copy had noted their risk: the moment of sending is now, so the module is
// asked once more whether they may begin.
void Relay::send_deferred() {
  std::vector<Transmit> going;
  for (auto& call : std::exchange(deferred_calls_, {})) {
    auto asked = SendPermission::now;
    for (const auto& [sent, transmission] : call) {
      auto found = store_.documents().find(sent.doc);
      if (found == store_.documents().end() || found->second.ended) asked = SendPermission::never;
      else if (!owns(sent.doc)) asked = SendPermission::never;
      else if (!may_send(sent.doc, transmission)) asked = std::max(asked, SendPermission::later);
      else asked = std::max(asked, decision_->may_send(sent.doc, transmission));
    }
    if (asked == SendPermission::later) deferred_calls_.push_back(std::move(call));
    for (const auto& [sent, transmission] : call)
      if (asked == SendPermission::now) going.push_back(sent);
      else report_not_sent(sent, transmission);
  }
  if (!going.empty()) send(going);
}

// It does not go after all. It has its outcome all the same, also where its document is over: the module
// counts its calls by them, and would otherwise hold its slot for ever.
void Relay::report_not_sent(const Transmit& sent, int transmission) {
  Outcome outcome;
  outcome.doc = sent.doc, outcome.endpoint = sent.endpoint, outcome.result = TransmissionResult::not_sent;
  outcome.transmission = transmission;
  store_.record_never_ran(sent.doc, transmission);
  unsent_outcomes_.push_back(outcome);
}

// Another relay owns it: here it ends without a word.
void Relay::release(DocId doc) {
  begin_turn();
  deferred_ends_.erase(doc), pending_replies_.erase(doc);
  decision_->withdraw(doc);
  store_.remove(doc);
}

void Relay::answer_pending(DocId doc, bool taken) {
  auto found = pending_replies_.find(doc);
  if (found == pending_replies_.end()) return;
  // Each part has a word in it: the last one that says yes is followed.
  if (taken && store_.documents().count(doc) && !fleet_->may_answer(doc)) return;
  auto to = found->second;
  pending_replies_.erase(found);
  begin_turn();
  if (!store_.documents().count(doc)) return;
  const StoredDocument& held = store_.documents().at(doc);
  clients_.reply(to, taken ? "+OK\r\n" : busy(decision_->retry_after(held.destination)));
  if (taken) decision_->accept(to_document(held, doc, EventLoop::wall_time()));
  else store_.remove(doc);
}

void Relay::answer_new_documents(bool kept) {
  for (const auto& one : std::exchange(new_documents_, {})) {
    if (fleet_ && kept) {
      pending_replies_[one.doc] = one.reply_to;
      answer_pending(one.doc, true);
      continue;
    }
    clients_.reply(
        one.reply_to,
        kept ? "+OK\r\n" : busy(decision_->retry_after(store_.documents().at(one.doc).destination)));
    if (kept) continue;
    decision_->withdraw(one.doc);
    store_.remove(one.doc);
  }
}

void Relay::send(const std::vector<Transmit>& transmitted) {
  // Transmissions of one turn to one endpoint make one call, up to the number its kind allows, and to what
  // the protocol lets a body hold.
  struct Bundle {
    EndpointId endpoint{};
    std::vector<OutboundTransmission> parcels;
    std::size_t bytes = 0;
  };
  std::vector<Bundle> calls;
  std::unordered_map<std::uint64_t, std::size_t> open;
  for (const auto& sent : transmitted) {
    auto found = store_.documents().find(sent.doc);
    if (found == store_.documents().end()) continue;
    const StoredDocument& held = found->second;
    auto kind = static_cast<std::size_t>(known_endpoints_.at(sent.endpoint).kind);
    auto most =
        static_cast<std::size_t>(std::max(1, config_.settings.destination_kinds.at(kind).max_batch_size));
    auto bytes = Endpoints::batch_item_bytes(held.id, held.idempotency_key, held.body);
    auto [place, fresh] = open.try_emplace(static_cast<std::uint64_t>(sent.endpoint), calls.size());
    if (!fresh) {
      const Bundle& before = calls[place->second];
      if (before.parcels.size() >= most || before.bytes + bytes > Endpoints::max_body_bytes) fresh = true;
    }
    if (fresh) {
      place->second = calls.size();
      calls.push_back({sent.endpoint, {}, 0});
    }
    Bundle& bundle = calls[place->second];
    bundle.bytes += bytes;
    bundle.parcels.push_back(
        {sent.doc, held.transmissions - 1, sent.timeout, held.id, held.idempotency_key, held.body});
  }
  for (const auto& bundle : calls) endpoints_.call(bundle.endpoint, bundle.parcels);
}

// Where the fleet has a word in it: a call of which a document may not go yet waits, whole.
void Relay::send_or_defer(const std::vector<Transmit>& transmitted) {
  std::map<EndpointId, std::vector<DeferredTransmission>> calls;
  for (const auto& sent : transmitted)
    if (auto found = store_.documents().find(sent.doc); found != store_.documents().end())
      calls[sent.endpoint].push_back({sent, found->second.transmissions - 1});
  std::vector<Transmit> going;
  for (auto& [endpoint, call] : calls) {
    bool now =
        std::ranges::all_of(call, [&](const auto& one) { return may_send(one.sent.doc, one.transmission); });
    for (const auto& one : call)
      if (now) going.push_back(one.sent);
    if (!now) deferred_calls_.push_back(std::move(call));
  }
  send(going);
}

// Maintenance outlives this process: it is noted before the answer, and told to the module in the same round.
std::string Relay::set_offline(const std::string& name, bool out) {
  EndpointId endpoint{fnv1a_hash(name)};
  if (!known_endpoints_.count(endpoint) && !store_.offline_endpoints().count(name))
    return "no such endpoint: " + rockcrank::quote_excerpt(name);
  if (!store_.set_offline(name, out)) return "it cannot be noted: the folder is full or cannot be written";
  begin_turn();
  decision_->set_offline(endpoint, out);
  if (fleet_) fleet_->told_out(name, out);
  log_line("endpoint %.60s is %s by staff", name.c_str(), out ? "taken out" : "put back");
  return {};
}

// Counts since the start of the process, by name. A violation is a rule that the module's own run-time check
// found broken.
std::string Relay::metrics() {
  const Counters& counters = decision_->counters();
  std::string text;
  auto add = [&](const char* name, std::uint64_t value) {
    if (!text.empty()) text += ' ';
    text += std::string(name) + "=" + std::to_string(value);
  };
  add("held", store_.documents().size());
  add("attempts", counters.calls);
  add("retried_messages", counters.retried_documents);
  add("slow_start_attempts", counters.slow_start_calls);
  add("trials", counters.trial_calls);
  add("not_begun", counters.not_started);
  add("rejected", counters.rejected);
  add("abandoned", counters.abandoned);
  add("called_off", counters.canceled);
  add("breakers_opened", counters.breakers_opened);
  add("cold_returns", counters.slow_starts);
  for (std::size_t i = 0; i < close_reason_count; ++i) {
    auto reason = static_cast<CloseReason>(i);
    add((std::string("clients_closed_") + name_of(reason)).c_str(), clients_.closed_count(reason));
  }
  add("checks", counters.invariants.checks());
  for (std::size_t i = 0; i < invariant_count; ++i) {
    auto invariant = static_cast<Invariant>(i);
    add((std::string("violations_") + name_of(invariant)).c_str(), counters.invariants.violations(invariant));
  }
  return text;
}

// A killed process says nothing at its end, so the counts are told now and then, where they have changed.
void Relay::log_metrics() {
  metrics_timer_.set(loop_.now() + metrics_every);
  std::string now = metrics();
  if (now != last_logged_metrics_) log_line("event=metrics %s", now.c_str());
  last_logged_metrics_ = now;
}

// SIGHUP: a new file counts whole or not at all. Documents held keep the type they were taken on with;
// breakers, waits and cold returns live on. What is numbered in all that is held waits for the next start,
// and so do addresses but the agent's, and limits of the process.
void Relay::reload_config() {
  try {
    auto fresh = read_config(&config_);
    if (fresh.discovery != config_.discovery)
      watch_.set_agent(fresh.discovery), notices_.set_agent(fresh.discovery);
    log_line("read again: discovery at %s:%d, %zu document types, %d transmissions at most%s",
             fresh.discovery.host.c_str(), fresh.discovery.port, fresh.doc_types.size(),
             fresh.settings.max_transmissions,
             fresh.restart_only_hash == config_.restart_only_hash
                 ? ""
                 : "; what else is new waits for the next start");
    config_.discovery = fresh.discovery, config_.restart_only_hash = fresh.restart_only_hash;
    config_.settings = std::move(fresh.settings), config_.doc_types = std::move(fresh.doc_types);
    config_.tenants = std::move(fresh.tenants), config_.required_keys = std::move(fresh.required_keys);
    endpoints_.set_timeouts(config_.settings.connect_timeout, fresh.idle_timeout);
    begin_turn();
    decision_->update_settings(config_.settings);
  } catch (const std::exception& error) {
    log_line("read again: the old configuration stays: %s", error.what());
  }
}

// A planned end: clients are served on while their connections still come, then each connection is closed
// between two requests; calls under way are let end, and what is held waits in the store.
void Relay::begin_shutdown() {
  if (std::exchange(shutting_down_, true)) return;
  log_line("%s is asked to end, %zu documents held", config_.name.c_str(), store_.documents().size());
  shutdown_deadline_ = loop_.now() + gone_within;
  begin_turn();
  decision_->begin_shutdown(gone_within);
  if (fleet_) fleet_->leave();
  shutdown_timer_.set(loop_.now() + connections_come);
}

void Relay::continue_shutdown() {
  auto now = loop_.now();
  clients_.stop_listening();
  clients_.close_after_replies();
  if (now >= shutdown_deadline_ - last_answers) clients_.close_now();
  // Guards against an end that resets a connection: over bytes that were not read, or over answers that were
  // not sent. Each client's connection ends first, or its time to end is over.
  bool clients_gone = clients_.size() == 0;
  bool nothing_held =
      endpoints_.no_calls_in_flight() && notices_.all_acknowledged() && store_.documents().empty();
  bool done = clients_gone && nothing_held;
  if (done || now >= shutdown_deadline_) {
    // Guards against a message read in this round that would go without its answer.
    if (turn_open_) end_turn();
    return loop_.stop();
  }
  shutdown_timer_.set(std::min(shutdown_deadline_, now + 50));
}

}  // namespace rockcrank
