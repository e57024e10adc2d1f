// Command line of rockcrank_trial, which runs real relay processes under random or scripted faults and audits
// the log. docs/fleet-trial.md describes its use.
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <stdexcept>

#include "trial/auditor.h"
#include "trial/cold_returns.h"
#include "trial/harness.h"
#include "trial/injected_violations.h"
#include "trial/random_trial.h"
#include "trial/scene.h"

namespace {

using namespace rockcrank::trial;

constexpr int exit_holds = 0, exit_broken = 1, exit_bad_arguments = 2;

struct Arguments {
  unsigned long seed = 1;
  int relays = 3;
  double seconds = 6;
  bool verbose = false;
  std::string part, scene, violation, program, faults, log, audited;
};

Arguments read_arguments(int argc, char** argv) {
  cxxopts::Options options("rockcrank_trial",
                           "Runs relay processes under injected faults and audits what was seen.");
  auto add = options.add_options();
  add("seed", "random seed of the load and of all faults", cxxopts::value<unsigned long>());
  add("relays", "number of relays, 1 to 64", cxxopts::value<int>());
  add("part", "fleet, documents, warm, latest or cold; default: all but cold", cxxopts::value<std::string>());
  add("seconds", "duration of the load, 2 to 600", cxxopts::value<double>());
  add("scene", "file with a scripted trial, instead of a seed", cxxopts::value<std::string>());
  add("plant", "violation to inject into the log, to test the auditor", cxxopts::value<std::string>());
  add("program", "path of rockcrank; default: beside this program", cxxopts::value<std::string>());
  add("faults",
      "library that makes system calls fail (librockcrank_halt.so), with faults drawn from the seed",
      cxxopts::value<std::string>());
  add("log", "file to write the log of all events to", cxxopts::value<std::string>());
  add("audit", "only audit the log in this file", cxxopts::value<std::string>());
  add("verbose", "print each log entry to stderr");
  add("h,help", "print this help");
  auto given = options.parse(argc, argv);
  if (given.count("help")) {
    std::fputs(options.help().c_str(), stdout);
    std::exit(exit_holds);
  }
  if (!given.unmatched().empty())
    throw std::runtime_error("unexpected argument '" + given.unmatched().front() + "'");
  Arguments all;
  auto text = [&](const char* name, std::string& to) {
    if (given.count(name)) to = given[name].as<std::string>();
  };
  text("part", all.part), text("scene", all.scene), text("plant", all.violation),
      text("program", all.program);
  text("faults", all.faults), text("log", all.log), text("audit", all.audited);
  if (given.count("seed")) all.seed = given["seed"].as<unsigned long>();
  if (given.count("relays")) all.relays = given["relays"].as<int>();
  if (given.count("seconds")) all.seconds = given["seconds"].as<double>();
  all.verbose = given.count("verbose") > 0;
  auto wrong = [](const std::string& what) { throw std::runtime_error(what); };
  if (!given.count("seed") && all.scene.empty() && all.audited.empty())
    wrong("one of --seed N, --scene FILE or --audit FILE is required");
  if (all.relays < 1 || all.relays > 64) wrong("--relays must be from 1 to 64");
  if (!(all.seconds >= 2 && all.seconds <= 600)) wrong("--seconds must be from 2 to 600");
  if (!all.part.empty() && all.part != "fleet" && all.part != "documents" && all.part != "warm" &&
      all.part != "latest" && all.part != "cold")
    wrong("--part must be fleet, documents, warm, latest or cold, not '" + all.part + "'");
  if (!all.violation.empty()) {
    auto names = violation_names();
    if (std::find(names.begin(), names.end(), all.violation) == names.end()) {
      std::string known;
      for (const auto& name : names) known += " " + name;
      wrong("unknown violation '" + all.violation + "' in --plant; known are" + known);
    }
  }
  if (all.program.empty())
    for (const char* place : {"rockcrank", "../rockcrank"}) {
      auto beside = std::filesystem::read_symlink("/proc/self/exe").parent_path() / place;
      if (all.program.empty() && std::filesystem::is_regular_file(beside)) all.program = beside.string();
    }
  if (all.audited.empty() && !std::filesystem::is_regular_file(all.program))
    wrong("no program at '" + all.program + "'; give the path of rockcrank with --program PATH");
  if (!all.faults.empty() && !std::filesystem::is_regular_file(all.faults))
    wrong("no library at '" + all.faults + "'; give the path of librockcrank_halt.so with --faults PATH");
  return all;
}

int print_verdict(const std::vector<Violation>& found, const std::string& description) {
  for (const auto& one : found) {
    std::printf("broken: %s: %s\n", one.check.c_str(), one.summary.c_str());
    for (const auto& line : one.evidence) std::printf("    %s\n", line.c_str());
  }
  std::printf("%s: %s\n", description.c_str(), found.empty() ? "holds" : "broken");
  return found.empty() ? exit_holds : exit_broken;
}

void mutate_log(const std::string& name, Log& log) {
  if (!inject_violation(name, log))
    throw std::runtime_error("the log has no entries into which '" + name + "' can be injected");
}

int run(const Arguments& all) {
  if (!all.audited.empty()) {
    std::ifstream file(all.audited);
    if (!file) throw std::runtime_error("cannot read the log " + all.audited);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!all.violation.empty()) {
      auto log = parse_log(text);
      mutate_log(all.violation, log);
      text = format_log(log);
    }
    return print_verdict(audit(text), all.audited);
  }
  Setup setup;
  setup.program = all.program, setup.relays = all.relays, setup.seed = all.seed, setup.verbose = all.verbose;
  if (!all.faults.empty()) setup.fault_library = std::filesystem::absolute(all.faults).string();
  setup.settings = default_settings();
  std::optional<Scene> scene;
  const bool cold = all.scene.empty() && all.part == "cold";
  if (cold) set_up_cold_returns(setup);
  else if (all.scene.empty()) set_up_random_trial(setup, all.part);
  else scene.emplace(all.scene), scene->set_up(setup);
  Harness harness(setup);
  auto failed = scene  ? scene->play(harness)
                : cold ? play_cold_returns(harness)
                       : play_random_trial(harness, all.part, all.seconds);
  if (!all.violation.empty() && failed.empty()) mutate_log(all.violation, harness.log());
  if (!all.log.empty()) std::ofstream(all.log) << format_log(harness.log());
  auto description = scene ? "scene " + all.scene
                           : "seed " + std::to_string(all.seed) + ", " + std::to_string(setup.relays) +
                                 " relays, " + (all.part.empty() ? "all parts" : "part " + all.part);
  description += ", " + std::to_string(harness.count_entries("hand", {})) + " documents, " +
                 std::to_string(harness.count_entries("call", {})) + " calls";
  auto found = audit(format_log(harness.log()));
  if (!failed.empty()) found.insert(found.begin(), {"scene", failed, {}});
  return print_verdict(found, description);
}

}  // namespace

int main(int argc, char** argv) {
  Arguments all;
  try {
    all = read_arguments(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank_trial: %s\n", error.what());
    return exit_bad_arguments;
  }
  try {
    return run(all);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank_trial: %s\n", error.what());
    return exit_bad_arguments;
  }
}
