// Command line of rockcrank_trial, which runs real relay processes under random or scripted faults and audits
// the log. docs/fleet-trial.md describes its use.
#include <algorithm>
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
#include "trial/wait_soak.h"

namespace {

using namespace rockcrank::trial;

constexpr int exit_passed = 0, exit_violated = 1, exit_bad_arguments = 2;
constexpr const char* part_names[] = {"fleet",   "documents", "warm",           "latest",
                                      "cold",    "crowded",   "waits",          "copies",
                                      "answers", "transport", "copied_statuses"};

std::string listed_parts() {
  std::string all;
  for (const char* name : part_names) all += (all.empty() ? "" : ", ") + std::string(name);
  return all;
}

AnswerFaults answer_faults_of(const std::string& part) {
  if (part == "copies") return AnswerFaults::copies;
  if (part == "answers") return AnswerFaults::statuses;
  if (part == "transport") return AnswerFaults::transport;
  if (part == "copied_statuses") return AnswerFaults::copied_statuses;
  return AnswerFaults::none;
}

struct Arguments {
  unsigned long seed = 1;
  int relays = 3;
  double seconds = 6;
  bool verbose = false;
  std::string part, scene, violation, program, faults, log, audited_log;
};

Arguments read_arguments(int argc, char** argv) {
  cxxopts::Options options("rockcrank_trial",
                           "Runs relay processes under injected faults and audits what was seen.");
  auto add = options.add_options();
  add("seed", "random seed of the load and of all faults", cxxopts::value<unsigned long>());
  add("relays", "number of relays, 1 to 64", cxxopts::value<int>());
  add("part", listed_parts() + "; default: the first four", cxxopts::value<std::string>());
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
  auto parsed = options.parse(argc, argv);
  if (parsed.count("help")) {
    std::fputs(options.help().c_str(), stdout);
    std::exit(exit_passed);
  }
  if (!parsed.unmatched().empty())
    throw std::runtime_error("unexpected argument '" + parsed.unmatched().front() + "'");
  Arguments arguments;
  auto text = [&](const char* name, std::string& to) {
    if (parsed.count(name)) to = parsed[name].as<std::string>();
  };
  text("part", arguments.part), text("scene", arguments.scene), text("plant", arguments.violation),
      text("program", arguments.program);
  text("faults", arguments.faults), text("log", arguments.log), text("audit", arguments.audited_log);
  if (parsed.count("seed")) arguments.seed = parsed["seed"].as<unsigned long>();
  if (parsed.count("relays")) arguments.relays = parsed["relays"].as<int>();
  if (parsed.count("seconds")) arguments.seconds = parsed["seconds"].as<double>();
  arguments.verbose = parsed.count("verbose") > 0;
  auto reject = [](const std::string& what) { throw std::runtime_error(what); };
  if (!parsed.count("seed") && arguments.scene.empty() && arguments.audited_log.empty())
    reject("one of --seed N, --scene FILE or --audit FILE is required");
  if (arguments.relays < 1 || arguments.relays > 64) reject("--relays must be from 1 to 64");
  if (!(arguments.seconds >= 2 && arguments.seconds <= 600)) reject("--seconds must be from 2 to 600");
  if (!arguments.part.empty() &&
      std::find(std::begin(part_names), std::end(part_names), arguments.part) == std::end(part_names))
    reject("--part must be one of " + listed_parts() + ", not '" + arguments.part + "'");
  if (!arguments.violation.empty()) {
    auto names = violation_names();
    if (std::find(names.begin(), names.end(), arguments.violation) == names.end()) {
      std::string known;
      for (const auto& name : names) known += " " + name;
      reject("unknown violation '" + arguments.violation + "' in --plant; known are" + known);
    }
  }
  if (arguments.program.empty())
    for (const char* candidate : {"rockcrank", "../rockcrank"}) {
      auto beside = std::filesystem::read_symlink("/proc/self/exe").parent_path() / candidate;
      if (arguments.program.empty() && std::filesystem::is_regular_file(beside))
        arguments.program = beside.string();
    }
  if (arguments.audited_log.empty() && !std::filesystem::is_regular_file(arguments.program))
    reject("no program at '" + arguments.program + "'; give the path of rockcrank with --program PATH");
  if (!arguments.faults.empty() && !std::filesystem::is_regular_file(arguments.faults))
    reject("no library at '" + arguments.faults +
           "'; give the path of librockcrank_halt.so with --faults PATH");
  return arguments;
}

int print_verdict(const std::vector<Violation>& found, const std::string& description) {
  for (const auto& violation : found) {
    std::printf("broken: %s: %s\n", violation.check.c_str(), violation.summary.c_str());
    for (const auto& line : violation.evidence) std::printf("    %s\n", line.c_str());
  }
  std::printf("%s: %s\n", description.c_str(), found.empty() ? "holds" : "broken");
  return found.empty() ? exit_passed : exit_violated;
}

void mutate_log(const std::string& name, Log& log) {
  if (!inject_violation(name, log))
    throw std::runtime_error("the log has no entries into which '" + name + "' can be injected");
}

int run(const Arguments& arguments) {
  if (!arguments.audited_log.empty()) {
    std::ifstream file(arguments.audited_log);
    if (!file) throw std::runtime_error("cannot read the log " + arguments.audited_log);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!arguments.violation.empty()) {
      auto log = parse_log(text);
      mutate_log(arguments.violation, log);
      text = format_log(log);
    }
    return print_verdict(audit(text), arguments.audited_log);
  }
  Setup setup;
  setup.program = arguments.program, setup.relays = arguments.relays, setup.seed = arguments.seed,
  setup.verbose = arguments.verbose;
  if (!arguments.faults.empty()) setup.fault_library = std::filesystem::absolute(arguments.faults).string();
  setup.settings = default_settings();
  std::optional<Scene> scene;
  const bool crowded = arguments.part == "crowded";
  const bool cold = arguments.scene.empty() && (crowded || arguments.part == "cold");
  const AnswerFaults answer_faults = answer_faults_of(arguments.part);
  const bool waits =
      arguments.scene.empty() && (answer_faults != AnswerFaults::none || arguments.part == "waits");
  const ColdReturnLoad& cold_return_load = crowded ? crowded_load : cold_load;
  if (cold) set_up_cold_returns(setup, cold_return_load);
  else if (waits) set_up_wait_soak(setup);
  else if (arguments.scene.empty()) set_up_random_trial(setup, arguments.part);
  else scene.emplace(arguments.scene), scene->set_up(setup);
  Harness harness(setup);
  auto failed = scene   ? scene->play(harness)
                : cold  ? play_cold_returns(harness, cold_return_load)
                : waits ? play_wait_soak(harness, arguments.seconds, answer_faults)
                        : play_random_trial(harness, arguments.part, arguments.seconds);
  if (!arguments.violation.empty() && failed.empty()) mutate_log(arguments.violation, harness.log());
  if (!arguments.log.empty()) std::ofstream(arguments.log) << format_log(harness.log());
  auto description = scene ? "scene " + arguments.scene
                           : "seed " + std::to_string(arguments.seed) + ", " + std::to_string(setup.relays) +
                                 " relays, " +
                                 (arguments.part.empty() ? "all parts" : "part " + arguments.part);
  description += ", " + std::to_string(harness.count_entries("hand", {})) + " documents, " +
                 std::to_string(harness.count_entries("call", {})) + " calls";
  auto found = audit(format_log(harness.log()));
  if (!failed.empty()) found.insert(found.begin(), {"scene", failed, {}});
  return print_verdict(found, description);
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  try {
    arguments = read_arguments(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank_trial: %s\n", error.what());
    return exit_bad_arguments;
  }
  try {
    return run(arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank_trial: %s\n", error.what());
    return exit_bad_arguments;
  }
}
