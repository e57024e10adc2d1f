// Runs many simulations of cold returns.
#include "model/cold_run.h"

#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "model/cold_fleet.h"
#include "model/random.h"

namespace rockcrank::model {
namespace {

struct Simulation {
  ColdScenario scenario;
  ColdReport report;
};

int draw_relays(std::uint64_t seed) {
  RandomSource random(hash_values(seed, 0xc01d));
  double share = random.uniform();
  if (share < 0.3) return 2 + random.uniform_below(10);
  if (share < 0.7) return 12 + random.uniform_below(49);
  if (share < 0.95) return 60 + random.uniform_below(241);
  return 300 + random.uniform_below(601);
}

// relays: 0 to draw their number from the seed.
ColdScenario scenario_of(ColdPart part, std::uint64_t seed, int relays) {
  if (relays == 0) relays = draw_relays(seed);
  return part == ColdPart::cold ? draw_cold_scenario(seed, relays) : draw_crowded_scenario(seed, relays);
}

const char* name_of(ColdPart part) { return part == ColdPart::cold ? "cold" : "crowded"; }

void print_window(const char* what, ColdPart part, std::uint64_t seed, const Simulation& simulation) {
  const OverloadWindow& window = simulation.report.worst;
  std::printf(
      "%s: %s seed %llu: %.0f calls, %.0f of them by relays informed of the outage, %.1f allowed (budget "
      "%.1f), "
      "%.0f ms after the return; unused %.2f\n  %s\n",
      what, name_of(part), static_cast<unsigned long long>(seed), window.calls,
      window.calls_of_informed_relays, window.allowed, window.budget, window.since_return,
      simulation.report.unused_share(), simulation.scenario.describe().c_str());
}

}  // namespace

std::string trace_cold_return(ColdPart part, std::uint64_t seed, int relays) {
  std::string trace;
  simulate_cold_return(scenario_of(part, seed, relays), seed, {false, &trace});
  return trace;
}

bool run_cold_returns(ColdPart part, std::uint64_t first, std::uint64_t last, int relays, int threads,
                      bool keep_going) {
  std::vector<Simulation> simulations(last - first + 1);
  std::atomic<std::uint64_t> next = first;
  auto work = [&] {
    for (std::uint64_t seed = next++; seed <= last; seed = next++) {
      Simulation& simulation = simulations[seed - first];
      simulation.scenario = scenario_of(part, seed, relays);
      simulation.report = simulate_cold_return(simulation.scenario, seed);
    }
  };
  std::vector<std::thread> workers;
  for (int i = 0; i < threads; ++i) workers.emplace_back(work);
  for (auto& worker : workers) worker.join();

  std::uint64_t violations = 0, over_allowance = 0;
  double calls = 0, possible_calls = 0, wanted = 0, delivered = 0;
  std::uint64_t nearest = first;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const Simulation& simulation = simulations[seed - first];
    const OverloadWindow& window = simulation.report.worst;
    calls += simulation.report.calls;
    possible_calls += simulation.report.possible_calls;
    wanted += simulation.report.wanted;
    delivered += simulation.report.delivered;
    over_allowance += window.excess() > 0;
    auto used = [](const OverloadWindow& one) {
      return one.allowed > 0 ? one.calls_of_informed_relays / one.allowed : 0;
    };
    if (used(window) > used(simulations[nearest - first].report.worst)) nearest = seed;
    if (!window.violates_rule()) continue;
    if (++violations == 1 || keep_going) print_window("broken", part, seed, simulation);
  }
  print_window("nearest", part, nearest, simulations[nearest - first]);
  std::printf(
      "%s: %zu simulations, %llu broken, %llu with more calls than allowed from all relays; while cold: "
      "%.0f calls, "
      "possible %.0f, wanted %.0f, delivered %.0f; %s\n",
      name_of(part), simulations.size(), static_cast<unsigned long long>(violations),
      static_cast<unsigned long long>(over_allowance), calls, possible_calls, wanted, delivered,
      violations == 0 ? "all hold" : "BROKEN");
  return violations == 0;
}

}  // namespace rockcrank::model
