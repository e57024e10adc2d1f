// rockcrank: the relay's command line. It must never hold anything that the configuration file tells.
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <string>

#include "relay/admin.h"
#include "relay/config.h"
#include "relay/relay.h"

#ifndef ROCKCRANK_VERSION
#define ROCKCRANK_VERSION "unknown"
#endif

namespace {

constexpr const char* usage =
    "usage: rockcrank serve | check | health | offline ID | online ID | version\n"
    "  serve    run one relay, as $BALANCER_CONFIG tells\n"
    "  check    read the configuration that serve would use, and say what is wrong with it\n"
    "  health   ask the relay at the second address whether it takes clients\n"
    "  offline  have it take the endpoint ID out; online: put it back\n"
    "           (exit code 0: done, 1: it said error, 3: nobody answers)\n"
    "  version  print the version\n";

// What a call at the second address answers, as a line and an exit code.
int call(const std::string& command, const std::string& operand) {
  bool named = command != "health";
  if (named == operand.empty()) {
    std::fprintf(stderr, "rockcrank: %s takes %s\n%s", command.c_str(), named ? "an endpoint's id" : "nothing",
                 usage);
    return 2;
  }
  std::string line = command == "health" ? "HEALTH" : command == "offline" ? "OFFLINE " : "ONLINE ";
  try {
    auto answer = rockcrank::ask_admin(rockcrank::admin_address(), line + operand);
    std::printf("%s\n", answer.c_str());
    return answer.rfind("done", 0) == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank: %s\n", error.what());
    return 3;
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::string command, operand;
  try {
    cxxopts::Options options("rockcrank", "a sender of webhooks and other calls");
    options.add_options()("h,help", "this text")("command", "what to do", cxxopts::value<std::string>());
    options.add_options()("operand", "an endpoint's id", cxxopts::value<std::string>());
    options.parse_positional({"command", "operand"});
    auto given = options.parse(argc, argv);
    if (given.count("help")) return std::fputs(usage, stdout), 0;
    if (given.count("command")) command = given["command"].as<std::string>();
    if (given.count("operand")) operand = given["operand"].as<std::string>();
    if (!given.unmatched().empty()) command = given.unmatched().front();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank: %s\n%s", error.what(), usage);
    return 2;
  }
  if (command == "version") return std::printf("rockcrank %s\n", ROCKCRANK_VERSION), 0;
  if (command == "health" || command == "offline" || command == "online") return call(command, operand);
  if (command != "serve" && command != "check") {
    std::fprintf(stderr, "rockcrank: no such command: '%s'\n%s", command.c_str(), usage);
    return 2;
  }
  try {
    auto config = rockcrank::read_config();
    if (command == "check") return std::printf("%s: good\n", config.name.c_str()), 0;
    rockcrank::Relay relay(std::move(config));
    relay.run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank: %s\n", error.what());
    return 1;
  }
  return 0;
}
