// rockcrank_model: simulates the fleet's modules on a virtual clock under faults drawn from seeds. Exit code
// 0: all checks hold; 1: a check failed, reported with its seed and shrunk fault list; 2: bad arguments.
// Every run is reported.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <string>
#include <thread>

#include "model/cold_run.h"
#include "model/run.h"

namespace {

using namespace rockcrank::model;

struct BadArguments : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::uint64_t parse_whole_number(const std::string& text) {
  if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos)
    throw BadArguments("not a whole number: '" + text + "'");
  return std::stoull(text);
}

double percentile(const std::vector<double>& sorted, double share) {
  return sorted[std::min(sorted.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

void print_samples(Samples& samples) {
  std::printf("| figure | samples | p50 | p99 | most |\n| --- | --- | --- | --- | --- |\n");
  for (auto& [name, list] : samples) {
    std::sort(list.begin(), list.end());
    std::printf("| %s | %zu | %.4g | %.4g | %.4g |\n", name.c_str(), list.size(), percentile(list, 0.5),
                percentile(list, 0.99), list.back());
  }
}

int run(int count, char** arguments) {
  cxxopts::Options options("rockcrank_model",
                           "Simulates the fleet's modules on a virtual clock under faults drawn from seeds");
  options.add_options()("seeds", "range A..B of seeds, or one seed", cxxopts::value<std::string>())(
      "relays",
      "number of members, 3 to 300 (parts cold and crowded: 2 to 900); default: drawn from the seed",
      cxxopts::value<std::string>())("part",
                                     "membership, registers, custody, warm, latest, cold, crowded or all",
                                     cxxopts::value<std::string>()->default_value("all"))(
      "trace", "file for the trace of a single seed", cxxopts::value<std::string>())(
      "figures", "prints tables of the measured figures")(
      "threads", "number of threads; default: one per core", cxxopts::value<std::string>())(
      "plant", "name of a fault to inject, for a check to find", cxxopts::value<std::string>())(
      "on", "goes on after a failed seed and reports the first one of each check")("help",
                                                                                   "prints this text");
  std::uint64_t first = 0, last = 0;
  RunOptions run_options;
  std::vector<const Part*> chosen_parts;
  Samples samples;
  int threads = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
  bool keep_going = false;
  std::vector<ColdPart> cold_parts;
  std::string trace_file;
  try {
    auto parsed = options.parse(count, arguments);
    if (parsed.count("help")) {
      std::printf("%s", options.help().c_str());
      return 0;
    }
    if (!parsed.unmatched().empty()) throw BadArguments("unknown argument: '" + parsed.unmatched()[0] + "'");
    if (!parsed.count("seeds")) throw BadArguments("--seeds A..B is required");
    auto range = parsed["seeds"].as<std::string>();
    auto dots = range.find("..");
    first = parse_whole_number(range.substr(0, dots));
    last = dots == std::string::npos ? first : parse_whole_number(range.substr(dots + 2));
    if (last < first) throw BadArguments("--seeds A..B: B is below A");
    if (parsed.count("relays")) {
      auto relays = parse_whole_number(parsed["relays"].as<std::string>());
      auto part = parsed["part"].as<std::string>();
      bool cold = part == "cold" || part == "crowded";
      if (cold && (relays < 2 || relays > 900)) throw BadArguments("--relays: 2 to 900");
      if (!cold && (relays < 3 || relays > 300)) throw BadArguments("--relays: 3 to 300");
      run_options.relays = static_cast<int>(relays);
    }
    if (parsed.count("threads"))
      threads = static_cast<int>(parse_whole_number(parsed["threads"].as<std::string>()));
    if (threads < 1 || threads > 256) throw BadArguments("--threads: 1 to 256");
    auto name = parsed["part"].as<std::string>();
    for (const auto& part : parts())
      if (name == "all" || name == part.name) chosen_parts.push_back(&part);
    if (name == "all" || name == "cold") cold_parts.push_back(ColdPart::cold);
    if (name == "all" || name == "crowded") cold_parts.push_back(ColdPart::crowded);
    if (chosen_parts.empty() && cold_parts.empty())
      throw BadArguments("--part: unknown part: '" + name + "'");
    if (parsed.count("plant")) {
      run_options.injected_fault = parsed["plant"].as<std::string>();
      std::erase_if(chosen_parts, [&](const Part* part) {
        return std::none_of(part->injected_faults.begin(), part->injected_faults.end(),
                            [&](const auto& fault) { return fault.first == run_options.injected_fault; });
      });
      cold_parts.clear();
      if (chosen_parts.empty())
        throw BadArguments("--plant: unknown fault: '" + run_options.injected_fault + "'");
    }
    if (parsed.count("figures")) run_options.samples = &samples;
    keep_going = parsed.count("on") > 0;
    if (parsed.count("trace")) {
      trace_file = parsed["trace"].as<std::string>();
      if (first != last || chosen_parts.size() + cold_parts.size() != 1)
        throw BadArguments("--trace needs a single seed and a single part");
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank_model: %s\n%s", error.what(), options.help().c_str());
    return 2;
  }
  if (!trace_file.empty() && !cold_parts.empty()) {
    std::ofstream file(trace_file, std::ios::binary);
    file << trace_cold_return(cold_parts[0], first, run_options.relays);
    return file.flush() ? 0 : 2;
  }
  if (!trace_file.empty()) {
    auto result = run_seed(*chosen_parts[0], first, run_options, true);
    std::ofstream file(trace_file, std::ios::binary);
    file << result.trace;
    if (!file.flush()) {
      std::fprintf(stderr, "rockcrank_model: cannot write %s: give --trace a file that can be written\n",
                   trace_file.c_str());
      return 2;
    }
    std::printf("%s seed %llu: %s, digest %016llx\n", chosen_parts[0]->name.c_str(),
                static_cast<unsigned long long>(first),
                result.holds ? "holds" : (result.check + ": " + result.details).c_str(),
                static_cast<unsigned long long>(result.digest));
    return result.holds ? 0 : 1;
  }
  bool holds = true;
  for (const auto* part : chosen_parts) {
    std::uint64_t runs = 0, events = 0, digest = 0;
    std::map<std::string, std::pair<int, RunResult>> failures;
    run_seeds(*part, first, last, run_options, threads, [&](const RunResult& result) {
      ++runs, events += result.events, digest = hash_values(digest, result.digest);
      if (result.holds) return true;
      auto& [failed_runs, first_failure] = failures[result.check];
      if (failed_runs++ == 0) first_failure = result;
      return keep_going;
    });
    for (const auto& [check, failure] : failures) {
      holds = false;
      auto shrunk = shrink(*part, failure.second, run_options);
      std::printf("broken: %s seed %llu, %s: %s\n", part->name.c_str(),
                  static_cast<unsigned long long>(failure.second.seed), check.c_str(),
                  shrunk.details.c_str());
      if (keep_going)
        std::printf("  found in %d of %llu runs\n", failure.first, static_cast<unsigned long long>(runs));
      std::printf("%s", failure_report(shrunk).c_str());
    }
    std::printf("%s: %llu runs, %llu events, digest %016llx, %s\n", part->name.c_str(),
                static_cast<unsigned long long>(runs), static_cast<unsigned long long>(events),
                static_cast<unsigned long long>(digest), failures.empty() ? "all hold" : "BROKEN");
    std::fflush(stdout);
  }
  for (ColdPart part : cold_parts)
    holds &= run_cold_returns(part, first, last, run_options.relays, threads, keep_going);
  if (run_options.samples) print_samples(samples);
  return holds ? 0 : 1;
}

}  // namespace

int main(int count, char** arguments) { return run(count, arguments); }
