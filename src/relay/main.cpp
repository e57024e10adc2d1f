// rockcrank: the relay's command line. It must never hold anything that the configuration file tells.
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <string>

#include "relay/config.h"
#include "relay/relay.h"

#ifndef ROCKCRANK_VERSION
#define ROCKCRANK_VERSION "unknown"
#endif

namespace {

constexpr const char* usage =
    "usage: rockcrank serve | check | version\n"
    "  serve    run one relay, as $BALANCER_CONFIG tells\n"
    "  check    read the configuration that serve would use, and say what is wrong with it\n"
    "  version  print the version\n";

}  // namespace

int main(int argc, char** argv) {
  std::string command;
  try {
    cxxopts::Options options("rockcrank", "a sender of webhooks and other calls");
    options.add_options()("h,help", "this text")("command", "what to do", cxxopts::value<std::string>());
    options.parse_positional({"command"});
    auto given = options.parse(argc, argv);
    if (given.count("help")) return std::fputs(usage, stdout), 0;
    if (given.count("command")) command = given["command"].as<std::string>();
    if (!given.unmatched().empty()) command = given.unmatched().front();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank: %s\n%s", error.what(), usage);
    return 2;
  }
  if (command == "version") return std::printf("rockcrank %s\n", ROCKCRANK_VERSION), 0;
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
