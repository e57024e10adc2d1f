// The reading of answers; http.h says what it owns. It may never read past the buffer, nor wait for more than
// the bounds allow.

#include "relay/http.h"

#include <cctype>
#include <charconv>
#include <optional>

namespace rockcrank {
namespace {

constexpr std::size_t head_most = 16384;
constexpr std::string_view version = "HTTP/1.";

bool same_word(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i)
    if (std::tolower(static_cast<unsigned char>(a[i])) != std::tolower(static_cast<unsigned char>(b[i])))
      return false;
  return true;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::optional<std::size_t> to_size(std::string_view text, int base) {
  std::size_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// One line without its end; nothing while its end has not come.
std::optional<std::string_view> next_line(std::string_view buffer, std::size_t& at) {
  auto end = buffer.find('\n', at);
  if (end == std::string_view::npos) return std::nullopt;
  auto line = buffer.substr(at, end - at);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  at = end + 1;
  return line;
}

using State = HttpResponse::State;

State read_chunks(std::string_view buffer, std::size_t& at, std::size_t body_most, std::string& body) {
  while (true) {
    auto line = next_line(buffer, at);
    if (!line) return buffer.size() - at > 256 ? State::malformed : State::partial;
    auto size = to_size(trimmed(line->substr(0, line->find(';'))), 16);
    if (!size || *size > body_most || body.size() + *size > body_most) return State::malformed;
    if (*size == 0) break;
    if (buffer.size() < at + *size + 2) return State::partial;
    body.append(buffer.substr(at, *size));
    if (buffer.substr(at + *size, 2) != "\r\n") return State::malformed;
    at += *size + 2;
  }
  while (true) {
    auto line = next_line(buffer, at);
    if (!line) return buffer.size() - at > head_most ? State::malformed : State::partial;
    if (line->empty()) return State::complete;
  }
}

}  // namespace

std::string_view HttpResponse::header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (same_word(key, name)) return value;
  return {};
}

HttpResponse parse_response(std::string_view buffer, std::size_t body_most, bool connection_ended) {
  HttpResponse answer;
  std::size_t at = 0;
  auto as = [&](State state) {
    answer.state = state;
    return std::move(answer);
  };
  auto unfinished = [&] { return as(buffer.size() - at > head_most ? State::malformed : State::partial); };
  do {  // an interim answer is skipped; all heads together keep within the bound
    answer.headers.clear(), answer.status = 0;
    // Guards against noise without a line's end, which would be waited for until the call's time is up.
    auto start = buffer.substr(at, version.size());
    if (start != version.substr(0, start.size())) return as(State::malformed);
    auto first = next_line(buffer, at);
    if (!first) return unfinished();
    bool bounded = first->size() == 12 || (first->size() > 12 && (*first)[12] == ' ');
    auto code = bounded && (*first)[8] == ' ' ? to_size(first->substr(9, 3), 10) : std::nullopt;
    if (!code || *code < 100) return as(State::malformed);
    answer.status = static_cast<int>(*code);
    answer.closes_connection = first->substr(0, 8) == "HTTP/1.0";
    while (true) {
      auto line = next_line(buffer, at);
      if (at > head_most) return as(State::malformed);
      if (!line) return unfinished();
      if (line->empty()) break;
      auto colon = line->find(':');
      if (colon == std::string_view::npos || colon == 0) return as(State::malformed);
      answer.headers.emplace_back(line->substr(0, colon), trimmed(line->substr(colon + 1)));
    }
  } while (answer.status < 200);
  if (same_word(answer.header("Connection"), "close")) answer.closes_connection = true;
  std::optional<std::string_view> length;
  for (const auto& [key, value] : answer.headers) {
    if (!same_word(key, "Content-Length")) continue;
    if (length && *length != value) return as(State::malformed);  // nobody knows where it ends
    length = value;
  }
  if (auto coding = answer.header("Transfer-Encoding"); !coding.empty()) {
    if (!same_word(coding, "chunked") || length) return as(State::malformed);
    auto state = read_chunks(buffer, at, body_most, answer.chunked_body);
    if (state != State::complete) return as(state);
  } else if (length) {
    auto size = to_size(*length, 10);
    if (!size || *size > body_most) return as(State::malformed);
    if (buffer.size() < at + *size) return as(State::partial);
    answer.body_slice = buffer.substr(at, *size);
    at += *size;
  } else if (answer.status != 204 && answer.status != 304) {
    answer.closes_connection = true;
    if (buffer.size() - at > body_most) return as(State::malformed);
    if (!connection_ended) return as(State::partial);
    answer.body_slice = buffer.substr(at);
    at = buffer.size();
  }
  answer.size = at;
  return as(State::complete);
}

}  // namespace rockcrank
