// How much memory the client connections of a process may hold together, and which of them gives way when
// they hold more. Each connection has bounds of its own, but hundreds of them at their bounds hold more than
// a small process has. Free of I/O: the host reports what each connection holds and carries out what is
// decided.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decision/decision.h"

namespace rockcrank {

// What a connection holds memory for.
enum class ClientBuffer : std::uint8_t {
  received,  // bytes that are not executed yet
  unsent     // replies that the client has not read
};

// The limits of the whole process, by its configuration. memory_bytes 0: no limit is set.
struct ProcessLimits {
  std::size_t memory_bytes = 0;
  std::size_t disk_bytes = 0;  // of the files in its folder, which count as memory too
};

// What one connection holds, as far as the choice depends on it.
struct ClientUse {
  std::uint64_t client = 0;
  std::size_t received_bytes = 0, unsent_bytes = 0;
  bool has_completed_command = false;  // on this connection
  bool has_whole_command = false;      // received, and not executed yet
  Millis waiting_since = 0;            // for the rest of a command, or for the client to read its replies
};

class MemoryBudget {
 public:
  explicit MemoryBudget(const ProcessLimits& limits);

  // The most that all connections together may hold for this kind.
  std::size_t limit(ClientBuffer kind) const { return kind == ClientBuffer::received ? received_ : unsent_; }
  // The most that they may hold while the process hands its state over: both processes have a copy then.
  std::size_t handover_limit() const { return received_ / handover_divisor; }
  bool is_exceeded(ClientBuffer kind, std::size_t held) const { return held > limit(kind); }
  // What they may hold after some have given way: below the limit, so that the choice is not made at each
  // event.
  std::size_t shed_target(ClientBuffer kind) const { return limit(kind) - limit(kind) / shed_divisor; }

  // The connection that gives way next, among those that hold memory of this kind. Received bytes: one
  // without a whole command goes first, and among these one that has not completed any command on its
  // connection, as a client that sends whole requests is served before one that does not; then the one that
  // has waited longest. One with whole commands is refused them only if none else is left. Unsent replies:
  // the one whose client has not read for longest. None: no connection holds any.
  static std::optional<std::uint64_t> choose_to_shed(ClientBuffer kind, const std::vector<ClientUse>& uses);

 private:
  static constexpr std::size_t handover_divisor = 8, shed_divisor = 8;

  std::size_t received_ = SIZE_MAX, unsent_ = SIZE_MAX;
};

// What one connection may take of one turn of the host's loop, so that none delays the others.
constexpr std::size_t max_commands_per_turn = 32;
// What all connections together may read of large commands in one turn, beyond the first bytes of each.
constexpr std::size_t max_bulk_bytes_per_turn = 1 << 20;
// Replies that wait in this process for a client to read on, beside those in the system's buffer. Beyond it
// no further command of that client is executed.
constexpr std::size_t max_unsent_reply_bytes = 8192;
// The most commands of one connection that are refused at the end of the process.
constexpr std::size_t max_commands_refused_at_end = 8192;

}  // namespace rockcrank
