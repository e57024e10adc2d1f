#include "bench/call_cost.h"

#include <cstdio>
#include <utility>
#include <vector>

#include "bench/load.h"
#include "bench/measure.h"

namespace rockcrank::bench {
namespace {

using trial::Harness;
using trial::Millis;
using trial::Setup;

constexpr int relay_counts[] = {1, 3, 8};
constexpr Millis settling_time = 500;  // after the start, and for calls that are still out at the end

struct AnswerMix {
  const char* name;
  const char* manner;
  const char* nth;  // each Nth call is answered so, the others with 200
};
constexpr AnswerMix answer_mixes[] = {
    {"all 200", "200", "1"}, {"one in ten 503", "503", "10"}, {"one in ten 410", "410", "10"}};

struct CallCost {
  double connections = 0;  // opened for 1,000 accepted documents
  double cpu_ms = 0;       // for 1,000 calls
};

CallCost run_calls(const std::string& program, int relays, const AnswerMix& mix, Millis duration,
                   double pace) {
  Setup setup;
  setup.program = program, setup.relays = relays, setup.settings = trial::default_settings();
  setup.fleet = setup.share = false;
  Harness harness(std::move(setup));
  for (const char* name : {"e0", "e1"})
    harness.set_endpoint(name, {{"for", "1"}, {"rate", "20000"}, {"manner", mix.manner}, {"nth", mix.nth}});
  start_all(harness, false);
  wait_for(harness, settling_time);
  LoadSettings load_settings;
  load_settings.relays = client_addresses(harness), load_settings.id_prefix = "c", load_settings.rate = pace;
  const Millis cpu_before = total_cpu_time(harness);
  Load load(load_settings);
  wait_for(harness, duration);
  const auto result = load.stop(0);
  wait_for(harness, settling_time);
  const auto calls = static_cast<double>(harness.count_entries("call", {}));
  const auto connections = static_cast<double>(harness.count_entries("conn", {}));
  return {connections * 1000 / static_cast<double>(result.accepted),
          (total_cpu_time(harness) - cpu_before) * 1000 / calls};
}

std::string format_field(const std::vector<CallCost>& runs, double CallCost::*field) {
  std::vector<double> values;
  for (const auto& run : runs) values.push_back(run.*field);
  return format_spread(values, 1);
}

void print_row(const AnswerMix& mix, int relays, const char* program, const std::vector<CallCost>& runs) {
  std::printf("| %s | %d | %s | %s | %s |\n", mix.name, relays, program,
              format_field(runs, &CallCost::connections).c_str(),
              format_field(runs, &CallCost::cpu_ms).c_str());
}

}  // namespace

void measure_call_cost(const std::string& program, const std::string& baseline, int rounds, Millis duration,
                       double pace) {
  std::printf(
      "\n| answers | relays | program | connections for 1,000 documents | CPU ms for 1,000 calls |\n"
      "| --- | --- | --- | --- | --- |\n");
  for (const auto& mix : answer_mixes)
    for (int relays : relay_counts) {
      std::vector<CallCost> measured, compared;
      for (int round = 0; round < rounds; ++round) {
        if (!baseline.empty()) compared.push_back(run_calls(baseline, relays, mix, duration, pace));
        measured.push_back(run_calls(program, relays, mix, duration, pace));
      }
      if (!baseline.empty()) print_row(mix, relays, "compared", compared);
      print_row(mix, relays, "measured", measured);
    }
}

}  // namespace rockcrank::bench
