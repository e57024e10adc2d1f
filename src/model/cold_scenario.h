// The conditions of one simulated cold return: the fleet, its destination, the outages and the restarts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "decision/decision.h"

namespace rockcrank::model {

enum class OutageKind : std::uint8_t {
  refuses_connections,  // as when the process is down
  silent,               // connections never come up, as when the machine is gone
  hangs,                // calls are accepted and never answered
  refuses_calls,        // each call is refused: closed, or its queue is full
  fails_most,           // most calls end with an error
  resets                // connections break under the call
};
const char* name_of(OutageKind kind);

struct Outage {
  Millis from = 0, to = 0;
  OutageKind kind{};
  double failing_share = 1;  // share of the calls that fail, for fails_most
};

// A process is killed and restarted. With its storage kept it recovers its documents and route statuses.
struct Restart {
  std::size_t relay = 0;
  Millis from = 0, to = 0;
  bool storage_kept = true;
};

enum class LimitKnowledge : std::uint8_t { unknown, listed, listed_roughly, reported };

// The conditions of one simulation, drawn from a seed or set by a test.
struct ColdScenario {
  std::vector<double> relay_rates;       // documents per second that clients submit for the destination
  std::vector<bool> idle_during_outage;  // relays that get no document during an outage
  double limit = 0;                      // calls per second that the destination accepts from all relays
  double listed_limit = 0;               // as discovery lists it; off by up to 50 % where listed_roughly
  double capacity = 0;                   // calls per second that it can serve when warm
  double start_capacity = 0.2;           // share of the capacity at the return
  double overload_multiple = 2.5;
  Millis overload_window = 2000;
  Millis warm_up_time = 12000;
  Millis call_time = 120;
  LimitKnowledge limit_knowledge = LimitKnowledge::unknown;
  int endpoints = 1;
  int max_batch_size = 1;
  double late_connection_share = 0;      // share of calls whose connection is delayed
  Millis max_connection_delay = 0;       // upper bound of that delay
  bool rejects_excess = false;           // calls above the current capacity are refused
  bool host_reports_connections = true;  // whether the host reports new connections, as with sockets
  bool relays_gossip = false;            // route statuses of one relay reach all others
  std::vector<Outage> outages;
  std::vector<Restart> restarts;
  std::string describe() const;  // one line
};

ColdScenario draw_cold_scenario(std::uint64_t seed, int relays);  // relays: 2 to 900

}  // namespace rockcrank::model
