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

struct OutboundTransmission {
  DocId doc{};
  int transmission = 0;
  Millis timeout = 0;
  std::string_view id, idempotency_key, body;  // of the held document; copied into the request
};

class Endpoints {
 public:
  struct Limits {
    Millis connect_timeout = 0, idle_timeout = 0;
    std::size_t max_connections = 0;
  };
  Endpoints(EventLoop& loop, const Limits& limits);
  ~Endpoints();

  // What goes to the process that takes this one's place: a connection, with the call on it.
  struct InFlightTransmission {
    DocId doc{};
    int transmission = 0;
    Millis deadline = 0;
    std::string id;
  };
  struct ConnectionState {
    EndpointId endpoint{};
    Address address;
    Stream::Snapshot stream;
    std::vector<InFlightTransmission> transmissions;
    std::string request;  // not begun
    bool is_batch = false, deferred = false, connection_close = false, draining = false;
    Millis started_at = 0, idle_since = 0, idle_before_use = 0;
  };
  std::vector<ConnectionState> export_connections() const;
  void import_connections(const std::vector<ConnectionState>& kept);
  std::vector<std::pair<EndpointId, Address>> addresses() const;
  std::size_t connections() const { return connections_; }
  int connections(EndpointId endpoint) const;  // those coming up counted
  std::size_t calls_in_flight() const { return active_.size(); }
  void close_all_idle();  // at once

  static constexpr std::size_t max_body_bytes = 65536;
  static std::size_t batch_item_bytes(std::string_view id, std::string_view mark, std::string_view body);

  std::function<void(const Outcome&)> on_outcome;
  std::function<void(DocId, int)> on_connecting;
  std::function<SendPermission(DocId, int)> may_begin;
  std::function<bool(DocId)> is_finished;  // has its end, told or owed
  // Asked right before a call's first byte is written: from then on it may run. False: it may not be written.
  std::function<bool(EndpointId, const std::vector<InFlightTransmission>&)> before_write;
  Millis max_idle_time = 0;  // set before each turn's calls: a connection idle for longer is not used again

  void set_timeouts(Millis connect_within, Millis idle_life);  // of connections opened, or idle, from now on
  void set_address(EndpointId endpoint, const Address& address);
  // A connection that no call asks for: it comes up as any other, and lies idle then. A call may take it
  // before. False, and nothing is opened: the endpoint has no place, or no descriptor is left that nobody
  // has.
  bool preconnect(EndpointId endpoint);
  enum class PreconnectEvent {
    connected,
    used,
    failed,
    unused
  };  // up: idle; the others end what is told of it
  std::function<void(EndpointId, PreconnectEvent)> on_preconnect;  // must not enter this object
  void call(EndpointId endpoint, const std::vector<OutboundTransmission>& parcels);  // several: one call
  void cancel(DocId doc, int transmission);
  void resume_deferred();  // with calls that were told to begin later
  void close_idle(EndpointId endpoint, Millis idle_least = 0);
  void remove(EndpointId endpoint);  // no call of it is out
  bool no_calls_in_flight() const { return active_.empty(); }

 private:
  class Connection;
  struct Pool {
    Address address;
    std::list<std::unique_ptr<Connection>> idle;  // the last used first
  };

  void release(Connection& line);
  void discard(Connection& line);
  bool ensure_capacity();
  void discard_idle(std::unique_ptr<Connection> line);
  void release_preconnected(Connection& line);

  EventLoop& loop_;
  Limits limits_;
  std::map<EndpointId, Pool> pools_;
  std::map<const Connection*, std::unique_ptr<Connection>> active_;
  std::map<std::pair<DocId, int>, Connection*> in_flight_;
  std::vector<std::pair<DocId, int>> deferred_;  // up, and told to begin later
  std::size_t connections_ = 0;
};

}  // namespace rockcrank
