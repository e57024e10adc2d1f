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
Millis call_time_out(const std::vector<Parcel>& parcels) {
  Millis shortest = parcels.front().time_out;
  for (const auto& parcel : parcels) shortest = std::min(shortest, parcel.time_out);
  return std::max(0.0, shortest);
}

std::string request_of(const std::vector<Parcel>& parcels, const std::string& host) {
  char time_out[32];
  std::snprintf(time_out, sizeof time_out, "%.3f", call_time_out(parcels) / 1000);
  std::string body, head;
  if (parcels.size() == 1) {
    head = "POST /v1/messages HTTP/1.1\r\nRequest-Id: " + std::string(parcels[0].id) + "\r\n";
    if (!parcels[0].mark.empty()) head += "Idempotency-Key: " + std::string(parcels[0].mark) + "\r\n";
    body = parcels[0].body;
  } else {
    head = "POST /v1/messages:batch HTTP/1.1\r\nContent-Type: application/json\r\n";
    auto items = nlohmann::json::array();
    for (const auto& parcel : parcels) {
      nlohmann::json item{{"id", parcel.id}, {"body", base64(parcel.body)}};
      if (!parcel.mark.empty()) item["key"] = parcel.mark;
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
  Ending ending = Ending::error;
  bool over = false, spent = false;
};

// What an answer says of all documents of its call; what is not known may have run.
Verdict verdict_of(const HttpAnswer& answer) {
  switch (answer.status) {
    case 200: return {Ending::answered, true};
    case 410: return {Ending::not_sent, true};
    case 504: return {Ending::not_sent, false, true};
    case 503: return {answer.header("X-Line-Busy") == "1" ? Ending::not_sent : Ending::refused, false};
    case 429:
    case 400:
    case 413: return {Ending::refused, false};
    default: return {Ending::error, false};
  }
}

Verdict verdict_of(std::string_view state) {
  if (state == "ok") return {Ending::answered, true};
  if (state == "later") return {Ending::refused, false};
  if (state == "gone") return {Ending::not_sent, true};
  if (state == "exhausted") return {Ending::not_sent, false, true};
  return {Ending::error, false};
}

}  // namespace

// One connection and the call on it. A call is given up whole, with its connection: the endpoint cannot be
// told that one of its messages is no longer waited for.
class Endpoints::Line {
 public:
  Line(Endpoints& owner, EndpointId endpoint, const Address& address)
      : owner_(owner),
        endpoint_(endpoint),
        address_(address),
        stream_(owner.loop_, address),
        timer_(owner.loop_, [this] { due(); }),
        connect_timer_(owner.loop_, [this] { stop(Ending::not_connected); }) {
    hear();
  }
  Line(Endpoints& owner, const Kept& from)
      : owner_(owner),
        endpoint_(from.endpoint),
        address_(from.address),
        stream_(owner.loop_, from.stream),
        timer_(owner.loop_, [this] { due(); }),
        connect_timer_(owner.loop_, [this] { stop(Ending::not_connected); }),
        items_(from.items),
        request_(from.request),
        several_(from.several),
        held_(from.held),
        hung_up_(from.hung_up),
        trailing_(from.trailing),
        sent_at_(from.sent_at),
        idle_since_(from.idle_since),
        kept_(from.kept) {
    hear();
    watch_connect();
    if (!items_.empty()) watch_time();
    else if (trailing_) timer_.set(owner_.loop_.now() + rest_within);
    else watch_rest();
  }
  Kept keep() const {
    return {endpoint_, address_, stream_.keep(), items_,   request_,    several_,
            held_,     hung_up_, trailing_,      sent_at_, idle_since_, kept_};
  }
  bool busy() const { return !items_.empty() || trailing_; }
  bool held() const { return held_ && !request_.empty(); }
  const std::vector<Item>& items() const { return items_; }
  ~Line() { --owner_.connections_; }

  EndpointId endpoint() const { return endpoint_; }
  const Address& address() const { return address_; }
  bool lacks_descriptor() const { return stream_.lacks_descriptor(); }
  // Guards against a surplus, or an end, that has come but was not read yet: it would be taken for the answer
  // to the next call, or end it without one.
  bool usable() const { return coming_up() || (stream_.received().empty() && stream_.quiet()); }
  bool coming_up() const { return stream_.state() == Stream::State::connecting; }
  Millis idle_since() const { return idle_since_; }

  void begin(const std::vector<Parcel>& parcels) {
    sent_at_ = owner_.loop_.now();
    kept_ = idle_since_ > 0 && !coming_up() ? std::max(0.001, sent_at_ - idle_since_) : 0;
    tell(Ahead::used);
    const Millis until = sent_at_ + call_time_out(parcels);
    for (const auto& parcel : parcels)
      items_.push_back({parcel.doc, parcel.transmission, until, std::string(parcel.id)});
    several_ = parcels.size() > 1;
    request_ = request_of(parcels, address_.host + ":" + std::to_string(address_.port));
    watch_time();
    watch_connect();
    if (stream_.state() == Stream::State::up) write();
    else owner_.on_connecting(items_[0].doc, items_[0].transmission);
  }
  void begin_ahead() {
    ahead_ = true, idle_since_ = sent_at_ = owner_.loop_.now();
    watch_connect();
  }
  // Of one opened ahead. Its first use is the last that is told; where it never came up it failed.
  void tell(Ahead what) {
    if (!ahead_) return;
    if (what != Ahead::up) ahead_ = false;
    if (owner_.on_ahead) owner_.on_ahead(endpoint_, what);
  }
  void put_away() { tell(came_up_ ? Ahead::unused : Ahead::failed); }
  // A connection takes time to come up. Meanwhile a wait may have been told, which binds this call too, or
  // the slots been taken, which is no fault of the endpoint's.
  void go_on() {
    if (request_.empty()) return;
    // Guards against a call written after its time, or after one of its messages has been reported as over.
    if (owner_.loop_.now() >= items_[0].until) return stop(Ending::not_connected);
    if (std::ranges::any_of(items_, [&](const Item& item) { return owner_.is_over(item.doc); }))
      return stop(Ending::not_sent);
    auto may = owner_.may_begin(items_[0].doc, items_[0].transmission);
    held_ = may == MayBegin::later;
    if (held_) owner_.ready_.emplace_back(items_[0].doc, items_[0].transmission);
    else if (may == MayBegin::now) write();
    else stop(Ending::not_sent);
  }
  // No socket was to be had, or the connection was turned down on the spot.
  bool stillborn() const { return stream_.state() == Stream::State::ended; }
  // The connection is given up; a call that was not wholly written never ran.
  void stop(Ending ending) {
    bool never = unwritten();
    if (never && (ending == Ending::broken || ending == Ending::timed_out)) ending = Ending::not_connected;
    if (never && (held_ || ending == Ending::called_off)) ending = Ending::not_sent;
    end_all({ending, false}, 0, {});
    owner_.drop(*this);
  }

  void call_off() {
    if (!ended_by_what_came()) stop(Ending::called_off);
  }

  void shut() { stream_.close(), timer_.clear(), connect_timer_.clear(); }

  void rested() {
    idle_since_ = owner_.loop_.now();
    watch_rest();
  }
  void watch_rest() {
    // Closed before the endpoint does: its clock began a crossing earlier, and a request needs one more. The
    // call that has just ended took at least both.
    if (owner_.limits_.idle_life > 0)
      timer_.set(idle_since_ + std::max(0.0, owner_.limits_.idle_life - (idle_since_ - sent_at_)));
  }

 private:
  void hear() {
    ++owner_.connections_;
    stream_.on_up = [this] {
      connect_timer_.clear();
      came_up_ = true;
      if (items_.empty()) return owner_.rest_ahead(*this);
      go_on();
    };
    stream_.on_data = [this] { read(false); };
    stream_.on_end = [this] { read(true); };
  }

  // Whether the endpoint cannot have the whole call: until its last byte is written, it never ran.
  bool unwritten() const { return !request_.empty() || stream_.unsent() > 0; }

  void write() {
    if (!owner_.on_writing(endpoint_, items_)) return stop(Ending::not_sent);
    stream_.send(std::exchange(request_, {}));
  }

  void watch_connect() {
    if (stream_.state() == Stream::State::connecting && owner_.limits_.connect_within > 0)
      connect_timer_.set(sent_at_ + owner_.limits_.connect_within);
  }

  void watch_time() {
    if (items_.empty()) return;
    timer_.set(std::ranges::min_element(items_, {}, &Item::until)->until);
  }

  // Guards against losing an answer, or a break, that came after this round's poll(): it was first.
  bool ended_by_what_came() {
    stream_.read_now();
    return items_.empty();
  }

  void due() {
    if (items_.empty()) return owner_.drop(*this);  // idle, or trailing, for long enough
    if (stream_.state() == Stream::State::connecting) return stop(Ending::not_connected);
    if (ended_by_what_came()) return;
    // Guards against a message reported as over while its call goes on: an endpoint may still run it, and
    // would have the rest of the call answered for nobody.
    stop(Ending::timed_out);
  }

  void end_one(const Item& item, Verdict verdict, Millis wait, const Hints& hints) {
    Outcome outcome;
    outcome.doc = item.doc, outcome.transmission = item.transmission, outcome.endpoint = endpoint_;
    outcome.ending = verdict.ending, outcome.over = verdict.over, outcome.spent = verdict.spent;
    outcome.took = owner_.loop_.now() - sent_at_;
    outcome.wait = wait, outcome.hints = hints, outcome.kept = kept_, outcome.hung_up = hung_up_;
    owner_.under_way_.erase({item.doc, item.transmission});
    owner_.on_outcome(outcome);
  }

  template <typename VerdictOf>
  void end_each(VerdictOf verdict_of_item, Millis wait, const Hints& hints) {
    auto items = std::exchange(items_, {});
    timer_.clear(), connect_timer_.clear();
    for (const auto& item : items) end_one(item, verdict_of_item(item), wait, hints);
  }
  void end_all(Verdict verdict, Millis wait, const Hints& hints) {
    end_each([&](const Item&) { return verdict; }, wait, hints);
  }

  void read(bool ended) {
    if (items_.empty() && !trailing_) return owner_.drop(*this);  // an idle connection has nothing to say
    auto answer = read_answer(stream_.received(), body_most, ended);
    using State = HttpAnswer::State;
    bool partial = answer.state == State::partial && !ended, whole = answer.state == State::whole;
    // A 200 in the first line is true for a single document, whatever becomes of the rest. Guards against
    // heads and bodies that never end: the document is over at once, the connection has the call's time to
    // end well.
    bool true_already = !several_ && answer.status == 200;
    if (partial && (!true_already || trailing_)) return;
    // Any other answer that cannot be read whole tells nothing: its first line may be spoilt too.
    if (!whole && !true_already) return stop(Ending::broken);
    if (!std::exchange(trailing_, partial)) tell(answer);
    // Guards against answers that stop short: the endpoint counts such a call as out until its connection
    // ends.
    if (partial) return timer_.set(owner_.loop_.now() + rest_within);
    if (!whole || answer.closes || ended || unwritten()) return owner_.drop(*this);
    stream_.consume(answer.size);
    if (!stream_.received().empty()) return owner_.drop(*this);
    owner_.rest(*this);
  }

  void tell(const HttpAnswer& answer) {
    Millis wait = 0;
    Hints hints;
    try {
      if (auto text = answer.header("Retry-After"); !text.empty())
        wait = std::max(0.0, std::ceil(1000 * to_number(text, "Retry-After")));
      if (auto text = answer.header("Server-Load"); !text.empty()) hints = hints_of(text, '=');
    } catch (const Fault& fault) {
      log_line("answer of %llx: %s", static_cast<unsigned long long>(endpoint_), fault.what());
    }
    auto all = verdict_of(answer);
    hung_up_ = answer.closes;
    if (!several_ || answer.status != 200) return end_all(all, wait, hints);
    auto states = nlohmann::json::parse(answer.body(), nullptr, false);
    std::map<std::string, Verdict> verdicts;
    for (const auto& state : states.is_array() ? states : nlohmann::json::array())
      if (state.is_object() && state.contains("id") && state["id"].is_string() && state.contains("state") &&
          state["state"].is_string())
        verdicts[state["id"].get<std::string>()] = verdict_of(state["state"].get<std::string>());
    auto told = [&](const Item& item) {
      auto found = verdicts.find(item.id);
      // A document that the answer leaves out may have run.
      return found == verdicts.end() ? Verdict{Ending::error, false} : found->second;
    };
    end_each(told, wait, hints);
  }

  Endpoints& owner_;
  const EndpointId endpoint_;
  const Address address_;
  Stream stream_;
  Timer timer_, connect_timer_;
  std::vector<Item> items_;
  std::string request_;
  bool several_ = false;
  bool held_ = false;                     // up, but told to begin later
  bool hung_up_ = false;                  // the answer ends its connection
  bool trailing_ = false;                 // the outcome is told, the rest of the answer still awaited
  bool ahead_ = false, came_up_ = false;  // opened ahead, and not used yet
  Millis sent_at_ = 0, idle_since_ = 0, kept_ = 0;
};

Endpoints::Endpoints(Loop& loop, const Limits& limits) : loop_(loop), limits_(limits) {}
Endpoints::~Endpoints() = default;

// A document's part of a bundle: base64, and the names around it.
std::size_t Endpoints::bundled_bytes(std::string_view id, std::string_view mark, std::string_view body) {
  return (body.size() + 2) / 3 * 4 + id.size() + mark.size() + 40;
}

void Endpoints::retune(Millis connect_within, Millis idle_life) {
  limits_.connect_within = connect_within, limits_.idle_life = idle_life;
}

void Endpoints::locate(EndpointId endpoint, const Address& address) {
  Place& place = places_[endpoint];
  if (place.address != address) close_idle(endpoint);
  place.address = address;
}

void Endpoints::call(EndpointId endpoint, const std::vector<Parcel>& parcels) {
  Place& place = places_.at(endpoint);
  std::unique_ptr<Line> line;
  // One that is up goes before one that is coming up.
  for (bool coming_up : {false, true})
    for (auto at = place.idle.begin(); at != place.idle.end() && !line;) {
      if ((*at)->coming_up() != coming_up) {
        ++at;
        continue;
      }
      auto kept = std::move(*at);
      at = place.idle.erase(at);
      if (kept->usable() && loop_.now() - kept->idle_since() <= idle_most) line = std::move(kept);
      else put_away(std::move(kept));
    }
  bool fresh = !line;
  bool room = !fresh || make_room();
  if (fresh) line = std::make_unique<Line>(*this, endpoint, place.address);
  Line& used = *line;
  busy_[&used] = std::move(line);
  for (const auto& parcel : parcels) under_way_[{parcel.doc, parcel.transmission}] = &used;
  used.begin(parcels);
  if (!room || used.lacks_descriptor()) used.stop(Ending::not_sent);
  else if (fresh && used.stillborn()) used.stop(Ending::not_connected);
}

bool Endpoints::open_ahead(EndpointId endpoint) {
  auto place = places_.find(endpoint);
  if (place == places_.end() || connections_ >= limits_.connections_most) return false;
  auto line = std::make_unique<Line>(*this, endpoint, place->second.address);
  if (line->stillborn()) return loop_.bury(std::move(line)), false;
  line->begin_ahead();
  place->second.idle.push_front(std::move(line));
  return true;
}

void Endpoints::rest_ahead(Line& line) {
  auto place = places_.find(line.endpoint());
  if (place == places_.end()) return;  // put away in this round
  auto& idle = place->second.idle;
  auto found = std::find_if(idle.begin(), idle.end(), [&](const auto& one) { return one.get() == &line; });
  if (found == idle.end()) return;
  idle.splice(idle.begin(), idle, found);  // idle from now on
  line.rested(), line.tell(Ahead::up);
}

void Endpoints::put_away(std::unique_ptr<Line> line) {
  line->put_away();
  loop_.bury(std::move(line));
}

int Endpoints::connections(EndpointId endpoint) const {
  auto place = places_.find(endpoint);
  auto busy = std::count_if(busy_.begin(), busy_.end(),
                            [&](const auto& one) { return one.first->endpoint() == endpoint; });
  return static_cast<int>(busy + (place == places_.end() ? 0 : std::ssize(place->second.idle)));
}

std::vector<Endpoints::Kept> Endpoints::keep() const {
  std::vector<Kept> all;
  for (const auto& [line, owned] : busy_) all.push_back(line->keep());
  for (const auto& [endpoint, place] : places_)
    for (const auto& line : place.idle) all.push_back(line->keep());
  return all;
}

void Endpoints::take(const std::vector<Kept>& kept) {
  for (const auto& from : kept) {
    auto line = std::make_unique<Line>(*this, from);
    Line& here = *line;
    if (!here.busy()) {
      places_[from.endpoint].idle.push_back(std::move(line));
      continue;
    }
    busy_[&here] = std::move(line);
    for (const auto& item : here.items()) under_way_[{item.doc, item.transmission}] = &here;
    if (here.held()) ready_.emplace_back(here.items()[0].doc, here.items()[0].transmission);
  }
}

std::vector<std::pair<EndpointId, Address>> Endpoints::addresses() const {
  std::vector<std::pair<EndpointId, Address>> all;
  for (const auto& [endpoint, place] : places_) all.emplace_back(endpoint, place.address);
  return all;
}

void Endpoints::close_all_idle() {
  for (auto& [endpoint, place] : places_) {
    for (auto& line : place.idle) line->shut();
    close_idle(endpoint);
  }
}

// Guards against running out of descriptors: the connection idle for longest makes way.
bool Endpoints::make_room() {
  if (connections_ < limits_.connections_most) return true;
  std::list<std::unique_ptr<Line>>* oldest = nullptr;
  for (auto& [endpoint, place] : places_)
    if (!place.idle.empty() && (!oldest || place.idle.back()->idle_since() < oldest->back()->idle_since()))
      oldest = &place.idle;
  if (!oldest) return false;
  put_away(std::move(oldest->back()));
  oldest->pop_back();
  return true;
}

void Endpoints::call_off(DocId doc, int transmission) {
  auto found = under_way_.find({doc, transmission});
  if (found != under_way_.end()) found->second->call_off();
}

void Endpoints::go_on() {
  for (const auto& call : std::exchange(ready_, {}))
    if (auto found = under_way_.find(call); found != under_way_.end()) found->second->go_on();
}

void Endpoints::close_idle(EndpointId endpoint, Millis idle_least) {
  auto found = places_.find(endpoint);
  if (found == places_.end()) return;
  auto& idle = found->second.idle;
  while (!idle.empty() && loop_.now() - idle.back()->idle_since() >= idle_least) {
    put_away(std::move(idle.back()));
    idle.pop_back();
  }
}

void Endpoints::forget(EndpointId endpoint) {
  close_idle(endpoint);
  places_.erase(endpoint);
}

void Endpoints::rest(Line& line) {
  auto found = busy_.find(&line);
  if (found == busy_.end()) return;
  auto place = places_.find(line.endpoint());
  // It trailed on past its endpoint's end, or leads to where that was before it moved.
  if (place == places_.end() || line.address() != place->second.address) return drop(line);
  place->second.idle.push_front(std::move(found->second));
  busy_.erase(found);
  line.rested();
}

void Endpoints::drop(Line& line) {
  line.shut();
  if (auto found = busy_.find(&line); found != busy_.end()) {
    loop_.bury(std::move(found->second));
    busy_.erase(found);
    return;
  }
  auto place = places_.find(line.endpoint());
  if (place == places_.end()) return;
  auto& idle = place->second.idle;
  auto found = std::find_if(idle.begin(), idle.end(), [&](const auto& kept) { return kept.get() == &line; });
  if (found == idle.end()) return;
  put_away(std::move(*found));
  idle.erase(found);
}

}  // namespace rockcrank
