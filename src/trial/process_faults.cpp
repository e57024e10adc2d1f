// Draws the failing system calls and the clock offset for one start of a process.
#include "trial/process_faults.h"

#include <array>
#include <functional>
#include <random>

namespace rockcrank::trial {
namespace {

struct FailingCall {
  const char* function;
  const char* error;
  int min_interval;  // one in this many calls fails, at most
  int max_interval;
};

// Transient errors that Linux documents for each call.
constexpr FailingCall failing_calls[] = {{"accept4", "ECONNABORTED", 4, 40},
                                         {"accept4", "ENFILE", 8, 60},
                                         {"socket", "ENFILE", 40, 200},
                                         {"socket", "ENOBUFS", 40, 200},
                                         {"connect", "EINTR", 3, 30},
                                         {"connect", "EADDRNOTAVAIL", 60, 200},
                                         {"connect", "ENETUNREACH", 60, 200},
                                         {"poll", "EINTR", 5, 50},
                                         {"send", "EINTR", 3, 30},
                                         {"send", "SHORT", 5, 50},
                                         {"recv", "EINTR", 3, 30},
                                         {"recv", "SHORT", 5, 50},
                                         {"recv", "ETIMEDOUT", 300, 900},
                                         {"recv", "EHOSTUNREACH", 300, 900}};
constexpr std::array<const char*, 2> disk_errors = {"ENOSPC", "EIO"};
constexpr std::array<long, 6> clock_steps_ms = {0, 0, 4000, -4000, 3600000, -3600000};

class RandomSource {
 public:
  RandomSource(std::uint64_t seed, const std::string& relay, int incarnation)
      : engine_(seed * 1000003 + std::hash<std::string>{}(relay + "/" + std::to_string(incarnation))) {}
  int between(int low, int high) { return std::uniform_int_distribution<int>(low, high)(engine_); }
  bool happens(int percent) { return between(1, 100) <= percent; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace

std::map<std::string, std::string> draw_process_faults(const std::string& library, std::uint64_t seed,
                                                       const std::string& relay, int incarnation) {
  if (library.empty()) return {};
  RandomSource random(seed, relay, incarnation);
  std::string rules;
  auto add = [&](const char* function, const char* error, const std::string& when) {
    rules += std::string(function) + ":" + error + ":" + when + "\n";
  };
  for (const auto& call : failing_calls)
    if (random.happens(30))
      add(call.function, call.error, std::to_string(random.between(call.min_interval, call.max_interval)));
  if (random.happens(25)) {
    int from = random.between(0, 16000), to = from + random.between(300, 4000);
    add("write", disk_errors[random.between(0, disk_errors.size() - 1)],
        std::to_string(from) + "-" + std::to_string(to));
  }
  long ahead_ms = clock_steps_ms[random.between(0, clock_steps_ms.size() - 1)];
  return {{"LD_PRELOAD", library},
          {"ROCKCRANK_FAIL", rules},
          {"ROCKCRANK_WALL_AHEAD_MS", std::to_string(ahead_ms)}};
}

}  // namespace rockcrank::trial
