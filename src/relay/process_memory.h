// The memory of this process as the system counts it.
#pragma once

#include <sys/resource.h>

#include <cstddef>

namespace rockcrank {

// The most resident memory since the start, in bytes; 0 if the system does not tell.
inline std::size_t peak_resident_bytes() {
  constexpr std::size_t bytes_per_unit = 1024;
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) != 0) return 0;
  return static_cast<std::size_t>(usage.ru_maxrss) * bytes_per_unit;
}

}  // namespace rockcrank
