// Owns the connections to endpoints and the calls on them, one call at a time on each. It carries out what
// the decision module chose and reports how each transmission ended, and what became of a connection opened
// ahead of any; it must never choose an endpoint, send anything again, or hold a call back, but for asking
// whether one not yet begun may still go.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/decision.h"
#include "relay/http.h"
#include "relay/loop.h"

namespace rockcrank {

struct Parcel {
  DocId doc{};
  int transmission = 0;
  Millis time_out = 0;
  std::string_view id, mark, body;  // of the held document; copied into the request
};

class Endpoints {
 public:
  struct Limits {
    Millis connect_within = 0, idle_life = 0;
    std::size_t connections_most = 0;
  };
  Endpoints(Loop& loop, const Limits& limits);
  ~Endpoints();

  // What goes to the process that takes this one's place: a connection, with the call on it.
  struct Item {
    DocId doc{};
    int transmission = 0;
    Millis until = 0;
    std::string id;
  };
  struct Kept {
    EndpointId endpoint{};
    Address address;
    Stream::Kept stream;
    std::vector<Item> items;
    std::string request;  // not begun
    bool several = false, held = false, hung_up = false, trailing = false;
    Millis sent_at = 0, idle_since = 0, kept = 0;
  };
  std::vector<Kept> keep() const;
  void take(const std::vector<Kept>& kept);
  std::vector<std::pair<EndpointId, Address>> addresses() const;
  std::size_t connections() const { return connections_; }
  int connections(EndpointId endpoint) const;  // those coming up counted
  std::size_t out() const { return busy_.size(); }
  void close_all_idle();  // at once

  static constexpr std::size_t body_most = 65536;
  static std::size_t bundled_bytes(std::string_view id, std::string_view mark, std::string_view body);

  std::function<void(const Outcome&)> on_outcome;
  std::function<void(DocId, int)> on_connecting;
  std::function<MayBegin(DocId, int)> may_begin;
  std::function<bool(DocId)> is_over;  // has its end, told or owed
  // Asked right before a call's first byte is written: from then on it may run. False: it may not be written.
  std::function<bool(EndpointId, const std::vector<Item>&)> on_writing;
  Millis idle_most = 0;  // set before each turn's calls: a connection idle for longer is not used again

  void retune(Millis connect_within, Millis idle_life);  // of connections opened, or idle, from now on
  void locate(EndpointId endpoint, const Address& address);
  // A connection that no call asks for: it comes up as any other, and lies idle then. A call may take it
  // before. False, and nothing is opened: the endpoint has no place, or no descriptor is left that nobody
  // has.
  bool open_ahead(EndpointId endpoint);
  enum class Ahead { up, used, failed, unused };    // up: idle; the others end what is told of it
  std::function<void(EndpointId, Ahead)> on_ahead;  // must not enter this object
  void call(EndpointId endpoint, const std::vector<Parcel>& parcels);  // several: one call
  void call_off(DocId doc, int transmission);
  void go_on();  // with calls that were told to begin later
  void close_idle(EndpointId endpoint, Millis idle_least = 0);
  void forget(EndpointId endpoint);  // no call of it is out
  bool none_out() const { return busy_.empty(); }

 private:
  class Line;
  struct Place {
    Address address;
    std::list<std::unique_ptr<Line>> idle;  // the last used first
  };

  void rest(Line& line);
  void drop(Line& line);
  bool make_room();
  void put_away(std::unique_ptr<Line> line);
  void rest_ahead(Line& line);

  Loop& loop_;
  Limits limits_;
  std::map<EndpointId, Place> places_;
  std::map<const Line*, std::unique_ptr<Line>> busy_;
  std::map<std::pair<DocId, int>, Line*> under_way_;
  std::vector<std::pair<DocId, int>> ready_;  // up, and told to begin later
  std::size_t connections_ = 0;
};

}  // namespace rockcrank
