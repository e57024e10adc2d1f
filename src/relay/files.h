// File output shared by the stores.
#pragma once

#include <unistd.h>

#include <cerrno>
#include <string_view>

namespace rockcrank {

// Writes all bytes, retrying partial and interrupted writes. On false, some may be missing and errno is set.
inline bool write_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    auto count = ::write(fd, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

}  // namespace rockcrank
