// Owns the reading of clients' commands (RESP2: arrays of bulk strings). It copies nothing: a command is
// slices of the buffer given. It must never judge what a command means.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace rockcrank {

struct Command {
  enum class State { partial, complete, malformed };
  State state = State::partial;
  std::vector<std::string_view> arguments;
  std::size_t size = 0;  // bytes of the buffer it took
};

// Reads the command at the front of the buffer. One of more words, or of more bytes in all its words, is
// malformed as soon as that shows, so that nobody makes the relay wait for it.
Command parse_command(std::string_view buffer, std::size_t words_most, std::size_t bytes_most);

}  // namespace rockcrank
