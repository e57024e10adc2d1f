// Owns the reading of HTTP/1.1 answers, for every party that speaks it. An answer is slices of the buffer
// given; only a body that came in chunks is put together. It must never open a connection nor judge what an
// answer means.
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
  int status = 0;  // known before the whole is there, once the first line is
  std::vector<std::pair<std::string_view, std::string_view>> headers;
  std::string_view body_slice;  // the body, unless it came in chunks
  std::string chunked_body;
  std::size_t size = 0;            // bytes of the buffer it took
  bool closes_connection = false;  // the connection carries nothing after it

  std::string_view body() const { return chunked_body.empty() ? body_slice : std::string_view(chunked_body); }
  std::string_view header(std::string_view name) const;
};

// Reads the answer at the front of the buffer. An answer without a length ends with its connection.
HttpResponse parse_response(std::string_view buffer, std::size_t body_most, bool connection_ended);

}  // namespace rockcrank
