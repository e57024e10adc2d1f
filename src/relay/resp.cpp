// The reading of commands; resp.h says what it owns. It may never read past the buffer, nor wait for more
// than the bounds allow.

#include "relay/resp.h"

#include <charconv>

namespace rockcrank {
namespace {

// A line such as "$12\r\n" at the offset: 1 and the number, 0 where more must come, -1 where it is malformed.
int read_count(std::string_view buffer, std::size_t& at, char mark, std::size_t most, std::size_t& count) {
  auto rest = buffer.substr(at);
  if (rest.empty()) return 0;
  if (rest[0] != mark) return -1;
  auto line = rest.find('\n');
  if (line == std::string_view::npos) return rest.size() > 24 ? -1 : 0;
  if (line < 3 || rest[line - 1] != '\r') return -1;
  auto digits = rest.substr(1, line - 2);
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), count);
  if (error != std::errc{} || end != digits.data() + digits.size() || count > most) return -1;
  at += line + 1;
  return 1;
}

}  // namespace

Command parse_command(std::string_view buffer, std::size_t words_most, std::size_t bytes_most) {
  Command command;
  std::size_t at = 0, words = 0, left = bytes_most;
  auto stop = [&](int outcome) {
    command.state = outcome < 0 ? Command::State::malformed : Command::State::partial;
    command.arguments.clear();
    return command;
  };
  if (int got = read_count(buffer, at, '*', words_most, words); got <= 0) return stop(got);
  for (std::size_t i = 0; i < words; ++i) {
    std::size_t length = 0;
    if (int got = read_count(buffer, at, '$', left, length); got <= 0) return stop(got);
    left -= length;
    if (buffer.size() < at + length + 2) return stop(0);
    if (buffer.substr(at + length, 2) != "\r\n") return stop(-1);
    command.arguments.push_back(buffer.substr(at, length));
    at += length + 2;
  }
  command.state = Command::State::complete;
  command.size = at;
  return command;
}

}  // namespace rockcrank
