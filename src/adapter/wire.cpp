#include "adapter/wire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

#include "peer/codec.h"
#include "settings/base64.h"

namespace rockcrank::wire {
namespace {

constexpr std::int64_t id_limit = std::int64_t{1} << 32;
constexpr std::int64_t exact_integer_limit = std::int64_t{1} << 53;  // a double holds integers exactly
constexpr std::int64_t max_timer_micros = 71LL * 60 * 1000 * 1000;

Millis to_millis(std::int64_t micros) { return static_cast<Millis>(micros) / 1000.0; }

constexpr std::array<EnumName<TransmissionResult>, 8> endings{
    {{"delivered", TransmissionResult::answered},
     {"app_error", TransmissionResult::error},
     {"shed", TransmissionResult::refused},
     {"expired", TransmissionResult::timed_out},
     {"dial_failed", TransmissionResult::not_connected},
     {"dropped", TransmissionResult::connection_lost},
     {"revoked", TransmissionResult::canceled},
     {"unused", TransmissionResult::not_sent}}};
constexpr std::array<EnumName<EndpointStatus>, 3> standings{{{"ready", EndpointStatus::ready},
                                                             {"draining", EndpointStatus::draining},
                                                             {"gone", EndpointStatus::gone}}};

}  // namespace

std::string_view Fields::word(const char* what) {
  if (rest_.empty()) throw ParseError(std::string(what) + " is missing");
  auto found = next_token(rest_, ' ');
  if (found.empty()) throw ParseError(std::string(what) + " is empty");
  return found;
}

std::int64_t Fields::integer(const char* what, std::int64_t min, std::int64_t max) {
  return parse_integer(word(what), what, min, max);
}

std::int64_t Fields::integer_or(const char* what, std::int64_t min, std::int64_t max,
                                std::int64_t default_value) {
  auto text = word(what);
  return text == "-" ? default_value : parse_integer(text, what, min, max);
}

bool Fields::flag(const char* what) { return parse_flag(word(what), what); }

void Fields::end() {
  if (!rest_.empty()) throw ParseError("more on the line than expected: " + quote_excerpt(rest_));
}

bool Host::next_line() {
  if (!std::getline(in_, line_)) return false;
  ++line_number_;
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  return true;
}

void Host::run() {
  while (next_line()) {
    if (line_.empty()) continue;
    Fields fields(line_);
    auto name = fields.word("message");
    if (name != "turn") throw ParseError("a batch opens with 'turn', not " + quote_excerpt(name));
    auto clock = fields.integer("clock", 0, exact_integer_limit);
    auto batch_number = fields.integer("batch number", 0, exact_integer_limit);
    fields.end();
    process_batch(clock, batch_number);
  }
}

void Host::process_batch(std::int64_t clock, std::int64_t batch_number) {
  active_.clear();
  while (true) {
    if (!next_line()) throw ParseError("the input ends inside a batch");
    if (line_.empty()) throw ParseError("an empty line inside a batch");
    Fields fields(line_);
    auto name = fields.word("message");
    if (name == "eob") {
      fields.end();
      break;
    }
    process_event(name, fields, clock);
  }
  for (int relay : active_) {
    auto found = instances_.find(relay);
    if (found != instances_.end()) write_decision(relay, found->second, clock);
  }
  out_ << "next " << batch_number << '\n';
  out_.flush();
}

template <typename Call>
void Host::run_guarded(Instance& instance, Call call) {
  if (!instance.error.empty()) return;
  try {
    call(*instance.decision);
  } catch (const std::exception& error) {
    instance.error = error.what();
    if (instance.error.empty()) instance.error = "an exception without a text";
  }
}

Host::Instance& Host::find_instance(Fields& fields, std::int64_t clock) {
  auto relay = static_cast<int>(fields.integer("instance", 0, std::numeric_limits<int>::max()));
  auto found = instances_.find(relay);
  if (found == instances_.end()) throw ParseError("unknown instance: " + std::to_string(relay));
  if (active_.insert(relay).second)
    run_guarded(found->second, [&](Decision& d) { d.begin_turn(to_millis(clock)); });
  return found->second;
}

void Host::process_event(std::string_view name, Fields& fields, std::int64_t clock) {
  if (name == "register") return register_list(fields);
  if (name == "power_on") return power_on(fields, clock);
  if (name == "retire") {
    auto relay = static_cast<int>(fields.integer("instance", 0, std::numeric_limits<int>::max()));
    if (!instances_.erase(relay)) throw ParseError("unknown instance: " + std::to_string(relay));
    active_.erase(relay);
    return fields.end();
  }
  constexpr std::array<std::string_view, 7> known{"update", "arrival",     "health", "opened",
                                                  "reply",  "client_left", "wakeup"};
  if (name != "message" && std::find(known.begin(), known.end(), name) == known.end())
    throw ParseError("unknown message: " + quote_excerpt(name));
  Instance& instance = find_instance(fields, clock);
  if (name == "update") {
    update(fields, instance);
  } else if (name == "arrival") {
    Document doc;
    doc.id = DocId(fields.integer("opId", 0, id_limit - 1));
    doc.type = DocTypeId(fields.integer("profile", 0, instance.doc_types - 1));
    doc.tenant = TenantId(fields.integer_or("customer", 0, id_limit - 1, 0));
    auto key = fields.integer_or("key", 0, exact_integer_limit, -1);
    doc.has_key = key >= 0;
    doc.key = KeyId(doc.has_key ? key : 0);
    doc.time_left = to_millis(fields.integer("leftUs", -exact_integer_limit, exact_integer_limit));
    fields.integer_or("expectedUs", 0, exact_integer_limit, 0);
    doc.destination = DestinationId(fields.integer("addresseeNo", 0, exact_integer_limit));
    fields.integer_or("marks", 0, id_limit, 0);
    run_guarded(instance, [&](Decision& d) { d.accept(doc); });
  } else if (name == "health") {
    parse_enum(endings, fields.word("ending"), "ending");
    fields.integer("delaySeenUs", 0, exact_integer_limit);
    endpoint_id(fields.word("endpoint"));
    if (!fields.at_end()) parse_hints(fields.word("healthInfo"), ':');
  } else if (name == "opened") {
    fields.integer("opId", 0, id_limit - 1);
    fields.integer("trial", 0, id_limit);
    fields.word("endpoint");
    fields.integer("delaySeenUs", 0, exact_integer_limit);
  } else if (name == "reply") {
    reply(fields, instance);
  } else if (name == "client_left") {
    auto id = DocId(fields.integer("opId", 0, id_limit - 1));
    run_guarded(instance, [&](Decision& d) { d.withdraw(id); });
  } else if (name == "wakeup") {
    fields.word("label");
    instance.wake_at = -1;
  } else {
    fields.integer("src", 0, id_limit);
    auto data = fields.word("data");
    if (instance.gossip)
      run_guarded(instance, [&](Decision& d) {
        instance.gossip->begin_turn(to_millis(clock));
        instance.gossip->on_datagram(peer::unpacked<fleet::RouteDatagram>(base64_decode(data)));
        for (const auto& known : instance.gossip->take_route_statuses()) d.apply_route_status(known);
      });
  }
  fields.end();
}

void Host::power_on(Fields& fields, std::int64_t clock) {
  auto relay = static_cast<int>(fields.integer("instance", 0, std::numeric_limits<int>::max()));
  auto salt = static_cast<std::uint64_t>(fields.integer("salt", 0, std::numeric_limits<std::int64_t>::max()));
  KeyValues pairs(fields.text());
  auto settings = decode_settings(pairs);
  instances_.erase(relay);
  auto kinds = static_cast<int>(settings.destination_kinds.size());
  auto doc_types = static_cast<int>(settings.doc_types.size());
  auto& instance = instances_
                       .emplace(relay, Instance{Decision::make(settings, salt),
                                                gossip_enabled_ && pairs.flag("limits.peerMessages")
                                                    ? fleet::RouteGossip::make(salt)
                                                    : nullptr,
                                                kinds,
                                                doc_types,
                                                -1,
                                                {}})
                       .first->second;
  active_.insert(relay);
  run_guarded(instance, [&](Decision& d) { d.begin_turn(to_millis(clock)); });
}

void Host::register_list(Fields& fields) {
  auto slot = static_cast<int>(fields.integer("slot", 0, 15));
  auto count = fields.integer("rowsIn", 0, id_limit);
  fields.end();
  auto& list = lists_[slot];
  list.clear();
  for (std::int64_t i = 0; i < count; ++i) {
    if (!next_line()) throw ParseError("the input ends inside a list");
    Fields row(line_);
    if (line_.empty() || row.word("entry") != "entry")
      throw ParseError("fewer entries than the list announces");
    EndpointEntry entry;
    row.integer_or("startedAtUs", 0, exact_integer_limit, 0);
    entry.endpoint = endpoint_id(row.word("endpoint"));
    entry.status = parse_enum(standings, row.word("condition"), "condition");
    entry.destination = DestinationId(row.integer("ownerNo", 0, exact_integer_limit));
    entry.kind = DestinationKindId(row.integer_or("machine", 0, id_limit, 0));
    auto scale = row.word("scale");
    entry.listed_rate = scale == "-" ? 0 : parse_number(scale, "scale");
    entry.zone = ZoneId(row.integer_or("dc", 0, id_limit, 0));
    row.end();
    list.push_back(entry);
  }
}

void Host::update(Fields& fields, Instance& instance) {
  auto scope = fields.word("scope");
  if (scope == "FAILED") {
    fields.text();
    run_guarded(instance, [](Decision& d) { d.discovery_failed(false, 0); });
    return;
  }
  if (scope != "INCREMENTAL" && scope != "FULL" && scope != "SAVED")
    throw ParseError("unknown scope: " + quote_excerpt(scope));
  auto slot = static_cast<int>(fields.integer("slot", 0, 15));
  fields.integer_or("index", 0, exact_integer_limit, 0);
  auto found = lists_.find(slot);
  if (found == lists_.end()) throw ParseError("no list has the number " + std::to_string(slot));
  for (const auto& entry : found->second)
    if (static_cast<std::int64_t>(entry.kind) >= instance.kinds)
      throw ParseError("machine is out of range in the list");
  run_guarded(instance, [&](Decision& d) { d.update_endpoints(found->second, scope != "INCREMENTAL"); });
}

void Host::reply(Fields& fields, Instance& instance) {
  Outcome outcome;
  outcome.doc = DocId(fields.integer("opId", 0, id_limit - 1));
  outcome.transmission = static_cast<int>(fields.integer("trial", 0, std::numeric_limits<int>::max()));
  auto wait = static_cast<double>(fields.integer_or("waitMs", 0, exact_integer_limit, 0));
  outcome.end = fields.flag("last") ? DocumentEnd::over : DocumentEnd::none;
  outcome.duration = to_millis(fields.integer("delaySeenUs", 0, exact_integer_limit));
  outcome.result = parse_enum(endings, fields.word("ending"), "ending");
  outcome.endpoint = endpoint_id(fields.word("endpoint"));
  outcome.hints = parse_hints(fields.at_end() ? std::string_view{} : fields.word("healthInfo"), ':');
  if (outcome.result == TransmissionResult::refused) outcome.retry_after = wait;
  run_guarded(instance, [&](Decision& d) { d.outcome(outcome); });
}

EndpointId Host::endpoint_id(std::string_view address) {
  std::uint64_t hash = fnv1a_hash(address);
  auto [entry, inserted] = addresses_.try_emplace(hash, address);
  if (!inserted && entry->second != address)
    throw ParseError("two addresses share an id: " + quote_excerpt(address));
  return EndpointId(hash);
}

// Publishes what this instance learnt in this batch. Returns when to call again, negative for never.
Millis Host::send_gossip(int relay, Instance& instance, Millis now) {
  if (!instance.gossip) return -1;
  instance.gossip->begin_turn(now);
  for (const auto& own : instance.decision->route_statuses(false)) instance.gossip->publish(own);
  auto decided = instance.gossip->decide();
  for (const auto& datagram : decided.datagrams)
    out_ << "publish " << relay << " -1 " << base64_encode(peer::packed(datagram)) << '\n';
  return decided.wake_in;
}

void Host::write_decision(int relay, Instance& instance, std::int64_t clock) {
  Actions decided;
  run_guarded(instance, [&](Decision& d) { decided = d.decide(); });
  if (!instance.error.empty()) {
    for (char& c : instance.error)
      if (c == '\n' || c == '\r') c = ' ';
    out_ << "panic " << relay << ' ' << instance.error << '\n';
    return;
  }
  if (decided.long_poll_wait > 0) out_ << "follow " << relay << " 1\n";
  for (const auto& line : decided.log) out_ << "say_log " << relay << ' ' << line.text << '\n';
  for (const auto& reject : decided.rejected)
    out_ << "overload_reply " << relay << ' ' << static_cast<std::uint64_t>(reject.doc) << ' '
         << static_cast<std::int64_t>(std::ceil(reject.retry_after * 1000.0)) << '\n';
  for (DocId doc : decided.abandoned)
    out_ << "drop_request " << relay << ' ' << static_cast<std::uint64_t>(doc) << '\n';
  for (const auto& close :
       decided.closed_connections)  // this protocol can only close all connections of an endpoint
    if (close.min_idle_time == 0)
      out_ << "close " << relay << ' ' << addresses_.at(static_cast<std::uint64_t>(close.endpoint)) << '\n';
  for (const auto& sent : decided.transmissions)
    out_ << "hand_off " << relay << ' ' << static_cast<std::uint64_t>(sent.doc) << ' '
         << static_cast<std::int64_t>(std::floor(sent.timeout * 1000.0)) << ' '
         << addresses_.at(static_cast<std::uint64_t>(sent.endpoint)) << '\n';
  for (const auto& call : decided.canceled)
    out_ << "drop_attempt " << relay << ' ' << static_cast<std::uint64_t>(call.doc) << ' '
         << call.transmission << '\n';
  if (Millis wake = send_gossip(relay, instance, to_millis(clock)); wake >= 0)
    decided.wake_in = decided.wake_in < 0 ? wake : std::min(wake, decided.wake_in);
  if (decided.wake_in < 0) return;
  auto delay = std::min(max_timer_micros, std::max<std::int64_t>(1, std::ceil(decided.wake_in * 1000.0)));
  if (instance.wake_at >= 0 && instance.wake_at <= clock + delay) return;  // an earlier timer is already set
  instance.wake_at = clock + delay;
  out_ << "wake_at " << relay << ' ' << delay << " due\n";
}

}  // namespace rockcrank::wire
