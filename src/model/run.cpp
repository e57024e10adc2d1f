// Runs seeds. Results don't depend on the scheduling of the threads.
#include "model/run.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

namespace rockcrank::model {

const std::vector<Part>& parts() {
  static const std::vector<Part> all = {
#ifdef MODEL_MEMBERSHIP
      membership_part(),
#endif
#ifdef MODEL_REGISTERS
      registers_part(),
#endif
#ifdef MODEL_CUSTODY
      custody_part(),
#endif
#ifdef MODEL_WARM
      warm_part(),
#endif
#ifdef MODEL_LATEST
      latest_part(),
#endif
  };
  return all;
}

int draw_members(RandomSource& random, int relays, int most) {
  if (relays > 0) return relays;
  auto drawn = random.uniform();
  int members = drawn < 0.30   ? 3
                : drawn < 0.55 ? 4 + random.uniform_below(2)
                : drawn < 0.80 ? 5 + random.uniform_below(6)
                : drawn < 0.95 ? 10 + random.uniform_below(20)
                : drawn < 0.99 ? 30 + random.uniform_below(70)
                               : 100 + random.uniform_below(201);
  return std::min(members, most);
}

RunResult run_seed(const Part& part, std::uint64_t seed, const RunOptions& options, bool record_trace,
                   const std::vector<Fault>* faults) {
  RandomSource random(hash_values(seed, 0x5a));
  auto config = part.draw_config(random, options.relays);
  RunResult result;
  result.seed = seed, result.part = part.name, result.members = config.members;
  result.faults = faults ? *faults : draw_faults(config, part.fault_profile, seed);
  auto workload = part.make_workload(options);
  World world(config, seed, result.faults, *workload, record_trace);
  try {
    world.run();
  } catch (const InvariantViolation& violation) {
    result.holds = false, result.check = violation.check, result.details = violation.what();
  }
  result.digest = world.digest(), result.events = world.events(), result.trace = world.trace();
  return result;
}

RunResult shrink(const Part& part, const RunResult& failed, const RunOptions& options) {
  constexpr int max_attempts = 120;
  int attempts = 0;
  RunOptions without_samples = options;
  without_samples.samples = nullptr;
  RunResult best = failed;
  auto still_fails = [&](const std::vector<Fault>& faults) {
    if (++attempts > max_attempts) return false;
    auto result = run_seed(part, failed.seed, without_samples, false, &faults);
    if (result.holds || result.check != failed.check) return false;
    best = result;
    return true;
  };
  for (bool shorter = true; shorter && attempts <= max_attempts;) {
    shorter = false;
    for (std::size_t i = best.faults.size(); i-- > 0;) {
      auto fewer = best.faults;
      fewer.erase(fewer.begin() + static_cast<long>(i));
      shorter |= still_fails(fewer);
    }
  }
  return run_seed(part, failed.seed, without_samples, true, &best.faults);
}

std::string failure_report(const RunResult& result) {
  constexpr std::size_t max_lines = 60;
  std::vector<std::string> lines;
  std::istringstream trace(result.trace);
  for (std::string line; std::getline(trace, line);)
    if (line.find(" channel ") == std::string::npos) lines.push_back(line);
  std::string text = "  part " + result.part + ", " + std::to_string(result.members) + " members, " +
                     std::to_string(result.faults.size()) + " faults\n";
  for (const auto& fault : result.faults) text += "  fault " + fault.describe() + "\n";
  for (std::size_t i = lines.size() > max_lines ? lines.size() - max_lines : 0; i < lines.size(); ++i)
    text += "  " + lines[i] + "\n";
  return text;
}

void run_seeds(const Part& part, std::uint64_t first, std::uint64_t last, const RunOptions& options,
               int threads, const std::function<bool(const RunResult&)>& on_result) {
  std::atomic<std::uint64_t> next = first;
  std::atomic<bool> stop = false;
  std::mutex mutex;
  std::map<std::uint64_t, std::pair<RunResult, Samples>> finished_runs;
  std::uint64_t next_reported = first;
  auto work = [&] {
    for (;;) {
      auto seed = next++;
      if (seed > last || stop) return;
      Samples samples;
      auto seed_options = options;
      seed_options.samples = options.samples ? &samples : nullptr;
      auto result = run_seed(part, seed, seed_options, false);
      std::lock_guard lock(mutex);
      finished_runs.emplace(seed, std::pair(std::move(result), std::move(samples)));
      for (auto it = finished_runs.find(next_reported); it != finished_runs.end() && !stop;
           it = finished_runs.find(next_reported)) {
        if (options.samples)
          for (auto& [name, list] : it->second.second) {
            auto& all = (*options.samples)[name];
            all.insert(all.end(), list.begin(), list.end());
          }
        if (!on_result(it->second.first)) stop = true;
        finished_runs.erase(it), ++next_reported;
      }
    }
  };
  std::vector<std::thread> workers;
  for (int i = 0; i < threads; ++i) workers.emplace_back(work);
  for (auto& worker : workers) worker.join();
}

}  // namespace rockcrank::model
