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

// A relay's process is replaced by a new one, which takes over its state and its calls.
struct Replacement {
  std::size_t relay = 0;
  Millis at = 0;
};

// A configuration with an additional document type comes into force, as by SIGHUP.
struct Reconfiguration {
  std::size_t relay = 0;
  Millis at = 0;
};

// The relays also call a second destination, which shares their slots. It never fails, but may hang.
struct OtherDestination {
  double documents_per_second = 0;  // from each relay; 0: there is none
  Millis call_time = 120;
  Millis hangs_from = 0, hangs_to = 0;
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
  bool limits_calls = false;             // excess is always refused: above the limit, or a full queue
  bool refusals_use_limit = false;       // refused calls use up the limit too
  Millis queue_time = 0;                 // longest wait in the queue, where calls queue; 0: they don't
  bool ends_running_calls = false;       // an outage ends the calls that run when it begins
  double reused_connection_share = 0;    // of the calls
  int slots = 20;                        // of each relay
  bool may_cancel = false;
  DocType document_type = default_document_type();
  OtherDestination other_destination;
  std::vector<Outage> outages;
  std::vector<Restart> restarts;
  std::vector<Replacement> replacements;
  std::vector<Reconfiguration> reconfigurations;
  static DocType default_document_type();
  std::string describe() const;  // one line
};

ColdScenario draw_cold_scenario(std::uint64_t seed, int relays);  // relays: 2 to 900
// A destination with more traffic than it takes, whose outage may come early, and whose relays are busy with
// another destination, are replaced or get a new configuration meanwhile.
ColdScenario draw_crowded_scenario(std::uint64_t seed, int relays);

}  // namespace rockcrank::model
