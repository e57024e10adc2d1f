// Measures the fleet's features with real processes on loopback, in interleaved runs, and prints tables:
// accepted documents, what calls cost, how fast a retry_after wait spreads, what a kill costs, and a warmed
// replacement against a cold one. It checks nothing and replaces no test.

#include <sys/types.h>

#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

#include "bench/call_cost.h"
#include "bench/load.h"
#include "bench/measure.h"
#include "trial/harness.h"

namespace {

using namespace rockcrank;
using bench::client_addresses;
using bench::format_spread;
using bench::Load;
using bench::LoadResult;
using bench::LoadSettings;
using bench::start_all;
using bench::total_cpu_time;
using bench::wait_for;
using trial::Harness;
using trial::Millis;
using trial::Setup;

constexpr int exit_success = 0, exit_failed = 1, exit_bad_arguments = 2;

struct Arguments {
  std::string part, program, baseline;
  int rounds = 3;
  double seconds = 1.5;
};

double quantile(std::vector<Millis> all, double share) {
  if (all.empty()) return -1;
  auto at = std::min(all.size() - 1, static_cast<std::size_t>(share * static_cast<double>(all.size())));
  std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(at), all.end());
  return all[at];
}

Setup base_setup(const Arguments& arguments, int relays) {
  Setup setup;
  setup.program = arguments.program, setup.relays = relays, setup.settings = trial::default_settings();
  setup.settings["specifics"]["slots"] = 128;
  return setup;
}
// ---- accepted documents

struct AcceptedRun {
  double rate = 0, cost = 0, p50 = 0, p99 = 0, busy = 0;
};

// Runs first at a fixed rate, to measure the time to +OK and the CPU time for a whole document, then at full
// load.
AcceptedRun run_accepted(const Arguments& arguments, Setup setup, double pace) {
  Harness harness(std::move(setup));
  for (int i = 0; i < 4; ++i)
    harness.set_endpoint("e" + std::to_string(i),
                         {{"for", "1"}, {"rate", "20000"}, {"hall", i % 2 ? "h1" : "h0"}});
  start_all(harness, harness.setup().fleet);
  wait_for(harness, 300);
  AcceptedRun run;
  LoadSettings load_settings;
  load_settings.relays = client_addresses(harness), load_settings.id_prefix = "p", load_settings.rate = pace;
  auto before = total_cpu_time(harness);
  Load paced(load_settings);
  wait_for(harness, arguments.seconds * 1000);
  auto first = paced.stop(0);
  wait_for(harness, 200);
  run.cost = (total_cpu_time(harness) - before) * 1000 /
             static_cast<double>(std::max<std::uint64_t>(first.accepted, 1));
  run.p50 = quantile(first.answer_times, 0.5), run.p99 = quantile(first.answer_times, 0.99);
  load_settings.id_prefix = "s",
  load_settings.window = 256;  // relays answer once per tick, so a small window would measure the tick
  Load full(load_settings);
  wait_for(harness, arguments.seconds * 1000);
  auto second = full.stop(0);
  run.rate = static_cast<double>(second.accepted) / second.duration * 1000;
  run.busy = static_cast<double>(second.busy + first.busy);
  return run;
}

struct Mode {
  std::string name;
  bool fleet = true, documents = false, wait = false, baseline = false;
};

void measure_accepted(const Arguments& arguments, double pace) {
  std::vector<Mode> modes{{"off", false},
                          {"share only", true},
                          {"copies, +OK at once", true, true},
                          {"copies, +OK waits for one", true, true, true}};
  if (!arguments.baseline.empty())
    modes.insert(modes.begin(), {"without fleet features", false, false, false, true});
  std::map<std::string, std::vector<AcceptedRun>> runs;
  for (int round = 0; round < arguments.rounds; ++round)
    for (const auto& mode : modes) {
      auto setup = base_setup(arguments, 3);
      setup.fleet = mode.fleet, setup.documents = mode.documents;
      setup.fleet_keys["documents.wait"] = mode.wait ? "true" : "false";
      setup.fleet_keys["documents.lease_ms"] = "2000";
      setup.fleet_keys["link.queue_kb"] = "16384";
      if (mode.baseline) setup.program = arguments.baseline;
      runs[mode.name].push_back(run_accepted(arguments, std::move(setup), pace));
      const auto& last = runs[mode.name].back();
      std::fprintf(stderr, "%s: %.0f a second, %.0f us, p50 %.2f p99 %.2f, busy %.0f\n", mode.name.c_str(),
                   last.rate, last.cost, last.p50, last.p99, last.busy);
    }
  std::printf(
      "\n| part | documents a second | share of off in the same round | +OK p50 ms | +OK p99 ms | CPU time a "
      "document, us | -BUSY |\n| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& mode : modes) {
    auto values_of = [&](double AcceptedRun::*field) {
      std::vector<double> out;
      for (const auto& run : runs[mode.name]) out.push_back(run.*field);
      return out;
    };
    std::vector<double> shares;
    for (std::size_t i = 0; i < runs[mode.name].size(); ++i)
      shares.push_back(runs[mode.name][i].rate / runs["off"][i].rate);
    std::printf("| %s | %s | %s | %s | %s | %s | %s |\n", mode.name.c_str(),
                format_spread(values_of(&AcceptedRun::rate)).c_str(), format_spread(shares, 2).c_str(),
                format_spread(values_of(&AcceptedRun::p50), 2).c_str(),
                format_spread(values_of(&AcceptedRun::p99), 2).c_str(),
                format_spread(values_of(&AcceptedRun::cost)).c_str(),
                format_spread(values_of(&AcceptedRun::busy)).c_str());
  }
}

// ---- retry_after waits

// Measures from sending a 429 with Retry-After until the last other relay logs that wait.
std::vector<Millis> run_waits(const Arguments& arguments, Millis link_delay, int runs) {
  auto setup = base_setup(arguments, 5);
  Harness harness(std::move(setup));
  for (int i = 1; i <= runs; ++i)
    harness.set_endpoint("w" + std::to_string(i),
                         {{"for", std::to_string(i)}, {"manner", "429"}, {"wait", "2"}});
  start_all(harness, true);
  for (const auto& from : harness.relay_names())
    for (const auto& to : harness.relay_names())
      if (link_delay > 0 && from != to) harness.set_link(from, to, trial::LinkState::slow, link_delay);
  wait_for(harness, 1000);
  std::vector<Millis> propagation_times;
  for (int i = 1; i <= runs; ++i) {
    auto names = harness.relay_names();
    auto refused_relay = names[static_cast<std::size_t>(i) % names.size()], id = "d" + std::to_string(i);
    std::map<std::string, std::size_t> log_sizes;
    for (const auto& name : names) log_sizes[name] = harness.process_log(name).size();
    auto from = harness.log().size();
    harness.submit(refused_relay, id, {{"for", std::to_string(i)}, {"left", "600"}});
    if (!harness.run_until(3000, [&] { return harness.count_entries("answer", {{"id", id}}, from) > 0; }))
      throw std::runtime_error("no call of " + id);
    Millis answered_at = 0;
    for (auto at = from; at < harness.log().size(); ++at)
      if (harness.log()[at].matches("answer", {{"id", id}})) answered_at = harness.log()[at].at;
    auto all_informed = [&] {
      return std::all_of(names.begin(), names.end(), [&](const auto& name) {
        return name == refused_relay ||
               harness.process_log(name).find("Retry-After wait reported by another relay",
                                              log_sizes[name]) != std::string::npos;
      });
    };
    auto end = harness.now() + 3000;
    while (!all_informed() && harness.now() < end) wait_for(harness, 0.5);
    if (harness.now() >= end) std::fprintf(stderr, "wait %d is not known to all relays after 3 s\n", i);
    propagation_times.push_back(harness.now() - answered_at);
    wait_for(harness, 120);
  }
  return propagation_times;
}

void measure_waits(const Arguments& arguments) {
  std::printf(
      "\n| link delay | runs | p50 ms | p99 ms | min / median / max ms | target: p99 under |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (Millis link_delay : {0.0, 10.0}) {
    auto propagation_times = run_waits(arguments, link_delay, 40);
    std::printf("| %.0f ms | %zu | %.1f | %.1f | %s | %.0f ms |\n", link_delay, propagation_times.size(),
                quantile(propagation_times, 0.5), quantile(propagation_times, 0.99),
                format_spread(propagation_times, 1).c_str(), 2 * link_delay + 50);
  }
}

// ---- a kill

struct KillRun {
  Millis duration = -1;
  std::size_t unfinished_at_kill = 0, without_answer = 0;
};

KillRun run_kill(const Arguments& arguments, const std::string& lease, unsigned long seed) {
  auto setup = base_setup(arguments, 3);
  setup.documents = true, setup.seed = seed;
  setup.settings["specifics"]["slots"] = 32;
  setup.fleet_keys["documents.lease_ms"] = lease;
  Harness harness(std::move(setup));
  harness.set_endpoint("e1", {{"for", "1"}, {"rate", "2000"}, {"after", "50"}});
  start_all(harness, true);
  wait_for(harness, 1000);
  for (int i = 0; i < 300; ++i)
    harness.submit("n1", "k" + std::to_string(i), {{"key", std::to_string(i)}, {"left", "18000"}});
  harness.run_until(2000, [&] { return harness.all_submissions_answered(); });
  KillRun run;
  run.unfinished_at_kill = harness.documents_without_end().size();
  harness.kill("n1");
  auto killed = harness.now();
  bool all_ended = harness.run_until(19000, [&] { return harness.documents_without_end().empty(); });
  run.duration = harness.now() - killed, run.without_answer = harness.documents_without_end().size();
  if (!all_ended)
    std::fprintf(stderr, "%zu of %zu documents have no final answer\n", run.without_answer,
                 run.unfinished_at_kill);
  return run;
}

void measure_kill(const Arguments& arguments) {
  std::printf(
      "\n| lease | runs | documents unfinished at the kill | time to the last final answer, ms | without a "
      "final answer |\n"
      "| --- | --- | --- | --- | --- |\n");
  std::map<std::string, std::vector<KillRun>> runs;
  for (int round = 0; round < arguments.rounds; ++round)
    for (const auto* lease : {"1000", "2000"})
      runs[lease].push_back(run_kill(arguments, lease, static_cast<unsigned long>(round) + 1));
  for (const auto& [lease, lease_runs] : runs) {
    std::vector<double> durations, unfinished_at_kill;
    std::size_t without_answer = 0;
    for (const auto& run : lease_runs) {
      durations.push_back(run.duration),
          unfinished_at_kill.push_back(static_cast<double>(run.unfinished_at_kill));
      without_answer += run.without_answer;
    }
    std::printf("| %s ms | %zu | %s | %s | %zu |\n", lease.c_str(), lease_runs.size(),
                format_spread(unfinished_at_kill).c_str(), format_spread(durations).c_str(), without_answer);
  }
}

// ---- a replacement

constexpr int popular_destinations = 30;  // one endpoint for each destination, chosen by a Zipf distribution
// A call this soon after its connection opened has waited for the handshake.
constexpr Millis immediate_call = 5;
constexpr Millis search_window = 250;      // for finding the steady state
constexpr Millis warm_up = 4000;           // traffic before the kill; its second half is the steady state
constexpr Millis observation_time = 8000;  // time observed after the replacement started

struct ReplacedRun {
  double handshakes_met = 0, steady_after = 0, wasted = 0, refused = 0, opened = 0;
};

ReplacedRun run_replaced(const Arguments& arguments, bool warmed, unsigned seed) {
  auto setup = base_setup(arguments, 5);
  setup.share = setup.warm = warmed, setup.seed = seed;
  setup.fleet_keys["warm.connections"] = "64", setup.fleet_keys["warm.neighbours"] = "4";
  Harness harness(std::move(setup));
  LoadSettings load_settings;
  for (int i = 1; i <= popular_destinations; ++i) {
    harness.set_endpoint(
        "d" + std::to_string(i),
        {{"for", std::to_string(i)}, {"rate", "500"}, {"after", "15"}, {"hall", i % 2 ? "h0" : "h1"}});
    load_settings.weights.push_back(1.0 / i);
  }
  // One more destination, in a retry_after wait when the replacement starts.
  harness.set_endpoint("shut",
                       {{"for", std::to_string(popular_destinations + 1)}, {"rate", "500"}, {"after", "15"}});
  load_settings.weights.push_back(0.2);
  start_all(harness, warmed);
  wait_for(harness, 300);
  load_settings.relays = client_addresses(harness), load_settings.id_prefix = "r", load_settings.rate = 120,
  load_settings.connections = 1, load_settings.time_to_expiry = 4000;
  load_settings.seed = seed;
  Load load(load_settings);
  wait_for(harness, warm_up);
  harness.set_endpoint("shut",
                       {{"for", std::to_string(popular_destinations + 1)}, {"manner", "429"}, {"wait", "3"}});
  wait_for(harness, 500);
  auto killed = harness.now();
  harness.kill("n5");
  harness.empty_folder("n5");
  harness.start_without_waiting("n5", {});
  auto from = harness.log().size();
  wait_for(harness, observation_time);
  load.stop(0);
  // When a connection opened and when its first call came. A call waited for a handshake if it is the first
  // on its connection and came right after it opened.
  struct Connection {
    Millis up = 0, first = -1;
  };
  std::map<std::string, Connection> connections;
  std::map<int, std::pair<int, int>> windows;  // calls, and those that waited for a handshake
  int steady_calls = 0, steady_met = 0;
  Millis first_call_at = -1;
  ReplacedRun run;
  for (std::size_t at = 0; at < harness.log().size(); ++at) {
    const auto& entry = harness.log()[at];
    if (entry.field("r") != "n5") continue;
    if (at >= from && entry.kind == "answer" && entry.field("status") != "200") ++run.refused;
    // Calls to the destination in a retry_after wait count only as refused.
    if (entry.field("e") == "shut") continue;
    if (entry.kind == "conn") connections[entry.field("conn")] = {entry.at, -1};
    if (entry.kind != "call") continue;
    auto& connection = connections[entry.field("conn")];
    bool met_handshake = connection.first < 0 && entry.at - connection.up < immediate_call;
    if (connection.first < 0) connection.first = entry.at;
    if (at < from) {
      if (entry.at > killed - warm_up / 2) ++steady_calls, steady_met += met_handshake;
      continue;
    }
    if (first_call_at < 0) first_call_at = entry.at;
    auto& window = windows[static_cast<int>((entry.at - first_call_at) / search_window)];
    ++window.first, window.second += met_handshake, run.handshakes_met += met_handshake;
  }
  for (const auto& [number, connection] : connections)
    if (connection.up > killed) ++run.opened, run.wasted += connection.first < 0;
  auto steady = 1 - static_cast<double>(steady_met) / std::max(steady_calls, 1);
  // The end of the last window that is below 90% of the steady state.
  for (const auto& [number, window] : windows)
    if (1 - static_cast<double>(window.second) / window.first < 0.9 * steady)
      run.steady_after = search_window * (number + 1);
  return run;
}

void measure_replaced(const Arguments& arguments) {
  std::map<bool, std::vector<ReplacedRun>> runs;
  for (int round = 0; round < arguments.rounds; ++round)
    for (bool warmed : {false, true}) {
      runs[warmed].push_back(run_replaced(arguments, warmed, static_cast<unsigned>(round) + 1));
      const auto& last = runs[warmed].back();
      std::fprintf(stderr, "%s: handshakes %.0f, steady after %.0f ms, wasted %.0f of %.0f, refused %.0f\n",
                   warmed ? "warmed" : "cold", last.handshakes_met, last.steady_after, last.wasted,
                   last.opened, last.refused);
    }
  std::printf(
      "\n| replacement | documents that waited for a handshake in its first %.0f s | steady after, ms | "
      "connections | "
      "never used | calls refused |\n| --- | --- | --- | --- | --- | --- |\n",
      observation_time / 1000);
  for (auto& [warmed, kind_runs] : runs) {
    auto format_field = [&, &kind_runs = kind_runs](double ReplacedRun::*field) {
      std::vector<double> out;
      for (const auto& run : kind_runs) out.push_back(run.*field);
      return format_spread(out);
    };
    std::printf("| %s | %s | %s | %s | %s | %s |\n", warmed ? "warmed" : "cold",
                format_field(&ReplacedRun::handshakes_met).c_str(),
                format_field(&ReplacedRun::steady_after).c_str(), format_field(&ReplacedRun::opened).c_str(),
                format_field(&ReplacedRun::wasted).c_str(), format_field(&ReplacedRun::refused).c_str());
  }
}

Arguments read_arguments(int argc, char** argv, double& pace) {
  cxxopts::Options options("rockcrank_fleet_bench", "Measures the fleet's features with real processes.");
  options.add_options()("part", "taken, calls, waits, kill or replaced; default: all but calls",
                        cxxopts::value<std::string>())("rounds", "interleaved runs, 1 to 100",
                                                       cxxopts::value<int>()->default_value("3"))(
      "seconds", "duration of each load in `taken` and `calls`, 0.2 to 60",
      cxxopts::value<double>()->default_value("1.2"))(
      "pace", "documents a second to each relay in `taken` and `calls`",
      cxxopts::value<double>()->default_value("500"))(
      "program", "path of rockcrank; default: beside this program", cxxopts::value<std::string>())(
      "old", "another rockcrank to compare with, run without a fleet file", cxxopts::value<std::string>())(
      "h,help", "print this help");
  auto parsed = options.parse(argc, argv);
  if (parsed.count("help")) std::fputs(options.help().c_str(), stdout), std::exit(exit_success);
  if (!parsed.unmatched().empty())
    throw std::runtime_error("unexpected argument '" + parsed.unmatched().front() + "'");
  Arguments arguments;
  if (parsed.count("part")) arguments.part = parsed["part"].as<std::string>();
  if (parsed.count("program")) arguments.program = parsed["program"].as<std::string>();
  if (parsed.count("old")) arguments.baseline = parsed["old"].as<std::string>();
  arguments.rounds = parsed["rounds"].as<int>(), arguments.seconds = parsed["seconds"].as<double>();
  pace = parsed["pace"].as<double>();
  auto reject = [](const std::string& what) { throw std::runtime_error(what); };
  if (arguments.rounds < 1 || arguments.rounds > 100) reject("--rounds must be from 1 to 100");
  if (!(arguments.seconds >= 0.2 && arguments.seconds <= 60)) reject("--seconds must be from 0.2 to 60");
  if (!(pace >= 1 && pace <= 20000)) reject("--pace must be from 1 to 20000");
  if (!arguments.part.empty() && arguments.part != "taken" && arguments.part != "waits" &&
      arguments.part != "kill" && arguments.part != "replaced" && arguments.part != "calls")
    reject("--part must be taken, calls, waits, kill or replaced, not '" + arguments.part + "'");
  if (arguments.program.empty())
    for (const char* candidate : {"rockcrank", "../rockcrank"}) {
      auto beside = std::filesystem::read_symlink("/proc/self/exe").parent_path() / candidate;
      if (arguments.program.empty() && std::filesystem::is_regular_file(beside))
        arguments.program = beside.string();
    }
  for (const auto& program :
       {arguments.program, arguments.baseline.empty() ? arguments.program : arguments.baseline})
    if (!std::filesystem::is_regular_file(program))
      reject("no program at '" + program + "'; give the path of rockcrank with --program PATH");
  return arguments;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  double pace = 0;
  try {
    arguments = read_arguments(argc, argv, pace);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank_fleet_bench: %s\n", error.what());
    return exit_bad_arguments;
  }
  try {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    auto wanted = [&](const char* part) { return arguments.part.empty() || arguments.part == part; };
    if (wanted("taken")) measure_accepted(arguments, pace);
    if (arguments.part == "calls")
      bench::measure_call_cost(arguments.program, arguments.baseline, arguments.rounds,
                               arguments.seconds * 1000, pace);
    if (wanted("waits")) measure_waits(arguments);
    if (wanted("kill")) measure_kill(arguments);
    if (wanted("replaced")) measure_replaced(arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank_fleet_bench: %s\n", error.what());
    return exit_failed;
  }
  return exit_success;
}
