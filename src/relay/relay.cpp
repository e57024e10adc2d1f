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

Store::Passed passed_store(const Json& state, Baggage& baggage) {
  if (state.at("form") != baggage_form) throw std::runtime_error("what is handed over is of another form");
  const Json& store = state.at("store");
  Store::Passed passed;
  passed.path = store.at(0).get<std::string>(), passed.image = store.at(1).get<std::string>();
  passed.descriptor = baggage.take(store.at(2).get<std::size_t>()),
  passed.last = store.at(3).get<std::uint64_t>();
  passed.file_bytes = store.at(4).get<std::size_t>(), passed.behind = store.at(5).get<bool>();
  return passed;
}

std::string busy(Millis wait) {
  return wait > 0 ? "-BUSY " + std::to_string(static_cast<long>(std::ceil(wait))) + "\r\n" : "-BUSY\r\n";
}

}  // namespace

Relay::Relay(Config config, Loop& loop, Admin* admin, Baggage* baggage, bool notes)
    : Relay(std::move(config), loop, admin,
            baggage ? nlohmann::json::from_cbor(baggage->text) : nlohmann::json(), baggage, notes) {}

Relay::Relay(Config config, Loop& loop, Admin* admin, const nlohmann::json& state, Baggage* baggage,
             bool notes)
    : config_(std::move(config)),
      fleet_config_(peer::read_fleet(config_)),
      loop_(loop),
      store_(baggage ? Store(config_.state_folder, config_.disk_bytes, passed_store(state, *baggage))
                     : Store(config_.state_folder, config_.disk_bytes - peer::disk_kept(fleet_config_))),
      decision_(Decision::make(config_.settings, config_.seed)),
      clients_(loop_, config_.listen, config_.passed_socket,
               {config_.client_connections, config_.clients_at_rest}),
      endpoints_(loop_, {config_.settings.connect_within, config_.idle_life,
                         config_.endpoint_connections - peer::descriptors_kept(fleet_config_)}),
      watch_(loop_, config_.discovery),
      notices_(loop_, config_.discovery),
      turn_due_(loop_, [this] { settle(); }),
      leaving_due_(loop_, [this] { leave_further(); }),
      signals_(
          loop_, [this] { leave(); }, [this] { read_again(); }),
      admin_(admin),
      adopt_due_(loop_, [this] { adopt(); }),
      metrics_due_(loop_, [this] { log_metrics(); }) {
  clients_.on_document = [this](const Handed& handed, AnswerTo to) { hand_in(handed, to); };
  endpoints_.on_outcome = [this](const Outcome& outcome) { ended(outcome); };
  endpoints_.on_connecting = [this](DocId doc, int transmission) {
    decision_->connecting(doc, transmission);
  };
  endpoints_.may_begin = [this](DocId doc, int transmission) {
    begin();
    if (!owns(doc)) return MayBegin::later;
    return decision_->may_begin(doc, transmission);
  };
  endpoints_.is_over = [this](DocId doc) {
    auto found = store_.held().find(doc);
    return found == store_.held().end() || found->second.ended;
  };
  endpoints_.on_writing = [this](EndpointId endpoint, const std::vector<Endpoints::Item>& calls) {
    return note_risk(endpoint, calls);
  };
  watch_.version = [this] { return list_version_; };
  watch_.on_failure = [this](bool turned_away, Millis took) {
    begin();
    ++list_failures_;
    decision_->list_failed(turned_away, took);
  };
  watch_.on_list = [this](std::string_view body) {
    try {
      take_list(config_.to_list(nlohmann::json::parse(body)));
      if (auto failures = std::exchange(list_failures_, 0); failures > 0)
        log_line("watch: version %lld after %d failures", static_cast<long long>(list_version_), failures);
      return true;
    } catch (const std::exception& error) {
      log_line("watch: %s", error.what());
      return false;
    }
  };
  notices_.on_told = [this](DocId doc) {
    store_.forget(doc);
    begin();
    decision_->withdraw(doc);
  };
  notices_.pause_after = [this](int failures) { return decision_->pause_after(failures); };
  if (baggage) take_over(state, *baggage);
  if (fleet_config_) start_fleet();
  else route_memory_.emplace(store_, *decision_);
  if (!fleet_config_ && notes && config_.notes_allowed && !baggage)
    whisper_ = std::make_unique<peer::Whisper>(loop_, *decision_, config_, [this] { begin(); });
}

void Relay::start_fleet() {
  around_.emplace(peer::Around{loop_, *decision_, store_, endpoints_, config_, known_, [this] { begin(); },
                               [this] { return turn_began_; }, [this](DocId doc) { begin(), owe(doc); },
                               [this](DocId doc) { let_go(doc); },
                               [this](DocId doc, bool taken) { answer_held(doc, taken); },
                               [this](const std::string& endpoint, bool out) {
                                 if (!store_.set_out(endpoint, out)) return;
                                 begin();
                                 decision_->set_out(EndpointId(hash_of(endpoint)), out);
                               }});
  fleet_ = std::make_unique<peer::Fleet>(*around_, *fleet_config_, config_.state_folder, config_.seed);
  store_.on_noted = [this](char kind, DocId doc, int transmission) {
    fleet_->noted(kind, doc, transmission);
  };
}

Relay::~Relay() {
  if (admin_) admin_->on_health = nullptr, admin_->on_metrics = nullptr, admin_->on_out = nullptr;
}

void Relay::run() {
  if (admin_) {
    admin_->on_metrics = [this] { return metrics(); };
    admin_->on_health = [this] { return std::string(leaving_ ? "it ends" : ""); };
    admin_->on_out = [this](const std::string& endpoint, bool out) { return take_out(endpoint, out); };
  }
  signals_.listen();
  // Guards against a SIGHUP that the process before had while it handed over: this one read the file before.
  if (taken_over_) read_again();
  begin();
  for (const auto& endpoint : store_.outs()) decision_->set_out(EndpointId(hash_of(endpoint)), true);
  if (!taken_over_) take_list(config_.known);
  if (fleet_) fleet_->start();
  if (route_memory_ && !taken_over_) route_memory_->restore();
  if (store_.had_owner()) decision_->follows_ended_process();
  std::vector<DocId> all;
  for (const auto& [doc, held] : store_.held())
    if (!taken_over_ || held.ended) all.push_back(doc);
  for (DocId doc : all) owe(doc);
  // A process that would not hand over may still send: nothing goes from here until it has ended.
  if (!store_.alone()) decision_->hold(true), adopt_due_.set(loop_.now() + look_again);
  clients_.go_on();
  settle();
  if (config_.passed_socket >= 0) {
    successor_ = std::make_unique<Successor>(loop_, config_.state_folder);
    successor_->pack = [this](const std::string& numbering) { return pack(numbering); };
    successor_->on_gone = [this] {
      handed_over_ = true;
      loop_.stop();
    };
  }
  log_line("%s serves%s", config_.name.c_str(),
           taken_over_      ? ", taken over whole"
           : store_.alone() ? ""
                            : ", and sends when the process before it has ended");
  metrics_due_.set(loop_.now() + metrics_every);
  loop_.run();
  log_metrics();
  // Guards against the platform's signal to end, which follows a hand-over, while this process is ending
  // already.
  if (handed_over_) {
    signals_.process_ends();
    return log_line("%s is handed over", config_.name.c_str());
  }
  store_.flush();
  log_line("%s ends with %zu documents held", config_.name.c_str(), store_.held().size());
  if (fleet_) log_line("fleet: %s", fleet_->figures().c_str());
}

void Relay::begin() {
  if (std::exchange(turn_open_, true)) return;
  decision_->begin(turn_began_ = loop_.now());
  for (const auto& outcome : std::exchange(not_sent_, {})) decision_->outcome(outcome);
  // Turns come at most once a tick, as the module's settings say, so that what comes together goes together.
  turn_due_.set(std::max(loop_.now(), settled_at_ + config_.settings.tick));
}

Document Relay::to_document(const Held& held, DocId doc, Millis wall) const {
  Document document;
  document.id = doc;
  document.type = decision_->number_of(held.type), document.most = held.most;
  auto tenant = config_.tenants.find(held.tenant);
  document.tenant = tenant == config_.tenants.end() ? TenantId(UINT32_MAX) : tenant->second;  // of no share
  document.destination = held.destination;
  document.has_key = held.order_key.find_first_not_of('0') != std::string::npos;
  document.key = KeyId(hash_of(held.order_key));
  document.left = held.expiry - wall;
  document.transmissions = held.transmissions;
  document.may_have_run = !held.unproven.empty();
  if (document.may_have_run) {
    document.risked_ago = std::max(0.0, wall - held.unproven.front().at);
    document.risked_hall = held.unproven.front().hall;
  }
  return document;
}

void Relay::owe(DocId doc) {
  if (!owns(doc) || ends_.count(doc)) return;  // the fleet asks again once nobody else has it
  Held& held = store_.held().at(doc);
  // Guards against an upgrade from a version whose files name a type only.
  if (auto type = config_.doc_types.find(held.doc_type); held.most == 0 && !held.ended) {
    if (type == config_.doc_types.end()) return end(doc, false, 0);
    held.type = type->second, held.most = config_.settings.max_transmissions;
  }
  if (!held.ended) return decision_->take(to_document(held, doc, Loop::wall()));
  if (Document ended = to_document(held, doc, Loop::wall()); held.type.in_order && ended.has_key) {
    ended.ended = true;
    decision_->take(ended);
  }
  notices_.tell(doc, held.id, held.rejected, held.reject_wait);
}

// Documents of a process that has ended without handing over, as after a restart.
void Relay::adopt() {
  begin();
  for (DocId doc : store_.adopt()) owe(doc);
  decision_->follows_ended_process();
  if (!store_.alone()) return adopt_due_.set(loop_.now() + look_again);
  decision_->hold(false);
  log_line("%s sends: the process before it has ended", config_.name.c_str());
}

// All that this process knows and holds, between two turns, so that each request that came is answered.
std::optional<Baggage> Relay::pack(const std::string& numbering) {
  // Guards against kinds and halls that mean others there: what is numbered so cannot be handed over.
  if (numbering != config_.numbering) return log_line("not handed over: kinds or zones differ"), std::nullopt;
  // Leases and copies are bound to this process's life: another begins as after a restart.
  if (fleet_) return log_line("not handed over: a member of a fleet restarts"), std::nullopt;
  settle();
  begin();
  // Both processes have the connections for a moment, and the limit on descriptors is one.
  if (2 * (clients_.size() + endpoints_.connections()) >
      config_.client_connections + config_.endpoint_connections)
    clients_.give_room(), endpoints_.close_all_idle();
  Baggage baggage;
  auto place = [&](int fd) { return baggage.descriptors.push_back(fd), baggage.descriptors.size() - 1; };
  auto stream = [&](const Stream::Kept& kept) {
    return Json::array({place(kept.fd), kept.connecting, kept.in, kept.out});
  };
  auto store = store_.pass();
  Json all{{"form", baggage_form}, {"version", list_version_}, {"decision", decision_->hand_over()}};
  all["store"] = {store.path, store.image,      place(store.descriptor),
                  store.last, store.file_bytes, store.behind};
  for (const auto& [endpoint, entry] : known_)
    all["known"].push_back(
        Json::array({endpoint, entry.destination, entry.kind, entry.hall, entry.listed_rate}));
  for (const auto& [endpoint, at] : endpoints_.addresses())
    all["places"].push_back(Json::array({endpoint, at.host, at.port}));
  for (const auto& one : clients_.keep())
    all["clients"].push_back(
        Json::array({stream(one.stream), one.asked, one.input_over, one.finishing, one.used_at}));
  for (const auto& one : endpoints_.keep()) {
    auto items = Json::array();
    for (const auto& item : one.items)
      items.push_back(Json::array({item.doc, item.transmission, item.until, item.id}));
    all["calls"].push_back(Json::array({one.endpoint, one.address.host, one.address.port, stream(one.stream),
                                        items, one.request, one.several, one.held, one.hung_up, one.trailing,
                                        one.sent_at, one.idle_since, one.kept}));
  }
  Json::to_cbor(all, baggage.text);
  return baggage;
}

void Relay::take_over(const Json& state, Baggage& baggage) {
  decision_->take_over(state.at("decision").get<std::string>());
  list_version_ = state.at("version").get<std::int64_t>();
  auto list = [&](const char* name) { return state.value(name, Json::array()); };
  for (const auto& one : list("known")) {
    EndpointEntry entry;
    entry.endpoint = one.at(0).get<EndpointId>(), entry.destination = one.at(1).get<DestinationId>();
    entry.kind = one.at(2).get<KindId>(), entry.hall = one.at(3).get<HallId>();
    entry.listed_rate = one.at(4).get<double>();
    known_[entry.endpoint] = entry;
  }
  for (const auto& one : list("places"))
    endpoints_.locate(one.at(0).get<EndpointId>(), {one.at(1).get<std::string>(), one.at(2).get<int>()});
  auto stream = [&](const Json& one) {
    return Stream::Kept{baggage.take(one.at(0).get<std::size_t>()), one.at(1).get<bool>(),
                        one.at(2).get<std::string>(), one.at(3).get<std::string>()};
  };
  std::vector<Clients::Kept> clients;
  for (const auto& one : list("clients"))
    clients.push_back({stream(one.at(0)), one.at(1).get<bool>(), one.at(2).get<bool>(), one.at(3).get<bool>(),
                       one.at(4).get<double>()});
  clients_.take(clients);
  std::vector<Endpoints::Kept> calls;
  for (const auto& one : list("calls")) {
    Endpoints::Kept kept{one.at(0).get<EndpointId>(),
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
      kept.items.push_back({item.at(0).get<DocId>(), item.at(1).get<int>(), item.at(2).get<double>(),
                            item.at(3).get<std::string>()});
    calls.push_back(std::move(kept));
  }
  endpoints_.take(calls);
  taken_over_ = true;
}

void Relay::take_list(const ListAnswer& list) {
  begin();
  std::vector<EndpointEntry> entries;
  for (const auto& listed : list.entries) {
    auto fits = static_cast<std::size_t>(listed.entry.kind) < config_.settings.kinds.size();
    if (!fits) continue;
    entries.push_back(listed.entry);
    // One that is not listed is only of account while it is known from before.
    if (listed.entry.standing != Standing::listed && !known_.count(listed.entry.endpoint)) continue;
    if (listed.address.port != 0) endpoints_.locate(listed.entry.endpoint, listed.address);
    if (listed.entry.standing == Standing::listed) known_[listed.entry.endpoint] = listed.entry;
  }
  decision_->list(entries, list.whole);
  list_version_ = list.version;
}

void Relay::hand_in(const Handed& handed, AnswerTo answer_to) {
  auto say = [&](const char* text) { clients_.answer(answer_to, text); };
  Held held;
  held.id = handed.id, held.order_key = handed.order_key, held.body = handed.body;
  Millis left = -1;
  bool addressed = false;
  try {
    auto rest = handed.list;
    while (!rest.empty()) {
      auto pair = cut(rest, ',');
      auto equals = pair.find('=');
      if (equals == std::string_view::npos) continue;
      auto name = pair.substr(0, equals), value = pair.substr(equals + 1);
      if (name == "c") held.doc_type = value;
      else if (name == "d") left = to_number(value, "d");
      else if (name == "k") held.mark = value;
      else if (name == "t") held.tenant = value;
      else if (name == "dest")
        held.destination = DestinationId(to_integer(value, "dest", 0, INT64_MAX)), addressed = true;
    }
  } catch (const Fault& fault) {
    log_line("client: %s", fault.what());
    return say("-ERR bad value\r\n");
  }
  if (held.body.size() > Endpoints::body_most) return say("-ERR body too large\r\n");
  if (!config_.doc_types.count(held.doc_type) || left < 0 || !addressed || held.id.empty() ||
      !printable(held.id) || !printable(held.mark) ||
      held.id.size() + held.mark.size() + held.order_key.size() + held.tenant.size() > 1024)
    return say("-ERR bad document\r\n");
  // Guards against a second document under an id that is held: its end would be taken for the first one's.
  if (store_.holds(held.id)) return say("-ERR the id is held already\r\n");
  begin();
  // What nobody has listed cannot be sent; the list may only be late, so the client may try again.
  auto later = [&] { say(busy(decision_->come_back(held.destination)).c_str()); };
  if (!decision_->knows(held.destination)) return later();
  auto bytes = held.id.size() + held.mark.size() + held.body.size() + held.order_key.size() + 128;
  // A full room or a full store: nothing ran, so the client may try again.
  if (!decision_->has_room() || !store_.has_room(bytes)) return later();
  auto wall = Loop::wall();
  held.expiry = wall + left;
  held.type = config_.doc_types.at(held.doc_type), held.most = config_.settings.max_transmissions;
  auto doc = store_.add(std::move(held));
  arrived_.push_back({doc, answer_to});
  if (!fleet_) decision_->take(to_document(store_.held().at(doc), doc, wall));
}

void Relay::ended(const Outcome& outcome) {
  begin();
  bool never = outcome.ending == Ending::refused || outcome.ending == Ending::not_connected ||
               outcome.ending == Ending::not_sent;
  if (store_.held().count(outcome.doc)) {
    if (outcome.over) store_.forget(outcome.doc);
    else if (never) store_.never_ran(outcome.doc, outcome.transmission);
  }
  decision_->outcome(outcome);
  if (fleet_) fleet_->outcome(outcome);
}

void Relay::end(DocId doc, bool rejected, Millis wait) {
  if (!store_.held().count(doc)) return;
  // Another may own it by now: its end is kept back until that is known, and is never told if so.
  if (!owns(doc)) return ends_[doc] = {rejected, wait}, void();
  auto fresh = std::find_if(arrived_.begin(), arrived_.end(), [&](const auto& a) { return a.doc == doc; });
  if (fresh != arrived_.end()) {
    // Not yet taken on: the client hears it at once, and no notice is owed.
    auto to = fresh->answer_to;
    arrived_.erase(fresh);
    store_.forget(doc);
    decision_->withdraw(doc);
    return clients_.answer(to, rejected ? busy(wait) : "-ERR cannot be transmitted\r\n");
  }
  store_.ended(doc, rejected, wait);
  // Guards against an end told here and another by whoever takes over: a copy has to have noted it first.
  if (fleet_ && !fleet_->may_tell(doc)) return;
  notices_.tell(doc, store_.held().at(doc).id, rejected, wait);
}

void Relay::settle() {
  begin();
  if (fleet_) fleet_->before_turn(), end_kept_back(), go_on_held();
  if (whisper_) whisper_->before_turn();
  endpoints_.go_on();
  auto decided = decision_->decide();
  turn_open_ = false;
  settled_at_ = loop_.now();
  turn_due_.clear();
  if (fleet_) fleet_->after_turn(decided);
  if (whisper_) whisper_->after_turn();
  for (const auto& line : decided.log) log_line("%s", line.c_str());
  for (const auto& reject : decided.rejected) end(reject.doc, true, reject.wait);
  for (DocId doc : decided.abandoned) end(doc, false, 0);
  // The store comes before the answers and before the sends: what outlives the process must know of both.
  for (const auto& one : arrived_) store_.taken(one.doc);
  auto wall = Loop::wall();
  for (const auto& sent : decided.transmitted) {
    auto found = store_.held().find(sent.doc);
    if (found == store_.held().end()) continue;
    auto transmission = found->second.transmissions;
    store_.sent(sent.doc, transmission, wall, known_.at(sent.endpoint).hall);
    // It is counted here, but can only run once it is written: note_risk(). The fleet asks its copies before.
    if (!fleet_) store_.never_ran(sent.doc, transmission);
  }
  if (route_memory_) route_memory_->keep();
  bool kept = store_.flush();
  if (!kept) decided.transmitted = hold_back(decided.transmitted);
  answer_arrived(kept);
  for (const auto& one : decided.closed) endpoints_.close_idle(one.endpoint, one.idle_least);
  endpoints_.idle_most = decided.idle_most;
  if (fleet_) send_or_keep(decided.transmitted);
  else send(decided.transmitted);
  for (const auto& call : decided.called_off) endpoints_.call_off(call.doc, call.transmission);
  for (EndpointId endpoint : decided.forgotten) endpoints_.forget(endpoint), known_.erase(endpoint);
  if (decided.follow_list > 0) watch_.follow(decided.follow_list, decided.list_late);
  if (!turn_open_ && (decided.wake_in >= 0 || !not_sent_.empty())) {
    auto wake = not_sent_.empty() ? decided.wake_in : 0.0;
    turn_due_.set(loop_.now() + std::max(wake, config_.settings.tick));
  }
}

// Guards against giving up, after a kill, what was only chosen to go: a call that waits for its connection,
// or stands behind the answers of its turn, has not run and is tried again after the restart.
bool Relay::note_risk(EndpointId endpoint, const std::vector<Endpoints::Item>& calls) {
  if (fleet_) return true;  // noted when it was chosen
  auto wall = Loop::wall();
  for (const auto& call : calls) store_.sent(call.doc, call.transmission, wall, known_.at(endpoint).hall);
  return store_.flush() || std::ranges::all_of(calls, [&](const auto& call) {
           auto found = store_.held().find(call.doc);
           return found == store_.held().end() || may_go_unnoted(found->second);
         });
}

bool Relay::may_go_unnoted(const Held& held) {
  return held.type.may_forget_attempt(held.expiry - Loop::wall());
}

// The store could not be written. What it would have to note before it goes does not go, nor any of a
// document about to be given back. The rest, which is owed, goes on.
std::vector<Transmit> Relay::hold_back(const std::vector<Transmit>& transmitted) {
  std::vector<Transmit> going;
  for (const auto& sent : transmitted) {
    auto found = store_.held().find(sent.doc);
    if (found == store_.held().end()) continue;
    bool arrived = std::ranges::any_of(arrived_, [&](const auto& one) { return one.doc == sent.doc; });
    if (!fleet_ && !arrived && may_go_unnoted(found->second)) going.push_back(sent);
    else not_begun(sent, found->second.transmissions - 1);
  }
  return going;
}

// Ends that were kept back while it was not known whether this relay still owned the documents.
void Relay::end_kept_back() {
  for (const auto& [doc, kept] : std::exchange(ends_, {})) end(doc, kept.rejected, kept.wait);
}

// Calls that were kept back until a copy had noted their risk: the moment of sending is now, so the module is
// asked once more whether they may begin.
void Relay::go_on_held() {
  std::vector<Transmit> going;
  for (auto& call : std::exchange(held_calls_, {})) {
    auto asked = MayBegin::now;
    for (const auto& [sent, transmission] : call) {
      auto found = store_.held().find(sent.doc);
      if (found == store_.held().end() || found->second.ended) asked = MayBegin::never;
      else if (!owns(sent.doc)) asked = MayBegin::never;
      else if (!may_go(sent.doc, transmission)) asked = std::max(asked, MayBegin::later);
      else asked = std::max(asked, decision_->may_begin(sent.doc, transmission));
    }
    if (asked == MayBegin::later) held_calls_.push_back(std::move(call));
    for (const auto& [sent, transmission] : call)
      if (asked == MayBegin::now) going.push_back(sent);
      else not_begun(sent, transmission);
  }
  if (!going.empty()) send(going);
}

// It does not go after all. It has its outcome all the same, also where its document is over: the module
// counts its calls by them, and would otherwise hold its slot for ever.
void Relay::not_begun(const Transmit& sent, int transmission) {
  Outcome outcome;
  outcome.doc = sent.doc, outcome.endpoint = sent.endpoint, outcome.ending = Ending::not_sent;
  outcome.transmission = transmission;
  store_.never_ran(sent.doc, transmission);
  not_sent_.push_back(outcome);
}

// Another relay owns it: here it ends without a word.
void Relay::let_go(DocId doc) {
  begin();
  ends_.erase(doc), unanswered_.erase(doc);
  decision_->withdraw(doc);
  store_.forget(doc);
}

void Relay::answer_held(DocId doc, bool taken) {
  auto found = unanswered_.find(doc);
  if (found == unanswered_.end()) return;
  // Each part has a word in it: the last one that says yes is followed.
  if (taken && store_.held().count(doc) && !fleet_->may_answer(doc)) return;
  auto to = found->second;
  unanswered_.erase(found);
  begin();
  if (!store_.held().count(doc)) return;
  const Held& held = store_.held().at(doc);
  clients_.answer(to, taken ? "+OK\r\n" : busy(decision_->come_back(held.destination)));
  if (taken) decision_->take(to_document(held, doc, Loop::wall()));
  else store_.forget(doc);
}

void Relay::answer_arrived(bool kept) {
  for (const auto& one : std::exchange(arrived_, {})) {
    if (fleet_ && kept) {
      unanswered_[one.doc] = one.answer_to;
      answer_held(one.doc, true);
      continue;
    }
    clients_.answer(one.answer_to,
                    kept ? "+OK\r\n" : busy(decision_->come_back(store_.held().at(one.doc).destination)));
    if (kept) continue;
    decision_->withdraw(one.doc);
    store_.forget(one.doc);
  }
}

void Relay::send(const std::vector<Transmit>& transmitted) {
  // Transmissions of one turn to one endpoint make one call, up to the number its kind allows, and to what
  // the protocol lets a body hold.
  struct Bundle {
    EndpointId endpoint{};
    std::vector<Parcel> parcels;
    std::size_t bytes = 0;
  };
  std::vector<Bundle> calls;
  std::unordered_map<std::uint64_t, std::size_t> open;
  for (const auto& sent : transmitted) {
    auto found = store_.held().find(sent.doc);
    if (found == store_.held().end()) continue;
    const Held& held = found->second;
    auto kind = static_cast<std::size_t>(known_.at(sent.endpoint).kind);
    auto most = static_cast<std::size_t>(std::max(1, config_.settings.kinds.at(kind).bundle_max));
    auto bytes = Endpoints::bundled_bytes(held.id, held.mark, held.body);
    auto [place, fresh] = open.try_emplace(static_cast<std::uint64_t>(sent.endpoint), calls.size());
    if (!fresh) {
      const Bundle& before = calls[place->second];
      if (before.parcels.size() >= most || before.bytes + bytes > Endpoints::body_most) fresh = true;
    }
    if (fresh) {
      place->second = calls.size();
      calls.push_back({sent.endpoint, {}, 0});
    }
    Bundle& bundle = calls[place->second];
    bundle.bytes += bytes;
    bundle.parcels.push_back(
        {sent.doc, held.transmissions - 1, sent.time_out, held.id, held.mark, held.body});
  }
  for (const auto& bundle : calls) endpoints_.call(bundle.endpoint, bundle.parcels);
}

// Where the fleet has a word in it: a call of which a document may not go yet waits, whole.
void Relay::send_or_keep(const std::vector<Transmit>& transmitted) {
  std::map<EndpointId, std::vector<KeptTransmit>> calls;
  for (const auto& sent : transmitted)
    if (auto found = store_.held().find(sent.doc); found != store_.held().end())
      calls[sent.endpoint].push_back({sent, found->second.transmissions - 1});
  std::vector<Transmit> going;
  for (auto& [endpoint, call] : calls) {
    bool now =
        std::ranges::all_of(call, [&](const auto& one) { return may_go(one.sent.doc, one.transmission); });
    for (const auto& one : call)
      if (now) going.push_back(one.sent);
    if (!now) held_calls_.push_back(std::move(call));
  }
  send(going);
}

// Maintenance outlives this process: it is noted before the answer, and told to the module in the same round.
std::string Relay::take_out(const std::string& name, bool out) {
  EndpointId endpoint{hash_of(name)};
  if (!known_.count(endpoint) && !store_.outs().count(name))
    return "no such endpoint: " + rockcrank::quoted(name);
  if (!store_.set_out(name, out)) return "it cannot be noted: the folder is full or cannot be written";
  begin();
  decision_->set_out(endpoint, out);
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
  add("held", store_.held().size());
  add("attempts", counters.attempts);
  add("retried_messages", counters.retried_messages);
  add("slow_start_attempts", counters.slow_start_attempts);
  add("trials", counters.trials);
  add("not_begun", counters.not_begun);
  add("rejected", counters.rejected);
  add("abandoned", counters.abandoned);
  add("called_off", counters.called_off);
  add("breakers_opened", counters.breakers_opened);
  add("cold_returns", counters.cold_returns);
  for (std::size_t i = 0; i < close_reason_count; ++i) {
    auto reason = static_cast<CloseReason>(i);
    add((std::string("clients_closed_") + name_of(reason)).c_str(), clients_.closed(reason));
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
  metrics_due_.set(loop_.now() + metrics_every);
  std::string now = metrics();
  if (now != metrics_logged_) log_line("event=metrics %s", now.c_str());
  metrics_logged_ = now;
}

// SIGHUP: a new file counts whole or not at all. Documents held keep the type they were taken on with;
// breakers, waits and cold returns live on. What is numbered in all that is held waits for the next start,
// and so do addresses but the agent's, and limits of the process.
void Relay::read_again() {
  try {
    auto fresh = read_config(&config_);
    if (fresh.discovery != config_.discovery)
      watch_.move_to(fresh.discovery), notices_.move_to(fresh.discovery);
    log_line("read again: discovery at %s:%d, %zu document types, %d transmissions at most%s",
             fresh.discovery.host.c_str(), fresh.discovery.port, fresh.doc_types.size(),
             fresh.settings.max_transmissions,
             fresh.rest_sum == config_.rest_sum ? "" : "; what else is new waits for the next start");
    config_.discovery = fresh.discovery, config_.rest_sum = fresh.rest_sum;
    config_.settings = std::move(fresh.settings), config_.doc_types = std::move(fresh.doc_types);
    config_.tenants = std::move(fresh.tenants), config_.keys = std::move(fresh.keys);
    endpoints_.retune(config_.settings.connect_within, fresh.idle_life);
    begin();
    decision_->retune(config_.settings);
  } catch (const std::exception& error) {
    log_line("read again: the old configuration stays: %s", error.what());
  }
}

// A planned end: clients are served on while their connections still come, then each connection is closed
// between two requests; calls under way are let end, and what is held waits in the store.
void Relay::leave() {
  if (std::exchange(leaving_, true)) return;
  log_line("%s is asked to end, %zu documents held", config_.name.c_str(), store_.held().size());
  leave_at_ = loop_.now() + gone_within;
  begin();
  decision_->leave(gone_within);
  if (fleet_) fleet_->leave();
  leaving_due_.set(loop_.now() + connections_come);
}

void Relay::leave_further() {
  auto now = loop_.now();
  clients_.stop_listening();
  clients_.close_after_answers();
  if (now >= leave_at_ - last_answers) clients_.close_now();
  // Guards against an end that resets a connection: over bytes that were not read, or over answers that were
  // not sent. Each client's connection ends first, or its time to end is over.
  bool clients_gone = clients_.size() == 0;
  bool nothing_held = endpoints_.none_out() && notices_.none_left() && store_.held().empty();
  bool done = clients_gone && nothing_held;
  if (done || now >= leave_at_) {
    // Guards against a message read in this round that would go without its answer.
    if (turn_open_) settle();
    return loop_.stop();
  }
  leaving_due_.set(std::min(leave_at_, now + 50));
}

}  // namespace rockcrank
