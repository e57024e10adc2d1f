// Loaded into the relay under test (LD_PRELOAD), so that a test can act between two of its system calls.
// ROCKCRANK_HALT holds one point a line, as FUNCTION:WHEN:TEXT. At the first call of FUNCTION (send, write,
// shutdown, signal) whose bytes, or signal's number, hold TEXT, the process stops itself (SIGSTOP) before or
// after the call; the test sees that, acts, and lets it go on or kills it. ROCKCRANK_WALL_AHEAD_MS moves the
// wall clock, and no other.
#include <dlfcn.h>
#include <signal.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace {

struct Point {
  std::string function, when, text;
  bool met = false;
};

std::vector<Point> points_told() {
  std::vector<Point> points;
  const char* told = std::getenv("ROCKCRANK_HALT");
  std::string rest = told ? told : "";
  while (!rest.empty()) {
    auto line = rest.substr(0, rest.find('\n'));
    rest.erase(0, line.size() + 1);
    auto first = line.find(':');
    auto second = line.find(':', first + 1);
    if (second == std::string::npos) continue;
    points.push_back(
        {line.substr(0, first), line.substr(first + 1, second - first - 1), line.substr(second + 1)});
  }
  return points;
}

void halt_at(std::string_view function, std::string_view when, std::string_view bytes) {
  static std::vector<Point> points = points_told();
  for (auto& point : points) {
    if (point.met || point.function != function || point.when != when) continue;
    if (bytes.find(point.text) == std::string_view::npos) continue;
    point.met = true;
    ::kill(::getpid(), SIGSTOP);
  }
}

template <typename Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static auto* real = next<ssize_t(int, const void*, size_t, int)>("send");
  std::string_view text(static_cast<const char*>(bytes), size);
  halt_at("send", "before", text);
  auto sent = real(fd, bytes, size, flags);
  halt_at("send", "after", text);
  return sent;
}

ssize_t write(int fd, const void* bytes, size_t size) {
  static auto* real = next<ssize_t(int, const void*, size_t)>("write");
  std::string_view text(static_cast<const char*>(bytes), size);
  halt_at("write", "before", text);
  auto written = real(fd, bytes, size);
  halt_at("write", "after", text);
  return written;
}

int shutdown(int fd, int how) noexcept {
  static auto* real = next<int(int, int)>("shutdown");
  halt_at("shutdown", "before", {});
  int done = real(fd, how);
  halt_at("shutdown", "after", {});
  return done;
}

sighandler_t signal(int number, sighandler_t handler) noexcept {
  static auto* real = next<sighandler_t(int, sighandler_t)>("signal");
  auto text = std::to_string(number);
  halt_at("signal", "before", text);
  auto before = real(number, handler);
  halt_at("signal", "after", text);
  return before;
}

int clock_gettime(clockid_t clock, timespec* to) noexcept {
  static auto* real = next<int(clockid_t, timespec*)>("clock_gettime");
  static const char* told = std::getenv("ROCKCRANK_WALL_AHEAD_MS");
  static long ahead_ms = told ? std::atol(told) : 0;
  int done = real(clock, to);
  if (done != 0 || clock != CLOCK_REALTIME || ahead_ms == 0) return done;
  constexpr long ms_per_s = 1000, ns_per_ms = 1000000;
  auto all_ms = to->tv_sec * ms_per_s + to->tv_nsec / ns_per_ms + ahead_ms;
  to->tv_sec = all_ms / ms_per_s;
  to->tv_nsec = all_ms % ms_per_s * ns_per_ms;
  return done;
}

}  // extern "C"
