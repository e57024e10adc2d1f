// An LD_PRELOAD library that stops the relay under test at chosen system calls or makes system calls fail.
//
// ROCKCRANK_HALT has one stop point per line, FUNCTION:WHEN:TEXT. At the first call of FUNCTION (send, write,
// shutdown, signal) whose bytes, or signal number, contain TEXT, the process stops itself (SIGSTOP) before or
// after the call. The test detects that, acts, and continues or kills the process.
//
// ROCKCRANK_FAIL has one rule per line, FUNCTION:ERROR:N: each Nth call of FUNCTION fails with that error
// (SHORT: half of the bytes are processed), as Linux documents it: an interrupted connect continues. N may be
// a span FROM-TO in milliseconds since the process started, in which all calls fail. Only writes to regular
// files fail, and the first of consecutive failures writes half of its bytes.
//
// ROCKCRANK_WALL_AHEAD_MS shifts the wall clock and no other clock.
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

// One line of an environment variable: three parts separated by colons.
struct Rule {
  std::string function, second, third;
};

std::vector<Rule> parse_rules(const char* variable) {
  std::vector<Rule> rules;
  const char* value = std::getenv(variable);
  std::string rest = value ? value : "";
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

struct StopPoint {
  std::string function, when, text;
  bool reached = false;
};

std::vector<StopPoint> parse_stop_points() {
  std::vector<StopPoint> points;
  for (const auto& rule : parse_rules("ROCKCRANK_HALT"))
    points.push_back({rule.function, rule.second, rule.third});
  return points;
}

void stop_at(std::string_view function, std::string_view when, std::string_view bytes) {
  static std::vector<StopPoint> points = parse_stop_points();
  for (auto& point : points) {
    if (point.reached || point.function != function || point.when != when) continue;
    if (bytes.find(point.text) == std::string_view::npos) continue;
    point.reached = true;
    ::kill(::getpid(), SIGSTOP);
  }
}

struct FailureRule {
  std::string function, error;
  long every = 0, calls = 0;
  long from_ms = 0, to_ms = 0;  // used if every is 0
};

long ms_since_start() {
  static const auto started = std::chrono::steady_clock::now();
  auto since = std::chrono::steady_clock::now() - started;
  return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

std::vector<FailureRule> parse_failures() {
  std::vector<FailureRule> failures;
  for (const auto& line : parse_rules("ROCKCRANK_FAIL")) {
    FailureRule rule{line.function, line.second};
    if (auto dash = line.third.find('-'); dash == std::string::npos)
      rule.every = std::atol(line.third.c_str());
    else rule.from_ms = std::atol(line.third.c_str()), rule.to_ms = std::atol(line.third.c_str() + dash + 1);
    failures.push_back(rule);
  }
  ms_since_start();
  return failures;
}

// Counts a call of the function. Returns the name of the error that it has to fail with, or an empty string.
std::string injected_failure(std::string_view function) {
  static std::vector<FailureRule> failures = parse_failures();
  std::string error;
  for (auto& rule : failures) {
    if (rule.function != function) continue;
    ++rule.calls;
    bool now = rule.every > 0 ? rule.calls % rule.every == 0
                              : ms_since_start() >= rule.from_ms && ms_since_start() < rule.to_ms;
    if (now) error = rule.error;
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
Function* next_definition(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static auto* real = next_definition<ssize_t(int, const void*, size_t, int)>("send");
  std::string_view text(static_cast<const char*>(bytes), size);
  stop_at("send", "before", text);
  auto failure = injected_failure("send");
  if (failure == "SHORT") size = (size + 1) / 2;
  else if (!failure.empty()) return fail_with(failure);
  auto sent = real(fd, bytes, size, flags);
  stop_at("send", "after", text);
  return sent;
}

ssize_t write(int fd, const void* bytes, size_t size) {
  static auto* real = next_definition<ssize_t(int, const void*, size_t)>("write");
  std::string_view text(static_cast<const char*>(bytes), size);
  stop_at("write", "before", text);
  struct stat file {};
  bool regular = fstat(fd, &file) == 0 && S_ISREG(file.st_mode) && fd > STDERR_FILENO;
  static bool fails_now = false;
  if (regular) {
    auto failure = injected_failure("write");
    bool failed_last_time = std::exchange(fails_now, !failure.empty());
    if (fails_now && failed_last_time) return fail_with(failure);
    if (fails_now) size = (size + 1) / 2;  // leaves a truncated record
  }
  auto written = real(fd, bytes, size);
  stop_at("write", "after", text);
  return written;
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  static auto* real = next_definition<ssize_t(int, void*, size_t, int)>("recv");
  auto failure = injected_failure("recv");
  if (failure == "SHORT") size = (size + 1) / 2;
  else if (!failure.empty()) return fail_with(failure);
  return real(fd, bytes, size, flags);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static auto* real = next_definition<int(pollfd*, nfds_t, int)>("poll");
  auto failure = injected_failure("poll");
  return failure.empty() ? real(descriptors, count, timeout) : fail_with(failure);
}

int socket(int domain, int type, int protocol) noexcept {
  static auto* real = next_definition<int(int, int, int)>("socket");
  auto failure = injected_failure("socket");
  return failure.empty() ? real(domain, type, protocol) : fail_with(failure);
}

int connect(int fd, const sockaddr* to, socklen_t size) {
  static auto* real = next_definition<int(int, const sockaddr*, socklen_t)>("connect");
  auto failure = injected_failure("connect");
  if (failure.empty()) return real(fd, to, size);
  if (failure == "EINTR" && (real(fd, to, size) == 0 || errno != EINPROGRESS)) return -1;
  return fail_with(failure);
}

int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
  static auto* real = next_definition<int(int, sockaddr*, socklen_t*, int)>("accept4");
  auto failure = injected_failure("accept4");
  return failure.empty() ? real(fd, from, size, flags) : fail_with(failure);
}

int shutdown(int fd, int how) noexcept {
  static auto* real = next_definition<int(int, int)>("shutdown");
  stop_at("shutdown", "before", {});
  int result = real(fd, how);
  stop_at("shutdown", "after", {});
  return result;
}

sighandler_t signal(int number, sighandler_t handler) noexcept {
  static auto* real = next_definition<sighandler_t(int, sighandler_t)>("signal");
  auto text = std::to_string(number);
  stop_at("signal", "before", text);
  auto previous = real(number, handler);
  stop_at("signal", "after", text);
  return previous;
}

int clock_gettime(clockid_t clock, timespec* to) noexcept {
  static auto* real = next_definition<int(clockid_t, timespec*)>("clock_gettime");
  static const char* value = std::getenv("ROCKCRANK_WALL_AHEAD_MS");
  static long ahead_ms = value ? std::atol(value) : 0;
  int result = real(clock, to);
  if (result != 0 || clock != CLOCK_REALTIME || ahead_ms == 0) return result;
  constexpr long ms_per_s = 1000, ns_per_ms = 1000000;
  auto all_ms = to->tv_sec * ms_per_s + to->tv_nsec / ns_per_ms + ahead_ms;
  to->tv_sec = all_ms / ms_per_s;
  to->tv_nsec = all_ms % ms_per_s * ns_per_ms;
  return result;
}

}  // extern "C"
