// An HTTP/1.1 response parser without I/O. A parsed response refers to the caller's buffer; only a chunked
// body is copied.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rockcrank {

struct HttpResponse {
  enum class State { partial, complete, malformed };
  State state = State::partial;
  int status = 0;  // set as soon as the status line is parsed
  std::vector<std::pair<std::string_view, std::string_view>> headers;
  std::string_view body_slice;  // the body, unless it is chunked
  std::string chunked_body;
  std::size_t size = 0;            // bytes consumed from the buffer
  bool closes_connection = false;  // the connection cannot be reused

  std::string_view body() const { return chunked_body.empty() ? body_slice : std::string_view(chunked_body); }
  std::string_view header(std::string_view name) const;  // case-insensitive; empty if absent
};

// Parses the response at the start of the buffer. A response without a length ends with its connection.
HttpResponse parse_response(std::string_view buffer, std::size_t max_body_bytes, bool connection_closed);

}  // namespace rockcrank
