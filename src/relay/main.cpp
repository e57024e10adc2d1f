// rockcrank: the relay's command line. It must never hold anything that the configuration file tells.
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <memory>
#include <string>

#include "peer/fleet_config.h"
#include "relay/admin.h"
#include "relay/config.h"
#include "relay/handover.h"
#include "relay/log.h"
#include "relay/relay.h"

#ifndef ROCKCRANK_VERSION
#define ROCKCRANK_VERSION "unknown"
#endif

namespace {

constexpr const char* usage =
    "usage: rockcrank serve | check | health | metrics | offline ID | online ID | version\n"
    "  serve    run one relay, as $BALANCER_CONFIG tells; --notes: with short notes to other relays, where "
    "its\n"
    "           settings allow them\n"
    "  check    read the configuration that serve would use, and say what is wrong with it\n"
    "  health   ask the relay at the second address whether it takes clients\n"
    "  metrics  ask it for its counts, those of broken rules among them\n"
    "  offline  have it take the endpoint ID out; online: put it back\n"
    "           (exit code 0: done, 1: it said error, 3: nobody answers)\n"
    "  version  print the version\n";

// What a call at the second address answers, as a line and an exit code.
int call(const std::string& command, const std::string& operand) {
  bool named = command != "health" && command != "metrics";
  if (named == operand.empty()) {
    std::fprintf(stderr, "rockcrank: %s takes %s\n%s", command.c_str(),
                 named ? "an endpoint's id" : "nothing", usage);
    return 2;
  }
  std::string line = command == "health"    ? "HEALTH"
                     : command == "metrics" ? "METRICS"
                     : command == "offline" ? "OFFLINE "
                                            : "ONLINE ";
  try {
    auto answer = rockcrank::send_admin_command(rockcrank::read_admin_address(), line + operand);
    std::printf("%s\n", answer.c_str());
    return answer.rfind("done", 0) == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank: %s\n", error.what());
    return 3;
  }
}

// With a passed socket and a process before this one, all is taken over from that; where it gives nothing in
// time, this one serves by itself and waits with its calls for the other's end.
void serve(const rockcrank::Config& config, bool notes) {
  constexpr rockcrank::Millis taken_within = 4000, pause = 50;  // the platform wants its yes within 6 s
  rockcrank::EventLoop loop;
  std::unique_ptr<rockcrank::AdminServer> admin;
  if (config.admin.port != 0) admin = std::make_unique<rockcrank::AdminServer>(loop, config.admin);
  auto until = loop.now() + taken_within;
  while (config.inherited_socket >= 0 && loop.now() < until &&
         rockcrank::Store::has_owner(config.state_folder)) {
    rockcrank::HandoverClient predecessor(config.state_folder);
    if (auto baggage = predecessor.request(config.numbering_hash)) {
      try {
        rockcrank::Relay relay(config, loop, admin.get(), &*baggage, notes);
        baggage->close_unclaimed();
        if (predecessor.confirm()) return relay.run();
      } catch (const std::exception& error) {
        baggage->close_unclaimed();
        rockcrank::log_line("not taken over: %s", error.what());
        break;  // it would not be readable the next time either
      }
    }
    predecessor.close();
    rockcrank::Timer rested(loop, [&] { loop.stop(); });
    rested.set(loop.now() + pause);
    loop.run();
  }
  rockcrank::Relay(config, loop, admin.get(), nullptr, notes).run();
}

}  // namespace

int main(int argc, char** argv) {
  std::string command, operand;
  bool notes = false;
  try {
    cxxopts::Options options("rockcrank", "a sender of webhooks and other calls");
    options.add_options()("h,help", "this text")("notes", "short notes to other relays");
    options.add_options()("command", "what to do", cxxopts::value<std::string>());
    options.add_options()("operand", "an endpoint's id", cxxopts::value<std::string>());
    options.parse_positional({"command", "operand"});
    auto given = options.parse(argc, argv);
    if (given.count("help")) return std::fputs(usage, stdout), 0;
    notes = given.count("notes") > 0;
    if (given.count("command")) command = given["command"].as<std::string>();
    if (given.count("operand")) operand = given["operand"].as<std::string>();
    if (!given.unmatched().empty()) command = given.unmatched().front();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank: %s\n%s", error.what(), usage);
    return 2;
  }
  if (command == "version") return std::printf("rockcrank %s\n", ROCKCRANK_VERSION), 0;
  if (command == "health" || command == "metrics" || command == "offline" || command == "online")
    return call(command, operand);
  if (command != "serve" && command != "check") {
    std::fprintf(stderr, "rockcrank: no such command: '%s'\n%s", command.c_str(), usage);
    return 2;
  }
  if (command == "serve") rockcrank::Signals::block_reload();
  try {
    auto config = rockcrank::read_config();
    if (command == "check") rockcrank::peer::read_fleet(config);
    if (command == "check") return std::printf("%s: good\n", config.name.c_str()), 0;
    serve(config, notes);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank: %s\n", error.what());
    return 1;
  }
  return 0;
}
