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

struct Handed {  // slices of the connection's buffer
  std::string_view order_key, id, list, body;
};

// Where the answer to one command goes; it may be given later, and is passed over once the client is gone.
struct AnswerTo {
  std::uint64_t client = 0, number = 0;
};

// Why this relay closed a client's connection, or how one ended under a command.
enum class CloseReason : std::uint8_t {
  malformed_command,
  incomplete_command,  // the rest of it did not come in time
  never_asked,
  not_reading,
  made_room,  // all places were taken, and a new connection waited
  too_many_at_rest,
  descriptors_short,  // the calls needed its descriptor
  shutdown,
  client_gone  // before it had all its answers
};
constexpr std::size_t close_reason_count = 9;
const char* name_of(CloseReason reason);

class Clients {
 public:
  struct Limits {
    std::size_t connections_most = 0, at_rest_most = 0;
  };
  // What goes to the process that takes this one's place: each connection between two answers.
  struct Kept {
    Stream::Kept stream;
    bool asked = false, input_over = false, finishing = false;
    Millis used_at = 0;
  };
  // On a listening socket that was passed, if there is one.
  Clients(Loop& loop, const Address& at, int passed_socket, const Limits& limits);
  ~Clients();

  std::function<void(const Handed&, AnswerTo)> on_document;

  void answer(AnswerTo to, const std::string& text);
  void stop_listening();
  std::vector<Kept> keep() const;  // once all that came is answered
  void take(const std::vector<Kept>& kept);
  void go_on();  // with what had come on them
  std::size_t size() const { return clients_.size(); }
  std::uint64_t closed(CloseReason reason) const { return closed_[static_cast<std::size_t>(reason)]; }
  void give_room();            // closes all that may be closed between requests
  void close_after_answers();  // each connection, once nothing on it is unanswered
  void close_now();            // each connection; what has come of a command is turned away

 private:
  class Client;
  template <typename Taker>
  void each(Taker take);
  void taken(int fd);
  void ended(std::uint64_t number);
  void note_close(CloseReason reason, std::uint64_t number, std::size_t unanswered);
  void make_room();
  void thin_out();

  Loop& loop_;
  const Limits limits_;
  std::map<std::uint64_t, std::unique_ptr<Client>> clients_;
  std::uint64_t last_ = 0;
  bool closing_ = false;
  std::array<std::uint64_t, close_reason_count> closed_{};
  std::unique_ptr<Listener> listener_;
  Timer full_;
};

}  // namespace rockcrank
