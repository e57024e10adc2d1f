// rockcrank: the relay's command line. All settings come from the configuration file.
#include <malloc.h>

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
    "  serve    run one relay, configured by the file that $BALANCER_CONFIG names; with --notes it\n"
    "           exchanges gossip datagrams with other relays, if its settings allow that\n"
    "  check    check the configuration that serve would use\n"
    "  health   ask the running relay, at its admin address, whether it accepts clients\n"
    "  metrics  print its metrics, including counts of violated invariants\n"
    "  offline  take the endpoint ID out of service; online: put it back\n"
    "           (exit code 0: done, 1: the relay answered with an error, 3: no answer)\n"
    "  version  print the version\n";

// Sends one command to the admin address, prints the answer and returns the exit code.
int run_admin_command(const std::string& command, const std::string& operand) {
  bool named = command != "health" && command != "metrics";
  if (named == operand.empty()) {
    std::fprintf(stderr, "rockcrank: %s takes %s\n%s", command.c_str(),
                 named ? "an endpoint id" : "no argument", usage);
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

// Memory of large buffers goes back to the system when they are freed: a crowd of clients holds hundreds of
// them for seconds, and what the allocator kept of them afterwards would count against the limit.
void limit_allocator_caches() {
#ifdef __GLIBC__
  constexpr int mmap_threshold_bytes = 32 << 10, trim_threshold_bytes = 256 << 10;
  mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
  mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
#endif
}

// With an inherited socket and a running predecessor, takes over its state. If the predecessor hands over
// nothing in time, this process serves by itself and holds back its calls until the other has ended.
void serve(const rockcrank::Config& config, bool gossip_enabled) {
  constexpr rockcrank::Millis handover_timeout = 4000;  // the platform expects readiness within 6 s
  constexpr rockcrank::Millis retry_interval = 50;
  rockcrank::EventLoop loop;
  std::unique_ptr<rockcrank::AdminServer> admin;
  if (config.admin.port != 0) admin = std::make_unique<rockcrank::AdminServer>(loop, config.admin);
  auto until = loop.now() + handover_timeout;
  while (config.inherited_socket >= 0 && loop.now() < until &&
         rockcrank::Store::has_owner(config.state_folder)) {
    rockcrank::HandoverClient handover(config.state_folder);
    if (auto payload = handover.request(config.numbering_hash)) {
      try {
        rockcrank::Relay relay(config, loop, admin.get(), &*payload, gossip_enabled);
        payload->close_unclaimed();
        if (handover.confirm()) return relay.run();
      } catch (const std::exception& error) {
        payload->close_unclaimed();
        rockcrank::log_line("handover failed: %s", error.what());
        break;  // the state would be unreadable again
      }
    }
    handover.close();
    rockcrank::Timer retry(loop, [&] { loop.stop(); });
    retry.set(loop.now() + retry_interval);
    loop.run();
  }
  rockcrank::Relay(config, loop, admin.get(), nullptr, gossip_enabled).run();
}

}  // namespace

int main(int argc, char** argv) {
  std::string command, operand;
  bool gossip_enabled = false;
  try {
    cxxopts::Options options("rockcrank", "delivers webhooks and other calls");
    options.add_options()("h,help", "print this help")("notes",
                                                       "exchange gossip datagrams with other relays");
    options.add_options()("command", "the command", cxxopts::value<std::string>());
    options.add_options()("operand", "an endpoint id", cxxopts::value<std::string>());
    options.parse_positional({"command", "operand"});
    auto given = options.parse(argc, argv);
    if (given.count("help")) return std::fputs(usage, stdout), 0;
    gossip_enabled = given.count("notes") > 0;
    if (given.count("command")) command = given["command"].as<std::string>();
    if (given.count("operand")) operand = given["operand"].as<std::string>();
    if (!given.unmatched().empty()) command = given.unmatched().front();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank: %s\n%s", error.what(), usage);
    return 2;
  }
  if (command == "version") return std::printf("rockcrank %s\n", ROCKCRANK_VERSION), 0;
  if (command == "health" || command == "metrics" || command == "offline" || command == "online")
    return run_admin_command(command, operand);
  if (command != "serve" && command != "check") {
    std::fprintf(stderr, "rockcrank: unknown command: '%s'\n%s", command.c_str(), usage);
    return 2;
  }
  if (command == "serve") rockcrank::Signals::block_reload(), limit_allocator_caches();
  try {
    auto config = rockcrank::read_config();
    if (command == "check") rockcrank::peer::load_fleet_config(config);
    if (command == "check") return std::printf("%s: good\n", config.name.c_str()), 0;
    serve(config, gossip_enabled);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rockcrank: %s\n", error.what());
    return 1;
  }
  return 0;
}
