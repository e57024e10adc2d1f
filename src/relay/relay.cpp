// The turns of a relay. The order in end_turn() is a guarantee to clients and endpoints: the store is written
// before replies and calls. Waits, retries and choices are left to the decision module.

#include "relay/relay.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "relay/log.h"
#include "relay/process_memory.h"
#include "settings/settings.h"

namespace rockcrank {
namespace {

// The platform's times of a planned restart: clients still connect for 0.2 to 0.4 s after SIGTERM, and
// SIGKILL comes no sooner than 3.7 s after it.
constexpr Millis accept_grace = 500;
constexpr Millis shutdown_timeout = 3500;
// The last part of that time: replies sent now still reach the clients, and what clients send meanwhile is
// read and dropped.
constexpr Millis final_reply_time = 300;
constexpr Millis metrics_interval = 10000;
constexpr Millis never = 1e18;
constexpr Millis unrecorded_end_interval = 100;  // between attempts to record an end
constexpr Millis late_round = 50;  // a timer later than this is logged, as this process was held up
constexpr Millis late_log_interval = 1000;
constexpr Millis orphan_poll_interval = 50;  // for the end of a process that still owns its file
constexpr int handover_format = 7;  // incremented with every change of what make_handover_payload() returns

using Json = nlohmann::json;

Store::HandoverState store_from_handover(const Json& state, HandoverPayload& payload) {
  if (state.at("form") != handover_format)
    throw std::runtime_error("the handover state has an unknown format");
  const Json& store = state.at("store");
  Store::HandoverState handover;
  handover.path = store.at(0).get<std::string>(), handover.snapshot = store.at(1).get<std::string>();
  handover.descriptor = payload.take_descriptor(store.at(2).get<std::size_t>()),
  handover.last_doc_number = store.at(3).get<std::uint64_t>();
  handover.file_bytes = store.at(4).get<std::size_t>(), handover.rewrite_needed = store.at(5).get<bool>();
  return handover;
}

std::string merge_metadata(const std::string& name, const std::string& one, const std::string& other) {
  if (RouteStateStore::owns_name(name)) return RouteStateStore::merge(one, other);
  if (AddressStore::owns_name(name)) return AddressStore::merge(one, other);
  return peer::merge_metadata(name, one, other);
}

std::string busy_reply(Millis wait) {
  return wait > 0 ? "-BUSY " + std::to_string(static_cast<long>(std::ceil(wait))) + "\r\n" : "-BUSY\r\n";
}

}  // namespace

Relay::Relay(Config config, EventLoop& loop, AdminServer* admin, HandoverPayload* payload,
             bool gossip_enabled)
    : Relay(std::move(config), loop, admin,
            payload ? nlohmann::json::from_cbor(payload->state) : nlohmann::json(), payload, gossip_enabled) {
}

Relay::Relay(Config config, EventLoop& loop, AdminServer* admin, const nlohmann::json& state,
             HandoverPayload* payload, bool gossip_enabled)
    : config_(std::move(config)),
      fleet_config_(peer::load_fleet_config(config_)),
      loop_(loop),
      store_(payload
                 ? Store(config_.state_folder, config_.max_disk_bytes, store_from_handover(state, *payload),
                         merge_metadata)
                 : Store(config_.state_folder,
                         config_.max_disk_bytes - peer::reserved_disk_bytes(fleet_config_), merge_metadata)),
      decision_(Decision::make(config_.settings, config_.seed)),
      clients_(loop_, config_.listen, config_.inherited_socket,
               {config_.max_client_connections,
                config_.max_idle_clients,
                {config_.max_memory_bytes, config_.max_disk_bytes}}),
      endpoints_(loop_, {config_.settings.connect_timeout, config_.idle_timeout,
                         config_.max_endpoint_connections - peer::reserved_descriptors(fleet_config_)}),
      watch_(loop_, config_.discovery),
      reports_(loop_, config_.discovery),
      turn_timer_(loop_, [this] { end_turn(); }),
      shutdown_timer_(loop_, [this] { continue_shutdown(); }),
      signals_(
          loop_, [this] { begin_shutdown(); }, [this] { reload_config(); }),
      admin_(admin),
      adopt_timer_(loop_, [this] { adopt_orphaned_documents(); }),
      metrics_timer_(loop_, [this] { log_metrics(); }) {
  clients_.on_enqueue = [this](const EnqueueCommand& command, ReplyTo to) { enqueue(command, to); };
  endpoints_.on_outcome = [this](const Outcome& outcome) { on_outcome(outcome); };
  endpoints_.on_wait_told_early = [this](DocId doc, int transmission, Millis wait) {
    begin_turn();
    decision_->wait_told_early(doc, transmission, wait);
  };
  endpoints_.acceptance_delay = [this](const UnprovenAnswer& answer) {
    begin_turn();
    return decision_->acceptance_delay(answer);
  };
  endpoints_.on_possible_end = [this](DocId doc, bool may_be_over) {
    begin_turn();
    store_.record_may_be_over(doc, may_be_over);
  };
  endpoints_.on_copied_answer = [this](EndpointId endpoint) {
    begin_turn();
    decision_->note_copied_answer(endpoint);
  };
  endpoints_.on_wait_told = [this](EndpointId endpoint, Millis wait) {
    begin_turn();
    decision_->wait_told(endpoint, wait);
  };
  endpoints_.may_keep_connection = [this](EndpointId endpoint, bool answers_repeat) {
    return decision_->may_keep_connection(endpoint, answers_repeat);
  };
  endpoints_.may_reuse_connection = [this](EndpointId endpoint, DocId doc, const EarlierAnswers& earlier) {
    return decision_->may_reuse_connection(endpoint, doc, earlier);
  };
  // A report on a document that is over does no harm, and one that is owed must not be missing.
  endpoints_.on_delivery_contradicted = [this](DocId doc, const std::string& id) {
    log_line("event=delivery_contradicted id=%s", id.c_str());
    if (!fleet_) reports_.report(doc, id, false, 0);
  };
  endpoints_.on_connecting = [this](DocId doc, int transmission) {
    decision_->note_connecting(doc, transmission);
  };
  endpoints_.may_write = [this](DocId doc, int transmission) { return may_write(doc, transmission); };
  endpoints_.view_is_fresh = [this] { return view_age() <= max_view_age; };
  endpoints_.on_write_deferred = [this](const std::vector<Endpoints::InFlightTransmission>& calls) {
    if (fleet_) return;  // recorded when it was chosen
    for (const auto& call : calls) store_.record_never_ran(call.doc, call.transmission);
  };
  endpoints_.is_finished = [this](DocId doc) {
    auto found = store_.documents().find(doc);
    return found == store_.documents().end() || found->second.ended;
  };
  endpoints_.before_write = [this](EndpointId endpoint,
                                   const std::vector<Endpoints::InFlightTransmission>& calls) {
    return record_in_doubt(endpoint, calls);
  };
  loop_.on_timer = [this](Millis late) { on_timer(late); };
  watch_.version = [this] { return directory_.version(); };
  watch_.on_failure = [this](bool turned_away, Millis took) {
    begin_turn();
    ++list_failures_;
    decision_->discovery_failed(turned_away, took);
  };
  watch_.on_list = [this](std::string_view body) {
    try {
      apply_endpoint_list(config_.parse_endpoint_list(nlohmann::json::parse(body)));
      if (auto failures = std::exchange(list_failures_, 0); failures > 0)
        log_line("endpoint list: version %lld after %d failures",
                 static_cast<long long>(directory_.version()), failures);
      return true;
    } catch (const std::exception& error) {
      log_line("endpoint list: %s", error.what());
      return false;
    }
  };
  reports_.on_acknowledged = [this](DocId doc) {
    store_.remove(doc);
    begin_turn();
    decision_->withdraw(doc);
  };
  reports_.backoff_after = [this](int failures) { return decision_->retry_backoff(failures); };
  if (payload) take_over(state, *payload);
  if (fleet_config_) start_fleet();
  else route_state_store_.emplace(store_, *decision_);
  if (!fleet_config_ && gossip_enabled && config_.gossip_allowed && !payload)
    gossip_socket_ =
        std::make_unique<peer::RouteGossipSocket>(loop_, *decision_, config_, [this] { begin_turn(); });
}

void Relay::start_fleet() {
  fleet_context_.emplace(peer::RelayContext{
      loop_, *decision_, store_, endpoints_, config_, directory_.entries(), [this] { begin_turn(); },
      [this] { return decision_time_; }, [this](DocId doc) { begin_turn(), resume_document(doc); },
      [this](DocId doc) { release(doc); },
      [this](DocId doc, bool accepted) { answer_pending(doc, accepted); },
      [this](const std::string& endpoint, bool offline) {
        if (!store_.set_offline(endpoint, offline)) return;
        begin_turn();
        decision_->set_offline(EndpointId(fnv1a_hash(endpoint)), offline);
      }});
  fleet_ = std::make_unique<peer::Fleet>(*fleet_context_, *fleet_config_, config_.state_folder, config_.seed);
  store_.on_record = [this](char kind, DocId doc, int transmission) {
    fleet_->on_store_record(kind, doc, transmission);
  };
}

Relay::~Relay() {
  loop_.on_timer = nullptr;
  if (admin_) admin_->on_health = nullptr, admin_->on_metrics = nullptr, admin_->on_set_offline = nullptr;
}

void Relay::run() {
  if (admin_) {
    admin_->on_metrics = [this] { return metrics(); };
    admin_->on_health = [this] { return std::string(shutting_down_ ? "it ends" : ""); };
    admin_->on_set_offline = [this](const std::string& endpoint, bool offline) {
      return set_offline(endpoint, offline);
    };
  }
  signals_.unblock_reload();
  // A SIGHUP may have reached the previous process during the handover, after this one had read the
  // configuration.
  if (taken_over_) reload_config();
  begin_turn();
  for (const std::string& endpoint : store_.offline_endpoints())
    decision_->set_offline(EndpointId(fnv1a_hash(endpoint)), true);
  if (!taken_over_) {
    restore_superseded();
    apply_endpoint_list(config_.known_endpoints);
  }
  if (fleet_) fleet_->start();
  if (route_state_store_ && !taken_over_) route_state_store_->restore();
  if (store_.has_recovered_file()) decision_->previous_process_ended();
  std::vector<DocId> all;
  for (const auto& [doc, stored] : store_.documents())
    if (!taken_over_ || stored.ended) all.push_back(doc);
  for (DocId doc : all) resume_document(doc);
  // A process that did not hand over may still send, so nothing is sent from here until it has ended.
  if (!store_.is_sole_process())
    decision_->pause_sending(true), adopt_timer_.set(loop_.now() + orphan_poll_interval);
  clients_.resume_reading();
  end_turn();
  if (config_.inherited_socket >= 0) {
    successor_ = std::make_unique<HandoverServer>(loop_, config_.state_folder);
    successor_->make_payload = [this](const std::string& numbering) {
      return make_handover_payload(numbering);
    };
    successor_->on_complete = [this] {
      handed_over_ = true;
      loop_.stop();
    };
  }
  log_line("%s is serving%s", config_.name.c_str(),
           taken_over_                ? ", state taken over from the previous process"
           : store_.is_sole_process() ? ""
                                      : "; it sends once the previous process has ended");
  log_line("event=limits clients=%zu endpoint_connections=%zu memory_bytes=%zu disk_bytes=%zu",
           config_.max_client_connections, config_.max_endpoint_connections, config_.max_memory_bytes,
           config_.max_disk_bytes);
  metrics_timer_.set(loop_.now() + metrics_interval);
  loop_.run();
  log_metrics();
  // The platform sends SIGTERM after a handover; it must not disturb the end of this process.
  if (handed_over_) {
    signals_.set_terminating();
    return log_line("%s: handover complete", config_.name.c_str());
  }
  store_.flush();
  log_line("%s stopped, %zu documents held", config_.name.c_str(), store_.documents().size());
  if (fleet_) log_line("fleet: %s", fleet_->summary().c_str());
}

void Relay::begin_turn() {
  decision_time_ = loop_.now();
  if (std::exchange(turn_open_, true)) return decision_->update_time(decision_time_);
  decision_->begin_turn(decision_time_);
  for (const auto& outcome : std::exchange(unsent_outcomes_, {})) decision_->outcome(outcome);
  // At most one turn per tick, which is a setting, so that documents arriving together can be sent together.
  turn_timer_.set(std::max(decision_time_, last_turn_at_ + config_.settings.tick));
}

// Whether a chosen call may be written now. The decision may be old by any time in which this process was
// stopped, had no processor or waited for its disk; so what has arrived meanwhile is read first.
SendPermission Relay::may_write(DocId doc, int transmission) {
  refresh_view();
  if (!owns(doc)) return begin_turn(), SendPermission::later;
  auto permission = decision_->may_send(doc, transmission);
  if (permission != SendPermission::now) begin_turn();
  return permission;
}

Millis Relay::view_age() const { return loop_.now() - std::max(loop_.inputs_read_at(), refreshed_at_); }

void Relay::refresh_view() {
  const Millis age = view_age();
  view_ages_.add(age);
  if (age > max_view_age) {
    refreshed_at_ = loop_.now();
    ++views_refreshed_;
    endpoints_.read_pending();
    watch_.read_pending();
  }
  decision_time_ = loop_.now();
  decision_->update_time(decision_time_);
}

// Records that this process was held up: stopped, without a processor, or waiting for its disk.
void Relay::on_timer(Millis late) {
  if (late < late_round) return;
  ++late_rounds_;
  latest_round_ = std::max(latest_round_, late);
  if (loop_.now() < late_logged_at_ + late_log_interval) return;
  late_logged_at_ = loop_.now();
  log_line("event=held_up late_ms=%.0f times=%llu", late, static_cast<unsigned long long>(late_rounds_));
}

Document Relay::to_document(const StoredDocument& stored, DocId doc, Millis wall) const {
  Document document;
  document.id = doc;
  document.type = decision_->type_id(stored.type), document.max_transmissions = stored.max_transmissions;
  auto tenant = config_.tenants.find(stored.tenant);
  document.tenant = tenant == config_.tenants.end() ? TenantId(UINT32_MAX) : tenant->second;  // has no share
  document.destination = stored.destination;
  document.has_key = stored.order_key.find_first_not_of('0') != std::string::npos;
  document.key = KeyId(fnv1a_hash(stored.order_key));
  document.time_left = stored.expiry - wall;
  document.transmissions = stored.transmissions;
  document.may_have_run = !stored.in_doubt.empty();
  if (document.may_have_run) {
    document.may_have_run_ago = std::max(0.0, wall - stored.in_doubt.front().sent_at);
    document.may_have_run_zone = stored.in_doubt.front().zone;
  }
  return document;
}

void Relay::resume_document(DocId doc) {
  if (!owns(doc) || deferred_ends_.count(doc)) return;  // the fleet resumes it once no other relay owns it
  StoredDocument& stored = store_.documents().at(doc);
  // Files of version 0.2.0 have only the name of the type.
  if (auto type = config_.doc_types.find(stored.doc_type); stored.max_transmissions == 0 && !stored.ended) {
    if (type == config_.doc_types.end()) return end_document(doc, false, 0);
    stored.type = type->second, stored.max_transmissions = config_.settings.max_transmissions;
  }
  if (!stored.ended && !stored.may_be_over) {
    Document document = to_document(stored, doc, EventLoop::wall_time());
    document.recovered = true;
    return decision_->accept(document);
  }
  if (Document ended = to_document(stored, doc, EventLoop::wall_time());
      stored.type.in_order && ended.has_key) {
    ended.ended = true;
    decision_->accept(ended);
  }
  // It is not sent again, and a report on a document that is over does no harm.
  if (!stored.ended) return end_document(doc, false, 0);
  // The process before may have handed over an end that it could not record.
  if (taken_over_) unreported_ends_[doc] = {stored.rejected, stored.reject_retry_after};
  else reports_.report(doc, stored.id, stored.rejected, stored.reject_retry_after);
}

// Resumes the documents of a process that has ended without a handover, as after a restart.
void Relay::adopt_orphaned_documents() {
  begin_turn();
  const Store::Adopted adopted = store_.adopt_orphaned_files();
  if (adopted.any_file) {
    restore_superseded();
    if (fleet_) fleet_->on_previous_process_ended();
    if (route_state_store_) route_state_store_->restore();
  }
  for (const auto& [endpoint, offline] : adopted.offline_orders) {
    decision_->set_offline(EndpointId(fnv1a_hash(endpoint)), offline);
    log_line("endpoint %.60s is %s by staff, at the previous process", endpoint.c_str(),
             offline ? "taken offline" : "put online");
  }
  for (DocId doc : adopted.found) resume_document(doc);
  // Handed in again here while the other process had it: nothing was sent from here yet.
  for (DocId doc : adopted.merged) {
    decision_->withdraw(doc);
    resume_document(doc);
  }
  for (const auto& [doc, fate] : adopted.over) {
    if (fate == DocumentFate::undeliverable) {
      end_document(doc, false, 0);
      continue;
    }
    decision_->withdraw(doc);
    store_.remove(doc);
  }
  decision_->previous_process_ended();
  if (!store_.is_sole_process()) return adopt_timer_.set(loop_.now() + orphan_poll_interval);
  decision_->pause_sending(false);
  log_line("%s starts sending: the previous process has ended", config_.name.c_str());
}

// Ends turns until none is open. What a turn sends can bring in answers that have arrived meanwhile, and
// these open the next turn: its records are not written yet, nor its decisions carried out. False: they keep
// coming.
bool Relay::end_open_turns() {
  constexpr int max_turns = 8;
  for (int turns = 0; turns < max_turns; ++turns) {
    end_turn();
    if (!turn_open_) return true;
  }
  return false;
}

// The whole state of this process, taken between two turns so that each command received is answered.
std::optional<HandoverPayload> Relay::make_handover_payload(const std::string& numbering) {
  // If kinds and zones are numbered differently there, the numbers in the state would mean others.
  if (numbering != config_.numbering_hash)
    return log_line("handover refused: kinds or zones differ"), std::nullopt;
  // Leases and copies belong to this incarnation; the next process starts as after a restart.
  if (fleet_) return log_line("handover refused: a member of a fleet has to restart"), std::nullopt;
  clients_.shed_for_handover();
  if (!end_open_turns()) return log_line("handover refused: answers keep arriving"), std::nullopt;
  begin_turn();
  const HandoverCounts counts = handover_counts();
  if (!counts.is_whole())
    return log_line("handover refused: the state is not whole: %s", counts.text().c_str()), std::nullopt;
  // Both processes hold the connections for a moment, and they share the limit on descriptors.
  if (2 * (clients_.size() + endpoints_.connections()) >
      config_.max_client_connections + config_.max_endpoint_connections)
    clients_.close_idle(), endpoints_.close_all_idle();
  HandoverPayload payload;
  auto add_descriptor = [&](int fd) {
    return payload.descriptors.push_back(fd), payload.descriptors.size() - 1;
  };
  auto stream = [&](const Stream::Snapshot& snapshot) {
    return Json::array(
        {add_descriptor(snapshot.fd), snapshot.connecting, snapshot.unconsumed, snapshot.unsent});
  };
  auto store = store_.handover_state();
  Json all{{"form", handover_format}, {"decision", decision_->export_state()}};
  all["directory"] = directory_.export_state();
  all["store"] = {
      store.path,       store.snapshot,      add_descriptor(store.descriptor), store.last_doc_number,
      store.file_bytes, store.rewrite_needed};
  for (const auto& [endpoint, at] : endpoints_.addresses())
    all["places"].push_back(Json::array({endpoint, at.host, at.port}));
  for (const auto& one : clients_.snapshot())
    all["clients"].push_back(Json::array(
        {stream(one.stream), one.has_sent_command, one.input_ended, one.closing, one.last_used_at}));
  for (const auto& one : endpoints_.snapshot()) {
    auto items = Json::array();
    for (const auto& item : one.transmissions)
      items.push_back(Json::array({item.doc, item.transmission, item.deadline, item.id}));
    all["calls"].push_back(Json::array({one.endpoint,
                                        one.address.host,
                                        one.address.port,
                                        stream(one.stream),
                                        items,
                                        one.request,
                                        one.is_batch,
                                        one.deferred,
                                        one.connection_closed,
                                        one.draining,
                                        one.started_at,
                                        one.written_at,
                                        one.idle_since,
                                        one.connection_idle_time,
                                        one.unproven_answer,
                                        one.unproven_at,
                                        one.history.hashes,
                                        one.history.answers,
                                        one.history.all_proved,
                                        one.answers_repeat,
                                        one.history.has_refusal,
                                        one.retired,
                                        one.disputed,
                                        one.ended_by_earlier}));
  }
  Json::to_cbor(all, payload.state);
  log_line("event=handover_state side=old %s", counts.text().c_str());
  return payload;
}

HandoverCounts Relay::handover_counts() {
  HandoverCounts counts;
  counts.documents = store_.documents().size();
  for (const auto& [doc, stored] : store_.documents()) {
    if (!stored.journaled) ++counts.unrecorded;
    if (stored.ended) ++counts.ended;
  }
  counts.undelivered = decision_->document_count();
  counts.unanswered_commands = clients_.unanswered_commands();
  counts.unread_bytes = clients_.unread_bytes();
  counts.clients = clients_.size();
  counts.calls = endpoints_.calls_in_flight();
  counts.addresses = directory_.addresses_known();
  return counts;
}

void Relay::take_over(const Json& state, HandoverPayload& payload) {
  decision_->import_state(state.at("decision").get<std::string>());
  directory_.import_state(state.at("directory"));
  auto list = [&](const char* name) { return state.value(name, Json::array()); };
  for (const auto& one : list("places"))
    endpoints_.set_address(one.at(0).get<EndpointId>(), {one.at(1).get<std::string>(), one.at(2).get<int>()});
  auto stream = [&](const Json& one) {
    return Stream::Snapshot{payload.take_descriptor(one.at(0).get<std::size_t>()), one.at(1).get<bool>(),
                            one.at(2).get<std::string>(), one.at(3).get<std::string>()};
  };
  std::vector<Clients::ConnectionSnapshot> clients;
  for (const auto& one : list("clients"))
    clients.push_back({stream(one.at(0)), one.at(1).get<bool>(), one.at(2).get<bool>(), one.at(3).get<bool>(),
                       one.at(4).get<double>()});
  clients_.restore(clients);
  std::vector<Endpoints::ConnectionSnapshot> calls;
  for (const auto& one : list("calls")) {
    Endpoints::ConnectionSnapshot snapshot;
    snapshot.endpoint = one.at(0).get<EndpointId>();
    snapshot.address = {one.at(1).get<std::string>(), one.at(2).get<int>()};
    snapshot.stream = stream(one.at(3));
    snapshot.request = one.at(5).get<std::string>();
    snapshot.is_batch = one.at(6).get<bool>(), snapshot.deferred = one.at(7).get<bool>();
    snapshot.connection_closed = one.at(8).get<bool>(), snapshot.draining = one.at(9).get<bool>();
    snapshot.started_at = one.at(10).get<double>(), snapshot.written_at = one.at(11).get<double>();
    snapshot.idle_since = one.at(12).get<double>(), snapshot.connection_idle_time = one.at(13).get<double>();
    snapshot.unproven_answer = one.at(14).get<std::string>(), snapshot.unproven_at = one.at(15).get<double>();
    snapshot.history.hashes = one.at(16).get<std::vector<std::uint64_t>>();
    snapshot.history.answers = one.at(17).get<int>(), snapshot.history.all_proved = one.at(18).get<bool>();
    snapshot.answers_repeat = one.at(19).get<bool>();
    snapshot.history.has_refusal = one.at(20).get<bool>();
    snapshot.retired = one.at(21).get<bool>(), snapshot.disputed = one.at(22).get<bool>();
    snapshot.ended_by_earlier = one.at(23).get<std::vector<std::string>>();
    for (const auto& item : one.at(4))
      snapshot.transmissions.push_back({item.at(0).get<DocId>(), item.at(1).get<int>(),
                                        item.at(2).get<double>(), item.at(3).get<std::string>()});
    calls.push_back(std::move(snapshot));
  }
  endpoints_.restore(calls);
  taken_over_ = true;
  const HandoverCounts counts = handover_counts();
  log_line("event=handover_state side=new %s", counts.text().c_str());
  if (!counts.is_whole()) throw std::runtime_error("the handover state is not whole");
}

void Relay::apply_endpoint_list(const EndpointListUpdate& list) {
  begin_turn();
  const auto changes = directory_.update(list, config_.settings.destination_kinds.size());
  std::vector<EndpointEntry> entries;
  for (const auto& listed : changes.listed) {
    entries.push_back(listed.entry);
    if (listed.address.port != 0) endpoints_.set_address(listed.entry.endpoint, listed.address);
  }
  give_up(changes.superseded, std::move(entries), list.full);
}

void Relay::restore_superseded() {
  const std::vector<EndpointId> superseded = directory_.restore_superseded();
  if (!superseded.empty()) give_up(superseded, {}, false);
}

// Passes the entries of a list on, and that these endpoints are gone, whatever it says.
void Relay::give_up(const std::vector<EndpointId>& superseded, std::vector<EndpointEntry> entries,
                    bool full) {
  for (EndpointId endpoint : superseded) {
    log_line("event=address_taken endpoint=%llx", static_cast<unsigned long long>(endpoint));
    EndpointEntry gone;
    gone.endpoint = endpoint;
    gone.status = EndpointStatus::gone;
    entries.push_back(gone);
  }
  decision_->update_endpoints(entries, full);
  for (EndpointId endpoint : superseded) endpoints_.give_up_address(endpoint);
}

void Relay::enqueue(const EnqueueCommand& command, ReplyTo reply_to) {
  auto reply = [&](const char* text) { clients_.reply(reply_to, text); };
  StoredDocument stored;
  stored.id = command.id, stored.order_key = command.order_key, stored.body = command.body;
  Millis time_left = -1;
  bool has_destination = false;
  try {
    auto attributes = command.attributes;
    while (!attributes.empty()) {
      auto pair = next_token(attributes, ',');
      auto equals = pair.find('=');
      if (equals == std::string_view::npos) continue;
      auto name = pair.substr(0, equals), value = pair.substr(equals + 1);
      if (name == "c") stored.doc_type = value;
      else if (name == "d") time_left = parse_number(value, "d");
      else if (name == "k") stored.idempotency_key = value;
      else if (name == "t") stored.tenant = value;
      else if (name == "dest")
        stored.destination = DestinationId(parse_integer(value, "dest", 0, INT64_MAX)),
        has_destination = true;
    }
  } catch (const ParseError& fault) {
    log_line("invalid command from a client: %s", fault.what());
    return reply("-ERR bad value\r\n");
  }
  if (stored.body.size() > Endpoints::max_body_bytes) return reply("-ERR body too large\r\n");
  if (!config_.doc_types.count(stored.doc_type) || time_left < 0 || !has_destination || stored.id.empty() ||
      !is_printable(stored.id) || !is_printable(stored.idempotency_key) ||
      stored.id.size() + stored.idempotency_key.size() + stored.order_key.size() + stored.tenant.size() >
          1024)
    return reply("-ERR bad document\r\n");
  // The end of a second document with the same id would be taken for the end of the first.
  if (store_.contains(stored.id)) return reply("-ERR the id is held already\r\n");
  // It has run, or may have, and may not run again.
  if (auto fate = store_.fate_of(stored.id))
    return reply(*fate == DocumentFate::delivered ? "+OK\r\n" : "-ERR the id has ended already\r\n");
  begin_turn();
  // A destination without endpoints cannot be sent to. The list may only be late, so the client may try
  // again.
  auto reply_busy = [&] { reply(busy_reply(decision_->retry_after(stored.destination)).c_str()); };
  if (!decision_->has_destination(stored.destination)) return reply_busy();
  auto bytes =
      stored.id.size() + stored.idempotency_key.size() + stored.body.size() + stored.order_key.size() + 128;
  // At the document limit or with a full store nothing ran, so the client may try again.
  if (!decision_->has_capacity() || !store_.has_room(bytes)) return reply_busy();
  auto wall = EventLoop::wall_time();
  stored.expiry = wall + time_left;
  stored.type = config_.doc_types.at(stored.doc_type),
  stored.max_transmissions = config_.settings.max_transmissions;
  auto doc = store_.add(std::move(stored));
  new_documents_.push_back({doc, reply_to});
  if (!fleet_) decision_->accept(to_document(store_.documents().at(doc), doc, wall));
}

void Relay::on_outcome(const Outcome& outcome) {
  begin_turn();
  bool never_ran = outcome.result == TransmissionResult::refused ||
                   outcome.result == TransmissionResult::not_connected ||
                   outcome.result == TransmissionResult::not_sent;
  if (fleet_) fleet_->on_outcome(outcome);  // while the document is still in the store
  if (store_.documents().count(outcome.doc)) {
    if (outcome.end == DocumentEnd::over) {
      if (never_ran) log_over(outcome);
      store_.remove(outcome.doc);
    } else if (never_ran) store_.record_never_ran(outcome.doc, outcome.transmission);
  }
  decision_->outcome(outcome);
}

// The endpoint ended the document: nothing is owed to its client.
void Relay::log_over(const Outcome& outcome) const {
  log_line("event=over message=%llu attempt=%d connection=%llu calls_before=%d id=%s",
           0ULL + static_cast<std::uint64_t>(outcome.doc), outcome.transmission, 0ULL + outcome.connection,
           outcome.calls_before, store_.documents().at(outcome.doc).id.c_str());
}

void Relay::end_document(DocId doc, bool rejected, Millis wait) {
  if (!store_.documents().count(doc)) return;
  // Another relay may own it by now. Its end is deferred until that is known, and not announced in that case.
  if (!owns(doc)) return deferred_ends_[doc] = {rejected, wait}, void();
  auto new_document =
      std::find_if(new_documents_.begin(), new_documents_.end(), [&](const auto& a) { return a.doc == doc; });
  if (new_document != new_documents_.end()) {
    // Not accepted yet: the client is told immediately, and no notice is needed.
    auto reply_to = new_document->reply_to;
    new_documents_.erase(new_document);
    store_.remove(doc);
    decision_->withdraw(doc);
    return clients_.reply(reply_to, rejected ? busy_reply(wait) : "-ERR cannot be transmitted\r\n");
  }
  store_.record_ended(doc, rejected, wait);
  // A copy must have recorded the end first, otherwise a relay that takes over could announce a different
  // one.
  if (fleet_ && !fleet_->may_report_end(doc)) return;
  unreported_ends_[doc] = {rejected, wait};
}

// An end is told once it is recorded: a process that is killed in between would else send the document again,
// or tell an end once more. Where the store cannot be written, an end waits as long as its document's time
// allows.
void Relay::report_ends(bool flushed) {
  const Millis wall = EventLoop::wall_time();
  for (const auto& [doc, end] : std::exchange(unreported_ends_, {})) {
    auto found = store_.documents().find(doc);
    if (found == store_.documents().end()) continue;
    if (!flushed && wall < found->second.expiry - unrecorded_end_margin) unreported_ends_[doc] = end;
    else reports_.report(doc, found->second.id, end.rejected, end.wait);
  }
}

// A client that has reset its connection in this turn hears of no answer, and may hand its documents in
// again. None of them was recorded or sent.
void Relay::withdraw_left_behind() {
  std::erase_if(new_documents_, [&](const auto& one) {
    if (clients_.is_connected(one.reply_to.client)) return false;
    ++left_behind_;
    decision_->withdraw(one.doc);
    store_.remove(one.doc);
    return true;
  });
}

void Relay::end_turn() {
  begin_turn();
  withdraw_left_behind();
  resume_deferred();
  auto actions = decision_->decide();
  turn_open_ = false;
  last_turn_at_ = loop_.now();
  turn_timer_.clear();
  if (fleet_) fleet_->after_turn(actions);
  if (gossip_socket_) gossip_socket_->after_turn();
  for (const auto& line : actions.log) log_decision(line);
  end_documents(actions);
  // The store is written before replies and calls, so that a restart knows of both.
  record(actions);
  bool flushed = store_.flush();
  if (!flushed) actions.transmissions = filter_sendable_unrecorded(actions.transmissions);
  answer_new_documents(flushed);
  report_ends(flushed);
  apply_to_endpoints(actions);
  if (actions.long_poll_wait > 0) watch_.start(actions.long_poll_wait, actions.discovery_timeout);
  schedule_next_turn(actions.wake_in);
}

// With the caller's id of its document, by which a caller's report can be found in the log.
void Relay::log_decision(const LogLine& line) const {
  auto found = line.doc ? store_.documents().find(*line.doc) : store_.documents().end();
  if (found == store_.documents().end()) return log_line("%s", line.text.c_str());
  log_line("%s id=%s", line.text.c_str(), found->second.id.c_str());
}

void Relay::resume_deferred() {
  if (fleet_) {
    fleet_->before_turn();
    end_deferred();
    send_deferred();
  }
  if (gossip_socket_) gossip_socket_->before_turn();
  endpoints_.resume_deferred();
}

void Relay::end_documents(const Actions& actions) {
  for (const auto& reject : actions.rejected) end_document(reject.doc, true, reject.retry_after);
  for (DocId doc : actions.abandoned) end_document(doc, false, 0);
}

void Relay::record(const Actions& actions) {
  for (const auto& one : new_documents_) store_.record_accepted(one.doc);
  const Millis wall = EventLoop::wall_time();
  for (const auto& sent : actions.transmissions) {
    auto found = store_.documents().find(sent.doc);
    if (found == store_.documents().end()) continue;
    auto transmission = found->second.transmissions;
    store_.record_transmission(sent.doc, transmission, wall, directory_.entries().at(sent.endpoint).zone);
    // The transmission is counted here, but can only run once its request is written; record_in_doubt()
    // records that. With a fleet the copies have to confirm it before, so it stays recorded from here on.
    if (!fleet_) store_.record_never_ran(sent.doc, transmission);
  }
  if (route_state_store_) route_state_store_->save();
}

void Relay::apply_to_endpoints(const Actions& actions) {
  for (const auto& one : actions.closed_connections) endpoints_.close_idle(one.endpoint, one.min_idle_time);
  endpoints_.max_idle_time = actions.max_idle_time;
  if (fleet_) send_or_defer(actions.transmissions);
  else send(actions.transmissions);
  for (const auto& call : actions.canceled) endpoints_.cancel(call.doc, call.transmission);
  for (EndpointId endpoint : actions.forgotten_endpoints) {
    endpoints_.remove(endpoint);
    directory_.forget(endpoint);
  }
}

void Relay::schedule_next_turn(Millis wake_in) {
  if (turn_open_) return;
  Millis wake = wake_in >= 0 ? wake_in : never;
  if (!unsent_outcomes_.empty()) wake = 0;
  if (!unreported_ends_.empty()) wake = std::min(wake, unrecorded_end_interval);
  if (wake < never) turn_timer_.set(loop_.now() + std::max(wake, config_.settings.tick));
}

// Records the transmissions as possibly run only now, right before the request is written. A call that was
// still waiting for its connection or its turn when the process was killed never ran, and is retried after
// the restart.
bool Relay::record_in_doubt(EndpointId endpoint, const std::vector<Endpoints::InFlightTransmission>& calls) {
  if (fleet_) return true;  // recorded when it was chosen
  auto wall = EventLoop::wall_time();
  for (const auto& call : calls)
    store_.record_transmission(call.doc, call.transmission, wall, directory_.entries().at(endpoint).zone);
  return store_.flush() || std::ranges::all_of(calls, [&](const auto& call) {
           auto found = store_.documents().find(call.doc);
           return found == store_.documents().end() || may_send_unrecorded(found->second);
         });
}

bool Relay::may_send_unrecorded(const StoredDocument& stored) {
  return stored.type.may_forget_transmission(stored.expiry - EventLoop::wall_time());
}

// Used when the store could not be written. Drops transmissions that must be recorded before they are sent,
// and those of new documents, which are about to be returned to their clients. Returns the rest.
std::vector<Transmit> Relay::filter_sendable_unrecorded(const std::vector<Transmit>& transmissions) {
  std::vector<Transmit> sendable;
  for (const auto& sent : transmissions) {
    auto found = store_.documents().find(sent.doc);
    if (found == store_.documents().end()) continue;
    bool is_new = std::ranges::any_of(new_documents_, [&](const auto& one) { return one.doc == sent.doc; });
    if (!fleet_ && !is_new && may_send_unrecorded(found->second)) sendable.push_back(sent);
    else report_not_sent(sent, found->second.transmissions - 1);
  }
  return sendable;
}

// Processes the ends that were deferred while it was not known whether this relay still owned the documents.
void Relay::end_deferred() {
  for (const auto& [doc, end] : std::exchange(deferred_ends_, {})) end_document(doc, end.rejected, end.wait);
}

// Sends calls that were deferred until a copy had recorded their transmissions. The module is asked once more
// whether they may begin, since that decision has aged.
void Relay::send_deferred() {
  std::vector<Transmit> sendable;
  for (auto& call : std::exchange(deferred_calls_, {})) {
    auto permission = SendPermission::now;
    for (const auto& [sent, transmission] : call) {
      auto found = store_.documents().find(sent.doc);
      if (found == store_.documents().end() || found->second.ended) permission = SendPermission::never;
      else if (!owns(sent.doc)) permission = SendPermission::never;
      else if (!may_send(sent.doc, transmission)) permission = std::max(permission, SendPermission::later);
      else permission = std::max(permission, decision_->may_send(sent.doc, transmission));
    }
    if (permission == SendPermission::later) deferred_calls_.push_back(std::move(call));
    for (const auto& [sent, transmission] : call)
      if (permission == SendPermission::now) sendable.push_back(sent);
      else report_not_sent(sent, transmission);
  }
  if (!sendable.empty()) send(sendable);
}

// The transmission is not sent after all. Its outcome is reported even if the document has ended: the module
// counts its calls by outcomes and would otherwise keep the slot forever.
void Relay::report_not_sent(const Transmit& sent, int transmission) {
  Outcome outcome;
  outcome.doc = sent.doc, outcome.endpoint = sent.endpoint, outcome.result = TransmissionResult::not_sent;
  outcome.transmission = transmission;
  store_.record_never_ran(sent.doc, transmission);
  unsent_outcomes_.push_back(outcome);
}

// Another relay owns the document: it is removed here without a notice.
void Relay::release(DocId doc) {
  begin_turn();
  deferred_ends_.erase(doc), pending_replies_.erase(doc);
  decision_->withdraw(doc);
  store_.remove(doc);
}

void Relay::answer_pending(DocId doc, bool accepted) {
  auto found = pending_replies_.find(doc);
  if (found == pending_replies_.end()) return;
  // Every part of the fleet must agree, and the last one to do so triggers the reply.
  if (accepted && store_.documents().count(doc) && !fleet_->may_acknowledge(doc)) return;
  auto reply_to = found->second;
  pending_replies_.erase(found);
  begin_turn();
  if (!store_.documents().count(doc)) return;
  const StoredDocument& stored = store_.documents().at(doc);
  clients_.reply(reply_to, accepted ? "+OK\r\n" : busy_reply(decision_->retry_after(stored.destination)));
  if (accepted) decision_->accept(to_document(stored, doc, EventLoop::wall_time()));
  else store_.remove(doc);
}

void Relay::answer_new_documents(bool flushed) {
  for (const auto& one : std::exchange(new_documents_, {})) {
    if (fleet_ && flushed) {
      pending_replies_[one.doc] = one.reply_to;
      answer_pending(one.doc, true);
      continue;
    }
    clients_.reply(
        one.reply_to,
        flushed ? "+OK\r\n" : busy_reply(decision_->retry_after(store_.documents().at(one.doc).destination)));
    if (flushed) continue;
    decision_->withdraw(one.doc);
    store_.remove(one.doc);
  }
}

void Relay::send(const std::vector<Transmit>& transmissions) {
  // Transmissions of one turn to one endpoint are batched into one call, up to the number its kind allows and
  // the protocol's limit on the body.
  struct Batch {
    EndpointId endpoint{};
    std::vector<Transmit> transmissions;
    std::size_t bytes = 0;
  };
  std::vector<Batch> calls;
  std::unordered_map<std::uint64_t, std::size_t> open;
  for (const auto& sent : transmissions) {
    auto found = store_.documents().find(sent.doc);
    if (found == store_.documents().end()) continue;
    const StoredDocument& stored = found->second;
    auto kind = static_cast<std::size_t>(directory_.entries().at(sent.endpoint).kind);
    auto max_size =
        static_cast<std::size_t>(std::max(1, config_.settings.destination_kinds.at(kind).max_batch_size));
    auto bytes = Endpoints::batch_item_bytes(stored.id, stored.idempotency_key, stored.body);
    auto [batch_index, starts_batch] =
        open.try_emplace(static_cast<std::uint64_t>(sent.endpoint), calls.size());
    if (!starts_batch) {
      const Batch& current = calls[batch_index->second];
      if (current.transmissions.size() >= max_size || current.bytes + bytes > Endpoints::max_body_bytes)
        starts_batch = true;
    }
    if (starts_batch) {
      batch_index->second = calls.size();
      calls.push_back({sent.endpoint, {}, 0});
    }
    Batch& batch = calls[batch_index->second];
    batch.bytes += bytes;
    batch.transmissions.push_back(sent);
  }
  for (const auto& batch : calls) {
    std::vector<OutboundTransmission> outbound;
    for (const auto& sent : batch.transmissions)
      outbound.push_back(to_outbound(sent, store_.documents().at(sent.doc)));
    endpoints_.call(batch.endpoint, outbound);
  }
}

OutboundTransmission Relay::to_outbound(const Transmit& sent, const StoredDocument& stored) const {
  OutboundTransmission outbound;
  outbound.doc = sent.doc;
  outbound.transmission = stored.transmissions - 1;
  outbound.deadline = sent.deadline;
  outbound.id = stored.id;
  outbound.idempotency_key = stored.idempotency_key;
  outbound.body = stored.body;
  return outbound;
}

// With a fleet, a call waits as a whole while one of its documents may not be sent yet.
void Relay::send_or_defer(const std::vector<Transmit>& transmissions) {
  std::map<EndpointId, std::vector<DeferredTransmission>> calls;
  for (const auto& sent : transmissions)
    if (auto found = store_.documents().find(sent.doc); found != store_.documents().end())
      calls[sent.endpoint].push_back({sent, found->second.transmissions - 1});
  std::vector<Transmit> sendable;
  for (auto& [endpoint, call] : calls) {
    bool now =
        std::ranges::all_of(call, [&](const auto& one) { return may_send(one.sent.doc, one.transmission); });
    for (const auto& one : call)
      if (now) sendable.push_back(one.sent);
    if (!now) deferred_calls_.push_back(std::move(call));
  }
  send(sendable);
}

// Maintenance outlives this process: it is stored before the answer, and reported to the module in the same
// round.
std::string Relay::set_offline(const std::string& name, bool offline) {
  EndpointId endpoint{fnv1a_hash(name)};
  if (!directory_.entries().count(endpoint) && !store_.offline_endpoints().count(name))
    return "no such endpoint: " + rockcrank::quote_excerpt(name);
  if (!store_.set_offline(name, offline))
    return "it cannot be noted: the folder is full or cannot be written";
  begin_turn();
  decision_->set_offline(endpoint, offline);
  if (fleet_) fleet_->set_offline(name, offline);
  log_line("endpoint %.60s is %s by staff", name.c_str(), offline ? "taken offline" : "put online");
  return {};
}

// Counters since the start of the process, by name. A violation is a rule that the module's run-time checks
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
  const ClientBytes client_bytes = clients_.held_bytes();
  add("client_connections", clients_.size());
  add("documents_left_behind", left_behind_);
  add("client_received_bytes", client_bytes.received);
  add("client_received_limit_bytes", clients_.budget().limit(ClientBuffer::received));
  add("client_unsent_bytes", client_bytes.unsent);
  add("client_unsent_limit_bytes", clients_.budget().limit(ClientBuffer::unsent));
  add("clients_shed", clients_.shed_count());
  add("client_longest_read_ms", static_cast<std::uint64_t>(clients_.longest_read()));
  add("document_bytes", store_.document_bytes());
  add("queued_record_bytes", store_.pending_bytes());
  add("memory_peak_bytes", peak_resident_bytes());
  add("memory_limit_bytes", config_.max_memory_bytes);
  const auto& answers = endpoints_.answer_counts();
  add("answers_copied", answers.copied);
  add("answers_unexpected", answers.unexpected);
  add("answers_before_call", answers.early);
  add("answers_unproven", answers.unproven);
  add("answers_kept", answers.kept);
  add("answers_not_accepted", answers.not_accepted);
  for (std::size_t i = 0; i < endpoint_close_reason_count; ++i) {
    auto reason = static_cast<EndpointCloseReason>(i);
    add((std::string("connections_closed_") + name_of(reason)).c_str(), endpoints_.closed_count(reason));
  }
  add("addresses_known", directory_.addresses_known());
  add("addresses_taken", directory_.addresses_taken());
  add("views_refreshed", views_refreshed_);
  add("late_rounds", late_rounds_);
  add("latest_round_ms", static_cast<std::uint64_t>(latest_round_));
  text += " view_age_ms=" + view_ages_.text();
  add("checks", counters.invariants.checks());
  for (std::size_t i = 0; i < invariant_count; ++i) {
    auto invariant = static_cast<Invariant>(i);
    add((std::string("violations_") + name_of(invariant)).c_str(), counters.invariants.violations(invariant));
  }
  return text;
}

// A killed process logs nothing at its end, so changed metrics are logged periodically.
void Relay::log_metrics() {
  metrics_timer_.set(loop_.now() + metrics_interval);
  std::string now = metrics();
  if (now != last_logged_metrics_) log_line("event=metrics %s", now.c_str());
  last_logged_metrics_ = now;
}

// On SIGHUP a new configuration is applied completely or not at all. Stored documents keep the type they were
// accepted with; circuit breakers, waits and slow starts continue. Kinds, zones and other settings whose
// numbers the state refers to, limits of the process, and all addresses but the agent's change only at the
// next start.
void Relay::reload_config() {
  try {
    auto updated = read_config(&config_);
    if (updated.discovery != config_.discovery)
      watch_.set_agent(updated.discovery), reports_.set_agent(updated.discovery);
    log_line("configuration reloaded: discovery at %s:%d, %zu document types, %d transmissions at most%s",
             updated.discovery.host.c_str(), updated.discovery.port, updated.doc_types.size(),
             updated.settings.max_transmissions,
             updated.restart_only_hash == config_.restart_only_hash
                 ? ""
                 : "; other changes take effect at the next start");
    config_.discovery = updated.discovery, config_.restart_only_hash = updated.restart_only_hash;
    config_.settings = std::move(updated.settings), config_.doc_types = std::move(updated.doc_types);
    config_.tenants = std::move(updated.tenants), config_.required_keys = std::move(updated.required_keys);
    endpoints_.set_timeouts(config_.settings.connect_timeout, updated.idle_timeout);
    begin_turn();
    decision_->update_settings(config_.settings);
  } catch (const std::exception& error) { log_line("configuration not reloaded: %s", error.what()); }
}

// A planned shutdown: clients are served while they still connect, then each connection is closed between two
// commands. Calls in flight may end, and the remaining documents stay in the store.
void Relay::begin_shutdown() {
  if (std::exchange(shutting_down_, true)) return;
  log_line("%s is shutting down, %zu documents held", config_.name.c_str(), store_.documents().size());
  shutdown_deadline_ = loop_.now() + shutdown_timeout;
  begin_turn();
  decision_->begin_shutdown(shutdown_timeout);
  if (fleet_) fleet_->leave();
  shutdown_timer_.set(loop_.now() + accept_grace);
}

void Relay::continue_shutdown() {
  auto now = loop_.now();
  clients_.stop_listening();
  clients_.close_after_replies();
  if (now >= shutdown_deadline_ - final_reply_time) clients_.close_now(shutdown_deadline_);
  // Ending the process would reset connections with unread bytes or unsent replies, so it waits until all
  // client connections are closed or the deadline has passed.
  bool clients_closed = clients_.size() == 0;
  bool all_delivered =
      endpoints_.no_calls_in_flight() && reports_.all_acknowledged() && store_.documents().empty();
  bool done = clients_closed && all_delivered;
  if (done || now >= shutdown_deadline_) {
    // A document read in this round still gets its reply, and an answer that has arrived still counts.
    endpoints_.read_pending();
    if (turn_open_) end_turn();
    return loop_.stop();
  }
  shutdown_timer_.set(std::min(shutdown_deadline_, now + 50));
}

}  // namespace rockcrank
