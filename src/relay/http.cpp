#include "relay/http.h"

#include <cctype>
#include <charconv>
#include <optional>

namespace rockcrank {
namespace {

constexpr std::size_t max_header_bytes = 16384;
constexpr std::size_t max_chunk_size_line = 256;  // bytes, with chunk extensions
constexpr std::string_view version = "HTTP/1.";

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i)
    if (std::tolower(static_cast<unsigned char>(a[i])) != std::tolower(static_cast<unsigned char>(b[i])))
      return false;
  return true;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

std::optional<std::size_t> parse_size(std::string_view text, int base) {
  std::size_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// The next line without its line ending, or nothing if it is incomplete.
std::optional<std::string_view> next_line(std::string_view buffer, std::size_t& at) {
  auto end = buffer.find('\n', at);
  if (end == std::string_view::npos) return std::nullopt;
  auto line = buffer.substr(at, end - at);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  at = end + 1;
  return line;
}

using State = HttpResponse::State;

// Everything but the body is bounded too: chunk sizes, their extensions and the trailer may go on for ever.
State parse_chunked_body(std::string_view buffer, std::size_t& at, std::size_t max_body_bytes,
                         std::string& body) {
  const std::size_t body_at = at, max_chunked_bytes = 2 * max_body_bytes + max_header_bytes;
  while (true) {
    if (at - body_at > max_chunked_bytes) return State::malformed;
    auto line = next_line(buffer, at);
    if (!line) return buffer.size() - at > max_chunk_size_line ? State::malformed : State::partial;
    if (line->size() > max_chunk_size_line) return State::malformed;
    auto size = parse_size(trim(line->substr(0, line->find(';'))), 16);
    if (!size || *size > max_body_bytes || body.size() + *size > max_body_bytes) return State::malformed;
    if (*size == 0) break;
    if (buffer.size() < at + *size + 2) return State::partial;
    body.append(buffer.substr(at, *size));
    if (buffer.substr(at + *size, 2) != "\r\n") return State::malformed;
    at += *size + 2;
  }
  const std::size_t trailer_at = at;
  while (true) {
    auto line = next_line(buffer, at);
    if ((line ? at : buffer.size()) - trailer_at > max_header_bytes) return State::malformed;
    if (!line) return State::partial;
    if (line->empty()) return State::complete;
  }
}

}  // namespace

std::string_view HttpResponse::header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (equals_ignoring_case(key, name)) return value;
  return {};
}

HttpResponse parse_response(std::string_view buffer, std::size_t max_body_bytes, bool connection_closed) {
  HttpResponse response;
  std::size_t at = 0;
  auto finish = [&](State state) {
    response.state = state;
    return std::move(response);
  };
  auto unfinished = [&] {
    return finish(buffer.size() - at > max_header_bytes ? State::malformed : State::partial);
  };
  do {  // skips interim (1xx) responses; the bound covers all headers together
    response.headers.clear(), response.status = 0;
    // Rejects garbage without a line ending at once instead of waiting for the call's timeout.
    auto start = buffer.substr(at, version.size());
    if (start != version.substr(0, start.size())) return finish(State::malformed);
    auto first = next_line(buffer, at);
    if (!first) return unfinished();
    bool bounded = first->size() == 12 || (first->size() > 12 && (*first)[12] == ' ');
    auto code = bounded && (*first)[8] == ' ' ? parse_size(first->substr(9, 3), 10) : std::nullopt;
    if (!code || *code < 100) return finish(State::malformed);
    response.status = static_cast<int>(*code);
    response.closes_connection = first->substr(0, 8) == "HTTP/1.0";
    while (true) {
      auto line = next_line(buffer, at);
      if (at > max_header_bytes) return finish(State::malformed);
      if (!line) return unfinished();
      if (line->empty()) break;
      auto colon = line->find(':');
      if (colon == std::string_view::npos || colon == 0) return finish(State::malformed);
      response.headers.emplace_back(line->substr(0, colon), trim(line->substr(colon + 1)));
    }
  } while (response.status < 200);
  if (equals_ignoring_case(response.header("Connection"), "close")) response.closes_connection = true;
  std::optional<std::string_view> length;
  for (const auto& [key, value] : response.headers) {
    if (!equals_ignoring_case(key, "Content-Length")) continue;
    if (length && *length != value)
      return finish(State::malformed);  // conflicting lengths: request smuggling
    length = value;
  }
  if (auto coding = response.header("Transfer-Encoding"); !coding.empty()) {
    if (!equals_ignoring_case(coding, "chunked") || length) return finish(State::malformed);
    auto state = parse_chunked_body(buffer, at, max_body_bytes, response.chunked_body);
    if (state != State::complete) return finish(state);
  } else if (length) {
    auto size = parse_size(*length, 10);
    if (!size || *size > max_body_bytes) return finish(State::malformed);
    if (buffer.size() < at + *size) return finish(State::partial);
    response.body_slice = buffer.substr(at, *size);
    at += *size;
  } else if (response.status != 204 && response.status != 304) {
    response.closes_connection = true;
    if (buffer.size() - at > max_body_bytes) return finish(State::malformed);
    if (!connection_closed) return finish(State::partial);
    response.body_slice = buffer.substr(at);
    at = buffer.size();
  }
  response.size = at;
  return finish(State::complete);
}

}  // namespace rockcrank
