// A parser for client commands in RESP2 (arrays of bulk strings), without I/O. It copies nothing: a parsed
// command refers to the caller's buffer.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace rockcrank {

struct Command {
  enum class State { partial, complete, malformed };
  State state = State::partial;
  std::vector<std::string_view> arguments;
  std::size_t size = 0;      // bytes consumed from the buffer
  std::size_t min_size = 0;  // partial: the whole command has at least so many bytes
};

// Parses the command at the start of the buffer. A command that announces too many arguments, or too many
// bytes in all arguments together, is malformed at once, so that no client can make the relay buffer it.
Command parse_command(std::string_view buffer, std::size_t max_arguments, std::size_t max_bytes);

}  // namespace rockcrank
