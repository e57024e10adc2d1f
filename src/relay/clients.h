// Owns the connections of clients and their commands, in RESP2. It hands documents over and gives back the
// answers, each in its connection's order; it must never decide whether a document is taken.
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
#include "relay/loop.h"

namespace rockcrank {

struct EnqueueCommand {  // slices of the connection's buffer
  std::string_view order_key, id, attributes, body;
};

// Where the answer to one command goes; it may be given later, and is passed over once the client is gone.
struct ReplyTo {
  std::uint64_t client = 0, command = 0;
};

// Why this relay closed a client's connection, or how one ended under a command.
enum class CloseReason : std::uint8_t {
  malformed_command,
  incomplete_command,  // the rest of it did not come in time
  no_command,
  not_reading,
  evicted,  // all places were taken, and a new connection waited
  too_many_idle,
  out_of_descriptors,  // the calls needed its descriptor
  shutdown,
  client_gone  // before it had all its answers
};
constexpr std::size_t close_reason_count = 9;
const char* name_of(CloseReason reason);

class Clients {
 public:
  struct Limits {
    std::size_t max_connections = 0, max_idle = 0;
  };
  // What goes to the process that takes this one's place: each connection between two answers.
  struct ConnectionState {
    Stream::Snapshot stream;
    bool has_sent_command = false, input_ended = false, closing = false;
    Millis last_used_at = 0;
  };
  // On a listening socket that was passed, if there is one.
  Clients(EventLoop& loop, const Address& at, int passed_socket, const Limits& limits);
  ~Clients();

  std::function<void(const EnqueueCommand&, ReplyTo)> on_enqueue;

  void reply(ReplyTo to, const std::string& text);
  void stop_listening();
  std::vector<ConnectionState> export_connections() const;  // once all that came is answered
  void import_connections(const std::vector<ConnectionState>& kept);
  void resume_reading();  // with what had come on them
  std::size_t size() const { return clients_.size(); }
  std::uint64_t closed_count(CloseReason reason) const {
    return closed_counts_[static_cast<std::size_t>(reason)];
  }
  void close_idle();           // closes all that may be closed between requests
  void close_after_replies();  // each connection, once nothing on it is unanswered
  void close_now();            // each connection; what has come of a command is turned away

 private:
  class Client;
  template <typename Taker>
  void for_each(Taker take);
  void on_accept(int fd);
  void remove(std::uint64_t number);
  void record_close(CloseReason reason, std::uint64_t number, std::size_t unanswered);
  void evict_or_pause();
  void evict_excess_idle();

  EventLoop& loop_;
  const Limits limits_;
  std::map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::uint64_t last_client_ = 0;
  bool closing_ = false;
  std::array<std::uint64_t, close_reason_count> closed_counts_{};
  std::unique_ptr<Listener> listener_;
  Timer full_timer_;
};

}  // namespace rockcrank
