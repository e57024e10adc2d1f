#include "relay/resp.h"

#include <charconv>

namespace rockcrank {
namespace {

constexpr std::size_t max_length_line = 24;  // bytes

using State = Command::State;

// Parses a line such as "$12\r\n" at the offset. Where it is complete, sets the count and moves the offset
// on.
State parse_length(std::string_view buffer, std::size_t& at, char prefix, std::size_t max,
                   std::size_t& count) {
  auto rest = buffer.substr(at);
  if (rest.empty()) return State::partial;
  if (rest[0] != prefix) return State::malformed;
  auto line = rest.find('\n');
  if (line == std::string_view::npos)
    return rest.size() > max_length_line ? State::malformed : State::partial;
  if (line < 3 || rest[line - 1] != '\r') return State::malformed;
  auto digits = rest.substr(1, line - 2);
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
  if (error != std::errc{} || end != digits.data() + digits.size() || count > max) return State::malformed;
  at += line + 1;
  return State::complete;
}

}  // namespace

Command parse_command(std::string_view buffer, std::size_t max_arguments, std::size_t max_bytes) {
  Command command;
  std::size_t at = 0, arguments = 0, bytes_left = max_bytes;
  auto stop = [&](State state) {
    command.state = state;
    command.arguments.clear();
    return command;
  };
  if (State state = parse_length(buffer, at, '*', max_arguments, arguments); state != State::complete)
    return stop(state);
  for (std::size_t i = 0; i < arguments; ++i) {
    std::size_t length = 0;
    if (State state = parse_length(buffer, at, '$', bytes_left, length); state != State::complete)
      return stop(state);
    bytes_left -= length;
    command.min_size = at + length + 2;
    if (buffer.size() < command.min_size) return stop(State::partial);
    if (buffer.substr(at + length, 2) != "\r\n") return stop(State::malformed);
    command.arguments.push_back(buffer.substr(at, length));
    at += length + 2;
  }
  command.state = State::complete;
  command.size = at;
  return command;
}

}  // namespace rockcrank
