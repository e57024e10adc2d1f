#include "bench/measure.h"

#include <sys/types.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <stdexcept>

namespace rockcrank::bench {

using trial::Harness;
using trial::Millis;

namespace {

// Returns the CPU time of a single-threaded process in ms.
Millis cpu_time(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/schedstat");
  double nanos = 0;
  file >> nanos;
  return nanos / 1e6;
}

}  // namespace

std::string format_spread(std::vector<double> all, int decimals) {
  if (all.empty()) return "none";
  std::sort(all.begin(), all.end());
  char text[100];
  std::snprintf(text, sizeof text, "%.*f / %.*f / %.*f", decimals, all.front(), decimals, all[all.size() / 2],
                decimals, all.back());
  return text;
}

void start_all(Harness& harness, bool linked) {
  for (const auto& name : harness.relay_names()) harness.start_without_waiting(name, {});
  for (const auto& name : harness.relay_names())
    if (!harness.run_until(8000, [&] { return harness.answers_ping(name); }))
      throw std::runtime_error(name + " does not answer");
  auto from = harness.now();
  if (linked && !harness.run_until(8000, [&] { return harness.all_linked_since(from); }))
    throw std::runtime_error("members do not reach each other");
}
void wait_for(Harness& harness, Millis time) {
  harness.run_until(time, [] { return false; });
}
std::vector<trial::Address> client_addresses(const Harness& harness) {
  std::vector<trial::Address> all;
  for (const auto& name : harness.relay_names()) all.push_back(harness.client_address(name));
  return all;
}

Millis total_cpu_time(const Harness& harness) {
  Millis sum = 0;
  for (const auto& name : harness.relay_names()) sum += cpu_time(harness.pid_of(name));
  return sum;
}

}  // namespace rockcrank::bench
