// Connection pool for HTTP/1.1 calls to endpoints, one call at a time on each connection. It carries out the
// calls chosen by the decision module and reports the outcome of each transmission and of each preconnect. It
// neither chooses an endpoint nor retries; before the first byte of each call is written, and before bytes
// that had to wait for the socket, it asks whether the call may still be written.
#pragma once

#include <array>
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
#include "relay/answer_history.h"
#include "relay/call_request.h"
#include "relay/http.h"
#include "relay/loop.h"

namespace rockcrank {

// Why this relay ended a connection to an endpoint.
enum class EndpointCloseReason : std::uint8_t {
  call_failed,       // the call on it ended without an answer, or with one that cannot be read
  closed_by_answer,  // the endpoint's answer closes it, or its end came behind the answer
  idle_too_long,
  unusable,  // unread bytes, or an unread end, came while it was idle
  unexpected_answer,
  answers_repeat,  // its next answer could not be told from a copy
  connection_limit,
  not_needed,  // the decision module closes it, or its endpoint has no address or another one
};
constexpr std::size_t endpoint_close_reason_count = 8;
const char* name_of(EndpointCloseReason reason);

class Endpoints {
 public:
  struct Limits {
    Millis connect_timeout = 0, idle_timeout = 0;
    std::size_t max_connections = 0;
  };
  Endpoints(EventLoop& loop, const Limits& limits);
  ~Endpoints();

  // A transmission whose outcome has not been reported yet.
  struct InFlightTransmission {
    DocId doc{};
    int transmission = 0;
    Millis deadline = 0;
    std::string id;
  };
  // A connection and the call on it, as handed over to a successor process.
  struct ConnectionSnapshot {
    EndpointId endpoint{};
    Address address;
    Stream::Snapshot stream;
    std::vector<InFlightTransmission> transmissions;
    std::string request;  // not written yet
    std::string unproven_answer;
    Millis unproven_at = 0;
    AnswerHistory::Snapshot history;
    bool is_batch = false, deferred = false, connection_closed = false, draining = false;
    bool answers_repeat = false, retired = false, disputed = false;
    std::vector<std::string> ended_by_earlier;  // ids
    Millis started_at = 0, written_at = 0, idle_since = 0, connection_idle_time = 0;
  };
  std::vector<ConnectionSnapshot> snapshot() const;
  void restore(const std::vector<ConnectionSnapshot>& snapshots);
  std::vector<std::pair<EndpointId, Address>> addresses() const;
  std::size_t connections() const { return connections_; }
  int connections(EndpointId endpoint) const;  // including those still connecting
  std::size_t calls_in_flight() const { return active_.size(); }
  void close_all_idle();  // immediately

  static constexpr std::size_t max_body_bytes = 65536;
  static std::size_t batch_item_bytes(std::string_view id, std::string_view idempotency_key,
                                      std::string_view body);

  std::function<void(const Outcome&)> on_outcome;
  std::function<void(DocId, int)> on_connecting;
  // A refusal with this Retry-After has begun to arrive for the call of this transmission.
  std::function<void(DocId, int, Millis)> on_wait_told_early = [](DocId, int, Millis) {};
  // How long after its call was written an unproven answer is accepted.
  std::function<Millis(const UnprovenAnswer&)> acceptance_delay = [](const UnprovenAnswer&) { return 0; };
  // An answer without proof says that the document is over, or (false) it was the answer to another call.
  std::function<void(DocId, bool may_be_over)> on_possible_end = [](DocId, bool) {};
  std::function<void(EndpointId)> on_copied_answer = [](EndpointId) {};
  // A Retry-After in an answer that belongs to no call that is out.
  std::function<void(EndpointId, Millis)> on_wait_told = [](EndpointId, Millis) {};
  std::function<bool(EndpointId, bool answers_repeat)> may_keep_connection = [](EndpointId, bool) {
    return true;
  };
  std::function<bool(EndpointId, DocId, const EarlierAnswers&)> may_reuse_connection =
      [](EndpointId, DocId, const EarlierAnswers&) { return true; };
  // A document that was taken for delivered by an unproven answer may have been refused.
  std::function<void(DocId, const std::string& id)> on_delivery_contradicted = [](DocId, const std::string&) {
  };
  // Whether the call of this transmission may be written now. Asked with an up-to-date view: the owner calls
  // read_pending() first where its view is old.
  std::function<SendPermission(DocId, int)> may_write;
  std::function<bool(DocId)> is_finished;  // the document has ended, whether or not its notice was sent
  // Whether nothing can have arrived unread for long. Asked last, as this process may be stopped after
  // may_write.
  std::function<bool()> view_is_fresh = [] { return true; };
  // Called before a call's first byte is written, because from then on it may run. False: it may not be
  // written. It may take long, so may_write is asked after it.
  std::function<bool(EndpointId, const std::vector<InFlightTransmission>&)> before_write;
  // The call was not written after all, and waits.
  std::function<void(const std::vector<InFlightTransmission>&)> on_write_deferred =
      [](const std::vector<InFlightTransmission>&) {};
  // Answers that were not simply the next one to the call that was out.
  struct AnswerCounts {
    std::uint64_t copied = 0;        // followed by the call's own answer, or naming another call
    std::uint64_t unexpected = 0;    // no call was out
    std::uint64_t early = 0;         // their call had not been written
    std::uint64_t unproven = 0;      // accepted without a proof
    std::uint64_t kept = 0;          // not proved, so not accepted at once
    std::uint64_t not_accepted = 0;  // kept, and not accepted when their call ended in another way
  };
  const AnswerCounts& answer_counts() const { return answer_counts_; }
  std::uint64_t closed_count(EndpointCloseReason reason) const {
    return closed_counts_[static_cast<std::size_t>(reason)];
  }
  Millis max_idle_time = 0;  // set before each turn's calls: a connection idle for longer is not reused

  // Applies to connections opened or becoming idle from now on.
  void set_timeouts(Millis connect_timeout, Millis idle_timeout);
  // Where the endpoint had another address before, calls that are not wholly written yet are not, and idle
  // connections are closed.
  void set_address(EndpointId endpoint, const Address& address);
  // Another endpoint's process is at its address: likewise.
  void give_up_address(EndpointId endpoint);
  // Opens a connection before any call needs it; once connected it is idle. A call may take it before it is
  // connected. Returns false and opens nothing if the endpoint is unknown or the connection limit is reached.
  bool preconnect(EndpointId endpoint);
  // connected: now idle; each of the others is the last event of a connection
  enum class PreconnectEvent { connected, used, failed, unused };
  std::function<void(EndpointId, PreconnectEvent)> on_preconnect;  // must not call into this object
  void call(EndpointId endpoint, const std::vector<OutboundTransmission>& transmissions);  // all in one call
  void cancel(DocId doc, int transmission);
  void resume_deferred();  // calls that were told to begin later
  void read_pending();     // answers that have arrived, without waiting for poll
  void close_idle(EndpointId endpoint, Millis min_idle = 0);
  void remove(EndpointId endpoint);  // it must have no call in flight
  bool no_calls_in_flight() const { return active_.empty(); }

 private:
  class Connection;
  struct Pool {
    Address address;
    std::list<std::unique_ptr<Connection>> idle;  // most recently used first
    AnswerHistory history;                        // of all its connections
    int deliveries = 0;                           // answers with status 200
    bool deliveries_differ = true;                // no two of them had the same bytes
  };

  void leave_address(EndpointId endpoint, TransmissionResult unwritten_result);
  void release(Connection& connection);
  void discard(Connection& connection, EndpointCloseReason reason);
  bool ensure_capacity();
  std::unique_ptr<Connection> take_idle_connection(EndpointId endpoint,
                                                   const std::vector<OutboundTransmission>& transmissions);
  void discard_idle(std::unique_ptr<Connection> connection, EndpointCloseReason reason);
  void release_preconnected(Connection& connection);
  void move_to_new_connection(Connection& connection);

  EventLoop& loop_;
  Limits limits_;
  std::map<EndpointId, Pool> pools_;
  std::map<const Connection*, std::unique_ptr<Connection>> active_;
  std::map<std::pair<DocId, int>, Connection*> in_flight_;
  std::vector<std::pair<DocId, int>> deferred_;  // connected, and told to begin later
  std::size_t connections_ = 0;
  std::uint64_t last_connection_number_ = 0;
  AnswerCounts answer_counts_;
  std::array<std::uint64_t, endpoint_close_reason_count> closed_counts_{};
};

}  // namespace rockcrank
