// Many plays of cold returns; cold_run.h says what it owns.
#include "model/cold_run.h"

#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "model/chance.h"
#include "model/cold_fleet.h"

namespace rockcrank::model {
namespace {

struct Play {
  ColdScenario scenario;
  ColdReport report;
};

int draw_relays(std::uint64_t seed) {
  Chance chance(mixed(seed, 0xc01d));
  double share = chance.share();
  if (share < 0.3) return 2 + chance.below(10);
  if (share < 0.7) return 12 + chance.below(49);
  if (share < 0.95) return 60 + chance.below(241);
  return 300 + chance.below(601);
}

// relays: 0 where their number is drawn too.
ColdScenario scenario_of(std::uint64_t seed, int relays) {
  return draw_cold_scenario(seed, relays > 0 ? relays : draw_relays(seed));
}

void print_span(const char* what, std::uint64_t seed, const Play& play) {
  const ColdSpan& span = play.report.worst;
  std::printf(
      "%s: cold seed %llu: %.0f calls, %.0f of them by relays told of the outage, %.1f allowed (budget "
      "%.1f), "
      "%.0f ms after the return; unused %.2f\n  %s\n",
      what, static_cast<unsigned long long>(seed), span.calls, span.told, span.allowed, span.budget,
      span.since_return, play.report.unused_share(), play.scenario.told().c_str());
}

}  // namespace

std::string trace_cold_return(std::uint64_t seed, int relays) {
  std::string trace;
  play_cold(scenario_of(seed, relays), seed, {false, &trace});
  return trace;
}

bool tell_cold_returns(std::uint64_t first, std::uint64_t last, int relays, int threads, bool go_on) {
  std::vector<Play> plays(last - first + 1);
  std::atomic<std::uint64_t> next = first;
  auto work = [&] {
    for (std::uint64_t seed = next++; seed <= last; seed = next++) {
      Play& play = plays[seed - first];
      play.scenario = scenario_of(seed, relays);
      play.report = play_cold(play.scenario, seed);
    }
  };
  std::vector<std::thread> workers;
  for (int i = 0; i < threads; ++i) workers.emplace_back(work);
  for (auto& worker : workers) worker.join();

  std::uint64_t broken = 0, over = 0;
  double calls = 0, could_do = 0, wanted = 0, delivered = 0;
  std::uint64_t nearest = first;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const Play& play = plays[seed - first];
    const ColdSpan& span = play.report.worst;
    calls += play.report.calls;
    could_do += play.report.could_do;
    wanted += play.report.wanted;
    delivered += play.report.delivered;
    over += span.over() > 0;
    auto used = [](const ColdSpan& one) { return one.allowed > 0 ? one.told / one.allowed : 0; };
    if (used(span) > used(plays[nearest - first].report.worst)) nearest = seed;
    if (!span.breaks_rule()) continue;
    if (++broken == 1 || go_on) print_span("broken", seed, play);
  }
  print_span("nearest", nearest, plays[nearest - first]);
  std::printf(
      "cold: %zu plays, %llu broken, %llu with more calls than allowed by whomever; while cold: %.0f calls, "
      "could do %.0f, wanted %.0f, delivered %.0f; %s\n",
      plays.size(), static_cast<unsigned long long>(broken), static_cast<unsigned long long>(over), calls,
      could_do, wanted, delivered, broken == 0 ? "all hold" : "BROKEN");
  return broken == 0;
}

}  // namespace rockcrank::model
