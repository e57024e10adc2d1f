// Client connections and their commands in the RESP2 protocol. Passes documents to the relay and returns the
// replies in the order of the commands on each connection. Whether a document is accepted is decided
// elsewhere.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "decision/decision.h"
#include "decision/memory_budget.h"
#include "relay/loop.h"

namespace rockcrank {

struct EnqueueCommand {  // views of the connection's buffer
  std::string_view order_key, id, attributes, body;
};

// Identifies the command that a reply belongs to. The reply may be given later, and is dropped if the client
// is gone.
struct ReplyTo {
  std::uint64_t client = 0, command = 0;
};

// Why this relay closed a client's connection, or that the client left before its replies.
enum class CloseReason : std::uint8_t {
  malformed_command,
  incomplete_command,  // the rest of it did not arrive in time
  no_command,
  not_reading,
  evicted,  // the connection limit was reached
  too_many_idle,
  out_of_descriptors,  // its descriptor was needed for a handover
  shutdown,
  client_gone,     // before it had all its replies
  memory_exceeded  // its incomplete command was refused, or its unread replies dropped, for the memory budget
};
constexpr std::size_t close_reason_count = 10;
const char* name_of(CloseReason reason);

// Memory held for all client connections.
struct ClientBytes {
  std::size_t received = 0, unsent = 0;
};

class Clients {
 public:
  struct Limits {
    std::size_t max_connections = 0, max_idle = 0;
    ProcessLimits process{};
  };
  // A connection as handed over to a successor process, between two replies.
  struct ConnectionSnapshot {
    Stream::Snapshot stream;
    bool has_sent_command = false, input_ended = false, closing = false;
    Millis last_used_at = 0;
  };
  // Listens on the passed socket if there is one (not -1), else on the address.
  Clients(EventLoop& loop, const Address& at, int passed_socket, const Limits& limits);
  ~Clients();

  std::function<void(const EnqueueCommand&, ReplyTo)> on_enqueue;

  void reply(ReplyTo to, const std::string& text);
  void stop_listening();
  std::vector<ConnectionSnapshot> snapshot() const;  // once all commands received are answered
  void restore(const std::vector<ConnectionSnapshot>& snapshots);
  void resume_reading();  // of commands already received
  std::size_t size() const { return clients_.size(); }
  std::size_t unanswered_commands() const;
  std::size_t unread_bytes() const;  // received and not parsed yet
  ClientBytes held_bytes() const { return held_; }
  const MemoryBudget& budget() const { return budget_; }
  // The longest time for which one connection kept the loop with its commands.
  Millis longest_read() const { return longest_read_; }
  std::uint64_t closed_count(CloseReason reason) const {
    return closed_counts_[static_cast<std::size_t>(reason)];
  }
  void close_idle();           // closes every connection that can be closed between commands
  void close_after_replies();  // each connection once it has no pending replies
  // Each connection; what has arrived and was not accepted is answered -BUSY. Those that are not reached by
  // the deadline are left.
  void close_now(Millis deadline);
  // Refuses commands that are not accepted yet, until no more is held than a handover may copy.
  void shed_for_handover();
  bool is_connected(std::uint64_t client) const { return clients_.count(client) > 0; }
  // Connections closed, and commands refused, because all of them together held too much.
  std::uint64_t shed_count() const { return shed_count_; }

 private:
  class Client;
  template <typename Visitor>
  void for_each(Visitor visit);
  void on_accept(int fd);
  void remove(std::uint64_t number);
  void record_close(CloseReason reason, std::uint64_t number, std::size_t unanswered);
  void evict_or_pause();
  void evict_excess_idle();
  void schedule_resume();
  void resume_paused();
  void update_use(Client& client);
  // Takes so much of what all connections may read of large commands in this turn of the loop; false: it is
  // used up.
  bool take_bulk_bytes(std::size_t bytes);
  void enforce_budget();
  std::size_t held(ClientBuffer kind) const;
  void shed(ClientBuffer kind, std::size_t most);
  std::vector<ClientUse> uses() const;

  EventLoop& loop_;
  const Limits limits_;
  std::map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::uint64_t last_client_ = 0;
  bool closing_ = false;
  Millis longest_read_ = 0;
  MemoryBudget budget_;
  ClientBytes held_;  // by all connections
  std::uint64_t shed_count_ = 0;
  std::size_t bulk_bytes_left_ = 0;
  Millis bulk_bytes_given_at_ = -1;  // the loop's turn
  bool shedding_ = false;
  bool executing_ = false;  // a command, which refers to its connection's buffer
  std::array<std::uint64_t, close_reason_count> closed_counts_{};
  std::unique_ptr<Listener> listener_;
  Timer full_timer_;
  Timer resume_timer_;  // for connections whose reading is paused and may go on
};

}  // namespace rockcrank
