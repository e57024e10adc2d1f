// rockcrank_model: the fleet's modules on a virtual clock, under faults drawn from seeds. Exit code 0: all
// held; 1: something broke, with its seed and the shortest story of it; 2: bad arguments. It must never hide
// a run.
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

std::uint64_t whole_number(const std::string& text) {
  if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos)
    throw BadArguments("not a whole number: '" + text + "'");
  return std::stoull(text);
}

double at_share(const std::vector<double>& sorted, double share) {
  return sorted[std::min(sorted.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

void print_samples(Samples& samples) {
  std::printf("| figure | samples | p50 | p99 | most |\n| --- | --- | --- | --- | --- |\n");
  for (auto& [name, list] : samples) {
    std::sort(list.begin(), list.end());
    std::printf("| %s | %zu | %.4g | %.4g | %.4g |\n", name.c_str(), list.size(), at_share(list, 0.5),
                at_share(list, 0.99), list.back());
  }
}

int run(int count, char** words) {
  cxxopts::Options options("rockcrank_model",
                           "The fleet's modules on a virtual clock, under faults drawn from seeds");
  options.add_options()("seeds", "A..B, or one", cxxopts::value<std::string>())(
      "relays", "members, 3 to 300 (part cold: 2 to 900); else drawn", cxxopts::value<std::string>())(
      "part", "membership, registers, custody, warm, latest, cold or all",
      cxxopts::value<std::string>()->default_value("all"))("trace", "one seed's run, written to this file",
                                                           cxxopts::value<std::string>())(
      "figures", "tables of what was measured")("threads", "else as many as cores",
                                                cxxopts::value<std::string>())(
      "plant", "a fault for a check to find", cxxopts::value<std::string>())(
      "on", "goes on after a broken seed; tells the first of each check")("help", "this");
  std::uint64_t first = 0, last = 0;
  Order order;
  std::vector<const Part*> chosen;
  Samples samples;
  int threads = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
  bool go_on = false, cold_returns = false;
  std::string trace_file;
  try {
    auto given = options.parse(count, words);
    if (given.count("help")) {
      std::printf("%s", options.help().c_str());
      return 0;
    }
    if (!given.unmatched().empty()) throw BadArguments("not known: '" + given.unmatched()[0] + "'");
    if (!given.count("seeds")) throw BadArguments("--seeds A..B is needed");
    auto range = given["seeds"].as<std::string>();
    auto dots = range.find("..");
    first = whole_number(range.substr(0, dots));
    last = dots == std::string::npos ? first : whole_number(range.substr(dots + 2));
    if (last < first) throw BadArguments("--seeds A..B: B is below A");
    if (given.count("relays")) {
      auto relays = whole_number(given["relays"].as<std::string>());
      bool cold = given["part"].as<std::string>() == "cold";
      if (cold && (relays < 2 || relays > 900)) throw BadArguments("--relays: 2 to 900");
      if (!cold && (relays < 3 || relays > 300)) throw BadArguments("--relays: 3 to 300");
      order.relays = static_cast<int>(relays);
    }
    if (given.count("threads")) threads = static_cast<int>(whole_number(given["threads"].as<std::string>()));
    if (threads < 1 || threads > 256) throw BadArguments("--threads: 1 to 256");
    auto name = given["part"].as<std::string>();
    for (const auto& part : parts())
      if (name == "all" || name == part.name) chosen.push_back(&part);
    cold_returns = name == "all" || name == "cold";
    if (chosen.empty() && !cold_returns) throw BadArguments("--part: not known: '" + name + "'");
    if (given.count("plant")) {
      order.plant = given["plant"].as<std::string>();
      std::erase_if(chosen, [&](const Part* part) {
        return std::none_of(part->plants.begin(), part->plants.end(),
                            [&](const auto& plant) { return plant.first == order.plant; });
      });
      cold_returns = false;
      if (chosen.empty()) throw BadArguments("--plant: not known: '" + order.plant + "'");
    }
    if (given.count("figures")) order.samples = &samples;
    go_on = given.count("on") > 0;
    if (given.count("trace")) {
      trace_file = given["trace"].as<std::string>();
      if (first != last || chosen.size() + cold_returns != 1)
        throw BadArguments("--trace: one seed and one part");
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank_model: %s\n%s", error.what(), options.help().c_str());
    return 2;
  }
  if (!trace_file.empty() && cold_returns) {
    std::ofstream file(trace_file, std::ios::binary);
    file << trace_cold_return(first, order.relays);
    return file.flush() ? 0 : 2;
  }
  if (!trace_file.empty()) {
    auto result = run_seed(*chosen[0], first, order, true);
    std::ofstream file(trace_file, std::ios::binary);
    file << result.trace;
    if (!file.flush()) {
      std::fprintf(stderr, "rockcrank_model: cannot write %s: give --trace a file that can be written\n",
                   trace_file.c_str());
      return 2;
    }
    std::printf("%s seed %llu: %s, digest %016llx\n", chosen[0]->name.c_str(),
                static_cast<unsigned long long>(first),
                result.holds ? "holds" : (result.check + ": " + result.seen).c_str(),
                static_cast<unsigned long long>(result.digest));
    return result.holds ? 0 : 1;
  }
  bool holds = true;
  for (const auto* part : chosen) {
    std::uint64_t runs = 0, events = 0, digest = 0;
    std::map<std::string, std::pair<int, Result>> broken;
    run_seeds(*part, first, last, order, threads, [&](const Result& result) {
      ++runs, events += result.events, digest = mixed(digest, result.digest);
      if (result.holds) return true;
      auto& [times, first_seen] = broken[result.check];
      if (times++ == 0) first_seen = result;
      return go_on;
    });
    for (const auto& [check, found] : broken) {
      holds = false;
      auto brief = shortest(*part, found.second, order);
      std::printf("broken: %s seed %llu, %s: %s\n", part->name.c_str(),
                  static_cast<unsigned long long>(found.second.seed), check.c_str(), brief.seen.c_str());
      if (go_on)
        std::printf("  found in %d of %llu runs\n", found.first, static_cast<unsigned long long>(runs));
      std::printf("%s", story(brief).c_str());
    }
    std::printf("%s: %llu runs, %llu events, digest %016llx, %s\n", part->name.c_str(),
                static_cast<unsigned long long>(runs), static_cast<unsigned long long>(events),
                static_cast<unsigned long long>(digest), broken.empty() ? "all hold" : "BROKEN");
    std::fflush(stdout);
  }
  if (cold_returns) holds &= tell_cold_returns(first, last, order.relays, threads, go_on);
  if (order.samples) print_samples(samples);
  return holds ? 0 : 1;
}

}  // namespace

int main(int count, char** words) { return run(count, words); }
