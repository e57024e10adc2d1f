#include "relay/log.h"

#include <chrono>
#include <cstdarg>
#include <cstdio>

namespace rockcrank {

void log_line(const char* format, ...) {
  constexpr int max_lines_per_second = 50;
  static std::chrono::steady_clock::time_point second{};
  static int written = 0, dropped = 0;
  auto now = std::chrono::steady_clock::now();
  if (now - second >= std::chrono::seconds(1)) {
    if (dropped > 0) std::fprintf(stderr, "rockcrank: %d lines dropped\n", dropped);
    second = now, written = dropped = 0;
  }
  if (++written > max_lines_per_second) {
    ++dropped;
    return;
  }
  char line[3200];  // fits the longest line, which is the metrics line
  va_list values;
  va_start(values, format);
  std::vsnprintf(line, sizeof line, format, values);
  va_end(values);
  std::fprintf(stderr, "rockcrank: %s\n", line);
}

}  // namespace rockcrank
