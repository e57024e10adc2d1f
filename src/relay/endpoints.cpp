// One object a connection, busy with a call or idle; endpoints.h says what it owns. The last byte written
// tells whether a call that came to nothing may have run; nothing here may send one twice.

#include "relay/endpoints.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "relay/log.h"
#include "settings/base64.h"
#include "settings/settings.h"

namespace rockcrank {
namespace {

// A call can only be given up whole, so it ends with the first message in it whose time is up.
Millis call_time_out(const std::vector<OutboundTransmission>& parcels) {
  Millis shortest = parcels.front().timeout;
  for (const auto& parcel : parcels) shortest = std::min(shortest, parcel.timeout);
  return std::max(0.0, shortest);
}

std::string request_of(const std::vector<OutboundTransmission>& parcels, const std::string& host) {
  char time_out[32];
  std::snprintf(time_out, sizeof time_out, "%.3f", call_time_out(parcels) / 1000);
  std::string body, head;
  if (parcels.size() == 1) {
    head = "POST /v1/messages HTTP/1.1\r\nRequest-Id: " + std::string(parcels[0].id) + "\r\n";
    if (!parcels[0].idempotency_key.empty())
      head += "Idempotency-Key: " + std::string(parcels[0].idempotency_key) + "\r\n";
    body = parcels[0].body;
  } else {
    head = "POST /v1/messages:batch HTTP/1.1\r\nContent-Type: application/json\r\n";
    auto items = nlohmann::json::array();
    for (const auto& parcel : parcels) {
      nlohmann::json item{{"id", parcel.id}, {"body", base64_encode(parcel.body)}};
      if (!parcel.idempotency_key.empty()) item["key"] = parcel.idempotency_key;
      items.push_back(std::move(item));
    }
    body = items.dump();
  }
  head += "Host: " + host + "\r\nRequest-Timeout: " + std::string(time_out) + "\r\n";
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return head + body;
}

constexpr Millis rest_within = 500;  // of an answer whose first line has told all

struct Verdict {
  TransmissionResult ending = TransmissionResult::error;
  bool over = false, spent = false;
};

// What an answer says of all documents of its call; what is not known may have run.
Verdict verdict_of(const HttpResponse& answer) {
  switch (answer.status) {
    case 200: return {TransmissionResult::answered, true};
    case 410: return {TransmissionResult::not_sent, true};
    case 504: return {TransmissionResult::not_sent, false, true};
    case 503:
      return {
          answer.header("X-Line-Busy") == "1" ? TransmissionResult::not_sent : TransmissionResult::refused,
          false};
    case 429:
    case 400:
    case 413: return {TransmissionResult::refused, false};
    default: return {TransmissionResult::error, false};
  }
}

Verdict verdict_of(std::string_view state) {
  if (state == "ok") return {TransmissionResult::answered, true};
  if (state == "later") return {TransmissionResult::refused, false};
  if (state == "gone") return {TransmissionResult::not_sent, true};
  if (state == "exhausted") return {TransmissionResult::not_sent, false, true};
  return {TransmissionResult::error, false};
}

}  // namespace

// One connection and the call on it. A call is given up whole, with its connection: the endpoint cannot be
// told that one of its messages is no longer waited for.
class Endpoints::Connection {
 public:
  Connection(Endpoints& owner, EndpointId endpoint, const Address& address)
      : owner_(owner),
        endpoint_(endpoint),
        address_(address),
        stream_(owner.loop_, address),
        timer_(owner.loop_, [this] { due(); }),
        connect_timer_(owner.loop_, [this] { stop(TransmissionResult::not_connected); }) {
    hear();
  }
  Connection(Endpoints& owner, const ConnectionState& from)
      : owner_(owner),
        endpoint_(from.endpoint),
        address_(from.address),
        stream_(owner.loop_, from.stream),
        timer_(owner.loop_, [this] { due(); }),
        connect_timer_(owner.loop_, [this] { stop(TransmissionResult::not_connected); }),
        items_(from.transmissions),
        request_(from.request),
        several_(from.is_batch),
        held_(from.deferred),
        hung_up_(from.connection_close),
        trailing_(from.draining),
        sent_at_(from.started_at),
        idle_since_(from.idle_since),
        kept_(from.idle_before_use) {
    hear();
    watch_connect();
    if (!items_.empty()) watch_time();
    else if (trailing_) timer_.set(owner_.loop_.now() + rest_within);
    else watch_rest();
  }
  ConnectionState keep() const {
    return {endpoint_, address_, stream_.snapshot(), items_,   request_,    several_,
            held_,     hung_up_, trailing_,          sent_at_, idle_since_, kept_};
  }
  bool busy() const { return !items_.empty() || trailing_; }
  bool held() const { return held_ && !request_.empty(); }
  const std::vector<InFlightTransmission>& items() const { return items_; }
  ~Connection() { --owner_.connections_; }

  EndpointId endpoint() const { return endpoint_; }
  const Address& address() const { return address_; }
  bool lacks_descriptor() const { return stream_.out_of_resources(); }
  // Guards against a surplus, or an end, that has come but was not read yet: it would be taken for the answer
  // to the next call, or end it without one.
  bool usable() const {
    return coming_up() || (stream_.received().empty() && stream_.has_no_pending_input());
  }
  bool coming_up() const { return stream_.state() == Stream::State::connecting; }
  Millis idle_since() const { return idle_since_; }

  void begin(const std::vector<OutboundTransmission>& parcels) {
    sent_at_ = owner_.loop_.now();
    kept_ = idle_since_ > 0 && !coming_up() ? std::max(0.001, sent_at_ - idle_since_) : 0;
    tell(PreconnectEvent::used);
    const Millis until = sent_at_ + call_time_out(parcels);
    for (const auto& parcel : parcels)
      items_.push_back({parcel.doc, parcel.transmission, until, std::string(parcel.id)});
    several_ = parcels.size() > 1;
    request_ = request_of(parcels, address_.host + ":" + std::to_string(address_.port));
    watch_time();
    watch_connect();
    if (stream_.state() == Stream::State::connected) write();
    else owner_.on_connecting(items_[0].doc, items_[0].transmission);
  }
  void begin_ahead() {
    ahead_ = true, idle_since_ = sent_at_ = owner_.loop_.now();
    watch_connect();
  }
  // Of one opened ahead. Its first use is the last that is told; where it never came up it failed.
  void tell(PreconnectEvent what) {
    if (!ahead_) return;
    if (what != PreconnectEvent::connected) ahead_ = false;
    if (owner_.on_preconnect) owner_.on_preconnect(endpoint_, what);
  }
  void put_away() { tell(came_up_ ? PreconnectEvent::unused : PreconnectEvent::failed); }
  // A connection takes time to come up. Meanwhile a wait may have been told, which binds this call too, or
  // the slots been taken, which is no fault of the endpoint's.
  void go_on() {
    if (request_.empty()) return;
    // Guards against a call written after its time, or after one of its messages has been reported as over.
    if (owner_.loop_.now() >= items_[0].deadline) return stop(TransmissionResult::not_connected);
    if (std::ranges::any_of(items_,
                            [&](const InFlightTransmission& item) { return owner_.is_finished(item.doc); }))
      return stop(TransmissionResult::not_sent);
    auto may = owner_.may_begin(items_[0].doc, items_[0].transmission);
    held_ = may == SendPermission::later;
    if (held_) owner_.deferred_.emplace_back(items_[0].doc, items_[0].transmission);
    else if (may == SendPermission::now) write();
    else stop(TransmissionResult::not_sent);
  }
  // No socket was to be had, or the connection was turned down on the spot.
  bool stillborn() const { return stream_.state() == Stream::State::closed; }
  // The connection is given up; a call that was not wholly written never ran.
  void stop(TransmissionResult ending) {
    bool never = unwritten();
    if (never && (ending == TransmissionResult::connection_lost || ending == TransmissionResult::timed_out))
      ending = TransmissionResult::not_connected;
    if (never && (held_ || ending == TransmissionResult::canceled)) ending = TransmissionResult::not_sent;
    end_all({ending, false}, 0, {});
    owner_.discard(*this);
  }

  void call_off() {
    if (!ended_by_what_came()) stop(TransmissionResult::canceled);
  }

  void shut() { stream_.close(), timer_.clear(), connect_timer_.clear(); }

  void rested() {
    idle_since_ = owner_.loop_.now();
    watch_rest();
  }
  void watch_rest() {
    // Closed before the endpoint does: its clock began a crossing earlier, and a request needs one more. The
    // call that has just ended took at least both.
    if (owner_.limits_.idle_timeout > 0)
      timer_.set(idle_since_ + std::max(0.0, owner_.limits_.idle_timeout - (idle_since_ - sent_at_)));
  }

 private:
  void hear() {
    ++owner_.connections_;
    stream_.on_connected = [this] {
      connect_timer_.clear();
      came_up_ = true;
      if (items_.empty()) return owner_.release_preconnected(*this);
      go_on();
    };
    stream_.on_data = [this] { read(false); };
    stream_.on_close = [this] { read(true); };
  }

  // Whether the endpoint cannot have the whole call: until its last byte is written, it never ran.
  bool unwritten() const { return !request_.empty() || stream_.unsent_bytes() > 0; }

  void write() {
    if (!owner_.before_write(endpoint_, items_)) return stop(TransmissionResult::not_sent);
    stream_.send(std::exchange(request_, {}));
  }

  void watch_connect() {
    if (stream_.state() == Stream::State::connecting && owner_.limits_.connect_timeout > 0)
      connect_timer_.set(sent_at_ + owner_.limits_.connect_timeout);
  }

  void watch_time() {
    if (items_.empty()) return;
    timer_.set(std::ranges::min_element(items_, {}, &InFlightTransmission::deadline)->deadline);
  }

  // Guards against losing an answer, or a break, that came after this round's poll(): it was first.
  bool ended_by_what_came() {
    stream_.read_now();
    return items_.empty();
  }

  void due() {
    if (items_.empty()) return owner_.discard(*this);  // idle, or trailing, for long enough
    if (stream_.state() == Stream::State::connecting) return stop(TransmissionResult::not_connected);
    if (ended_by_what_came()) return;
    // Guards against a message reported as over while its call goes on: an endpoint may still run it, and
    // would have the rest of the call answered for nobody.
    stop(TransmissionResult::timed_out);
  }

  void end_one(const InFlightTransmission& item, Verdict verdict, Millis wait, const LoadHints& hints) {
    Outcome outcome;
    outcome.doc = item.doc, outcome.transmission = item.transmission, outcome.endpoint = endpoint_;
    outcome.result = verdict.ending, outcome.completed = verdict.over, outcome.exhausted = verdict.spent;
    outcome.duration = owner_.loop_.now() - sent_at_;
    outcome.retry_after = wait, outcome.hints = hints, outcome.connection_idle_time = kept_,
    outcome.connection_closed = hung_up_;
    owner_.in_flight_.erase({item.doc, item.transmission});
    owner_.on_outcome(outcome);
  }

  template <typename VerdictOf>
  void end_each(VerdictOf verdict_of_item, Millis wait, const LoadHints& hints) {
    auto items = std::exchange(items_, {});
    timer_.clear(), connect_timer_.clear();
    for (const auto& item : items) end_one(item, verdict_of_item(item), wait, hints);
  }
  void end_all(Verdict verdict, Millis wait, const LoadHints& hints) {
    end_each([&](const InFlightTransmission&) { return verdict; }, wait, hints);
  }

  void read(bool ended) {
    if (items_.empty() && !trailing_) return owner_.discard(*this);  // an idle connection has nothing to say
    auto answer = parse_response(stream_.received(), max_body_bytes, ended);
    using State = HttpResponse::State;
    bool partial = answer.state == State::partial && !ended, whole = answer.state == State::complete;
    // A 200 in the first line is true for a single document, whatever becomes of the rest. Guards against
    // heads and bodies that never end: the document is over at once, the connection has the call's time to
    // end well.
    bool true_already = !several_ && answer.status == 200;
    if (partial && (!true_already || trailing_)) return;
    // Any other answer that cannot be read whole tells nothing: its first line may be spoilt too.
    if (!whole && !true_already) return stop(TransmissionResult::connection_lost);
    if (!std::exchange(trailing_, partial)) tell(answer);
    // Guards against answers that stop short: the endpoint counts such a call as out until its connection
    // ends.
    if (partial) return timer_.set(owner_.loop_.now() + rest_within);
    if (!whole || answer.closes_connection || ended || unwritten()) return owner_.discard(*this);
    stream_.consume(answer.size);
    if (!stream_.received().empty()) return owner_.discard(*this);
    owner_.release(*this);
  }

  void tell(const HttpResponse& answer) {
    Millis wait = 0;
    LoadHints hints;
    try {
      if (auto text = answer.header("Retry-After"); !text.empty())
        wait = std::max(0.0, std::ceil(1000 * parse_number(text, "Retry-After")));
      if (auto text = answer.header("Server-Load"); !text.empty()) hints = parse_hints(text, '=');
    } catch (const ParseError& fault) {
      log_line("answer of %llx: %s", static_cast<unsigned long long>(endpoint_), fault.what());
    }
    auto all = verdict_of(answer);
    hung_up_ = answer.closes_connection;
    if (!several_ || answer.status != 200) return end_all(all, wait, hints);
    auto states = nlohmann::json::parse(answer.body(), nullptr, false);
    std::map<std::string, Verdict> verdicts;
    for (const auto& state : states.is_array() ? states : nlohmann::json::array())
      if (state.is_object() && state.contains("id") && state["id"].is_string() && state.contains("state") &&
          state["state"].is_string())
        verdicts[state["id"].get<std::string>()] = verdict_of(state["state"].get<std::string>());
    auto told = [&](const InFlightTransmission& item) {
      auto found = verdicts.find(item.id);
      // A document that the answer leaves out may have run.
      return found == verdicts.end() ? Verdict{TransmissionResult::error, false} : found->second;
    };
    end_each(told, wait, hints);
  }

  Endpoints& owner_;
  const EndpointId endpoint_;
  const Address address_;
  Stream stream_;
  Timer timer_, connect_timer_;
  std::vector<InFlightTransmission> items_;
  std::string request_;
  bool several_ = false;
  bool held_ = false;                     // up, but told to begin later
  bool hung_up_ = false;                  // the answer ends its connection
  bool trailing_ = false;                 // the outcome is told, the rest of the answer still awaited
  bool ahead_ = false, came_up_ = false;  // opened ahead, and not used yet
  Millis sent_at_ = 0, idle_since_ = 0, kept_ = 0;
};

Endpoints::Endpoints(EventLoop& loop, const Limits& limits) : loop_(loop), limits_(limits) {}
Endpoints::~Endpoints() = default;

// A document's part of a bundle: base64, and the names around it.
std::size_t Endpoints::batch_item_bytes(std::string_view id, std::string_view mark, std::string_view body) {
  return (body.size() + 2) / 3 * 4 + id.size() + mark.size() + 40;
}

void Endpoints::set_timeouts(Millis connect_within, Millis idle_life) {
  limits_.connect_timeout = connect_within, limits_.idle_timeout = idle_life;
}

void Endpoints::set_address(EndpointId endpoint, const Address& address) {
  Pool& place = pools_[endpoint];
  if (place.address != address) close_idle(endpoint);
  place.address = address;
}

void Endpoints::call(EndpointId endpoint, const std::vector<OutboundTransmission>& parcels) {
  Pool& place = pools_.at(endpoint);
  std::unique_ptr<Connection> line;
  // One that is up goes before one that is coming up.
  for (bool coming_up : {false, true})
    for (auto at = place.idle.begin(); at != place.idle.end() && !line;) {
      if ((*at)->coming_up() != coming_up) {
        ++at;
        continue;
      }
      auto kept = std::move(*at);
      at = place.idle.erase(at);
      if (kept->usable() && loop_.now() - kept->idle_since() <= max_idle_time) line = std::move(kept);
      else discard_idle(std::move(kept));
    }
  bool fresh = !line;
  bool room = !fresh || ensure_capacity();
  if (fresh) line = std::make_unique<Connection>(*this, endpoint, place.address);
  Connection& used = *line;
  active_[&used] = std::move(line);
  for (const auto& parcel : parcels) in_flight_[{parcel.doc, parcel.transmission}] = &used;
  used.begin(parcels);
  if (!room || used.lacks_descriptor()) used.stop(TransmissionResult::not_sent);
  else if (fresh && used.stillborn()) used.stop(TransmissionResult::not_connected);
}

bool Endpoints::preconnect(EndpointId endpoint) {
  auto place = pools_.find(endpoint);
  if (place == pools_.end() || connections_ >= limits_.max_connections) return false;
  auto line = std::make_unique<Connection>(*this, endpoint, place->second.address);
  if (line->stillborn()) return loop_.defer_delete(std::move(line)), false;
  line->begin_ahead();
  place->second.idle.push_front(std::move(line));
  return true;
}

void Endpoints::release_preconnected(Connection& line) {
  auto place = pools_.find(line.endpoint());
  if (place == pools_.end()) return;  // put away in this round
  auto& idle = place->second.idle;
  auto found = std::find_if(idle.begin(), idle.end(), [&](const auto& one) { return one.get() == &line; });
  if (found == idle.end()) return;
  idle.splice(idle.begin(), idle, found);  // idle from now on
  line.rested(), line.tell(PreconnectEvent::connected);
}

void Endpoints::discard_idle(std::unique_ptr<Connection> line) {
  line->put_away();
  loop_.defer_delete(std::move(line));
}

int Endpoints::connections(EndpointId endpoint) const {
  auto place = pools_.find(endpoint);
  auto busy = std::count_if(active_.begin(), active_.end(),
                            [&](const auto& one) { return one.first->endpoint() == endpoint; });
  return static_cast<int>(busy + (place == pools_.end() ? 0 : std::ssize(place->second.idle)));
}

std::vector<Endpoints::ConnectionState> Endpoints::export_connections() const {
  std::vector<ConnectionState> all;
  for (const auto& [line, owned] : active_) all.push_back(line->keep());
  for (const auto& [endpoint, place] : pools_)
    for (const auto& line : place.idle) all.push_back(line->keep());
  return all;
}

void Endpoints::import_connections(const std::vector<ConnectionState>& kept) {
  for (const auto& from : kept) {
    auto line = std::make_unique<Connection>(*this, from);
    Connection& here = *line;
    if (!here.busy()) {
      pools_[from.endpoint].idle.push_back(std::move(line));
      continue;
    }
    active_[&here] = std::move(line);
    for (const auto& item : here.items()) in_flight_[{item.doc, item.transmission}] = &here;
    if (here.held()) deferred_.emplace_back(here.items()[0].doc, here.items()[0].transmission);
  }
}

std::vector<std::pair<EndpointId, Address>> Endpoints::addresses() const {
  std::vector<std::pair<EndpointId, Address>> all;
  for (const auto& [endpoint, place] : pools_) all.emplace_back(endpoint, place.address);
  return all;
}

void Endpoints::close_all_idle() {
  for (auto& [endpoint, place] : pools_) {
    for (auto& line : place.idle) line->shut();
    close_idle(endpoint);
  }
}

// Guards against running out of descriptors: the connection idle for longest makes way.
bool Endpoints::ensure_capacity() {
  if (connections_ < limits_.max_connections) return true;
  std::list<std::unique_ptr<Connection>>* oldest = nullptr;
  for (auto& [endpoint, place] : pools_)
    if (!place.idle.empty() && (!oldest || place.idle.back()->idle_since() < oldest->back()->idle_since()))
      oldest = &place.idle;
  if (!oldest) return false;
  discard_idle(std::move(oldest->back()));
  oldest->pop_back();
  return true;
}

void Endpoints::cancel(DocId doc, int transmission) {
  auto found = in_flight_.find({doc, transmission});
  if (found != in_flight_.end()) found->second->call_off();
}

void Endpoints::resume_deferred() {
  for (const auto& call : std::exchange(deferred_, {}))
    if (auto found = in_flight_.find(call); found != in_flight_.end()) found->second->go_on();
}

void Endpoints::close_idle(EndpointId endpoint, Millis idle_least) {
  auto found = pools_.find(endpoint);
  if (found == pools_.end()) return;
  auto& idle = found->second.idle;
  while (!idle.empty() && loop_.now() - idle.back()->idle_since() >= idle_least) {
    discard_idle(std::move(idle.back()));
    idle.pop_back();
  }
}

void Endpoints::remove(EndpointId endpoint) {
  close_idle(endpoint);
  pools_.erase(endpoint);
}

void Endpoints::release(Connection& line) {
  auto found = active_.find(&line);
  if (found == active_.end()) return;
  auto place = pools_.find(line.endpoint());
  // It trailed on past its endpoint's end, or leads to where that was before it moved.
  if (place == pools_.end() || line.address() != place->second.address) return discard(line);
  place->second.idle.push_front(std::move(found->second));
  active_.erase(found);
  line.rested();
}

void Endpoints::discard(Connection& line) {
  line.shut();
  if (auto found = active_.find(&line); found != active_.end()) {
    loop_.defer_delete(std::move(found->second));
    active_.erase(found);
    return;
  }
  auto place = pools_.find(line.endpoint());
  if (place == pools_.end()) return;
  auto& idle = place->second.idle;
  auto found = std::find_if(idle.begin(), idle.end(), [&](const auto& kept) { return kept.get() == &line; });
  if (found == idle.end()) return;
  discard_idle(std::move(*found));
  idle.erase(found);
}

}  // namespace rockcrank
