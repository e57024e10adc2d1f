// Runs seeds: one, a range over several threads, or a failing one with its fault list shrunk. Runs share no
// state: each has its own World.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "model/part.h"

namespace rockcrank::model {

struct RunResult {
  std::uint64_t seed = 0;
  std::string part;
  bool holds = true;
  std::string check, details;
  std::uint64_t digest = 0, events = 0;
  int members = 0;
  std::vector<Fault> faults;
  std::string trace;
};

// Runs one seed. `faults`, where given, replaces the faults drawn from the seed.
RunResult run_seed(const Part& part, std::uint64_t seed, const RunOptions& options, bool record_trace,
                   const std::vector<Fault>* faults = nullptr);

// Reruns the seed of a failed run and removes every fault without which the same check still fails.
RunResult shrink(const Part& part, const RunResult& failed, const RunOptions& options);

// Describes a failed run that recorded its trace: its faults and the last trace lines, without the messages.
std::string failure_report(const RunResult& result);

// Runs all seeds of the range on `threads` threads. Results are passed to `on_result` one at a time, in seed
// order; it returns false to stop.
void run_seeds(const Part& part, std::uint64_t first, std::uint64_t last, const RunOptions& options,
               int threads, const std::function<bool(const RunResult&)>& on_result);

}  // namespace rockcrank::model
