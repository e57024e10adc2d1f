// Loaded into the relay under test (LD_PRELOAD), so that a test can act between two of its system calls.
// ROCKCRANK_HALT holds one point a line, as FUNCTION:WHEN:TEXT. At the first call of FUNCTION (send, write,
// shutdown, signal) whose bytes, or signal's number, hold TEXT, the process stops itself (SIGSTOP) before or
// after the call; the test sees that, acts, and lets it go on or kills it. ROCKCRANK_WALL_AHEAD_MS moves the
// wall clock, and no other. ROCKCRANK_FAIL makes calls fail for a moment, one rule a line as
// FUNCTION:ERROR:N: each Nth call of FUNCTION ends with that error (SHORT: half of the bytes go), as Linux
// documents it: a connect that is interrupted goes on. N may be a span FROM-TO in milliseconds since the
// process started: then all calls in it fail. Only writes to regular files fail; before the first that does,
// half of the bytes of one get through.
#include <dlfcn.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace {

// The rules of a variable: one a line, three parts with a colon between them.
struct Rule {
  std::string function, second, third;
};

std::vector<Rule> rules_told(const char* variable) {
  std::vector<Rule> rules;
  const char* told = std::getenv(variable);
  std::string rest = told ? told : "";
  while (!rest.empty()) {
    auto line = rest.substr(0, rest.find('\n'));
    rest.erase(0, line.size() + 1);
    auto first = line.find(':');
    auto second = line.find(':', first + 1);
    if (second == std::string::npos) continue;
    rules.push_back(
        {line.substr(0, first), line.substr(first + 1, second - first - 1), line.substr(second + 1)});
  }
  return rules;
}

struct Point {
  std::string function, when, text;
  bool met = false;
};

std::vector<Point> points_told() {
  std::vector<Point> points;
  for (const auto& rule : rules_told("ROCKCRANK_HALT"))
    points.push_back({rule.function, rule.second, rule.third});
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

struct Failing {
  std::string function, error;
  long every = 0, calls = 0;
  long from_ms = 0, to_ms = 0;  // in place of every
};

long ms_since_start() {
  static const auto started = std::chrono::steady_clock::now();
  auto since = std::chrono::steady_clock::now() - started;
  return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

std::vector<Failing> failures_told() {
  std::vector<Failing> failures;
  for (const auto& rule : rules_told("ROCKCRANK_FAIL")) {
    Failing failing{rule.function, rule.second};
    if (auto dash = rule.third.find('-'); dash == std::string::npos)
      failing.every = std::atol(rule.third.c_str());
    else
      failing.from_ms = std::atol(rule.third.c_str()),
      failing.to_ms = std::atol(rule.third.c_str() + dash + 1);
    failures.push_back(failing);
  }
  ms_since_start();
  return failures;
}

// How this call of the function ends: an error's name, or empty where it goes through.
std::string failure_of(std::string_view function) {
  static std::vector<Failing> failures = failures_told();
  std::string error;
  for (auto& failing : failures) {
    if (failing.function != function) continue;
    ++failing.calls;
    bool now = failing.every > 0 ? failing.calls % failing.every == 0
                                 : ms_since_start() >= failing.from_ms && ms_since_start() < failing.to_ms;
    if (now) error = failing.error;
  }
  return error;
}

int fail_with(const std::string& error) {
  static const std::map<std::string, int> numbers = {{"EINTR", EINTR},
                                                     {"ECONNABORTED", ECONNABORTED},
                                                     {"ENFILE", ENFILE},
                                                     {"ENOBUFS", ENOBUFS},
                                                     {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                                     {"ENETUNREACH", ENETUNREACH},
                                                     {"ETIMEDOUT", ETIMEDOUT},
                                                     {"EHOSTUNREACH", EHOSTUNREACH},
                                                     {"ENOSPC", ENOSPC},
                                                     {"EIO", EIO}};
  errno = numbers.at(error);
  return -1;
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
  auto failure = failure_of("send");
  if (failure == "SHORT") size = (size + 1) / 2;
  else if (!failure.empty()) return fail_with(failure);
  auto sent = real(fd, bytes, size, flags);
  halt_at("send", "after", text);
  return sent;
}

ssize_t write(int fd, const void* bytes, size_t size) {
  static auto* real = next<ssize_t(int, const void*, size_t)>("write");
  std::string_view text(static_cast<const char*>(bytes), size);
  halt_at("write", "before", text);
  struct stat file {};
  bool regular = fstat(fd, &file) == 0 && S_ISREG(file.st_mode) && fd > STDERR_FILENO;
  static bool failed_before = false;
  if (regular) {
    auto failure = failure_of("write");
    bool failed_last = std::exchange(failed_before, !failure.empty());
    if (failed_before && failed_last) return fail_with(failure);
    if (failed_before) size = (size + 1) / 2;  // a record is cut in two
  }
  auto written = real(fd, bytes, size);
  halt_at("write", "after", text);
  return written;
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  static auto* real = next<ssize_t(int, void*, size_t, int)>("recv");
  auto failure = failure_of("recv");
  if (failure == "SHORT") size = (size + 1) / 2;
  else if (!failure.empty()) return fail_with(failure);
  return real(fd, bytes, size, flags);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static auto* real = next<int(pollfd*, nfds_t, int)>("poll");
  auto failure = failure_of("poll");
  return failure.empty() ? real(descriptors, count, timeout) : fail_with(failure);
}

int socket(int domain, int type, int protocol) noexcept {
  static auto* real = next<int(int, int, int)>("socket");
  auto failure = failure_of("socket");
  return failure.empty() ? real(domain, type, protocol) : fail_with(failure);
}

int connect(int fd, const sockaddr* to, socklen_t size) {
  static auto* real = next<int(int, const sockaddr*, socklen_t)>("connect");
  auto failure = failure_of("connect");
  if (failure.empty()) return real(fd, to, size);
  if (failure == "EINTR" && (real(fd, to, size) == 0 || errno != EINPROGRESS)) return -1;
  return fail_with(failure);
}

int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
  static auto* real = next<int(int, sockaddr*, socklen_t*, int)>("accept4");
  auto failure = failure_of("accept4");
  return failure.empty() ? real(fd, from, size, flags) : fail_with(failure);
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
