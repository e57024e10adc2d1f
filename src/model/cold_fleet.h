// A fleet of decision modules on a virtual clock against one destination that fails and returns cold. Each
// relay decides alone; the play sums the calls of all relays after each return and compares them with the
// operators' budget for a server in slow start. It must never ask a module how it decides.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "decision/decision.h"

namespace rockcrank::model {

enum class OutageKind : std::uint8_t {
  refuses_connections,  // as a process that has died
  silent,               // connections never come up, as at a machine that has vanished
  hangs,                // calls are taken and never answered
  refuses_calls,        // each call is turned away: shut, or its queue hangs full
  fails_most,           // most calls end with an error
  resets                // connections break under the call
};
const char* name_of(OutageKind kind);

struct Outage {
  Millis from = 0, to = 0;
  OutageKind kind{};
  double failing_share = 1;  // of the calls, where it fails most
};

// A process is killed and starts again. With its folder it finds its messages and what it knew.
struct Restart {
  std::size_t relay = 0;
  Millis from = 0, to = 0;
  bool folder_kept = true;
};

enum class LimitKnown : std::uint8_t { no, listed, listed_roughly, reported };

// What one play is like. Everything in it follows from a seed, or is set by a test.
struct ColdScenario {
  std::vector<double> relay_rates;  // messages a second that clients hand in for the destination
  std::vector<bool> quiet;          // relays that get no message during an outage
  double limit = 0;                 // calls a second that the destination takes from all relays
  double listed_limit = 0;          // as the list tells it; up to half too high or too low where rough
  double capacity = 0;              // calls a second that it can do, warm
  double start_capacity = 0.2;      // share of it at the return
  double fall_multiple = 2.5;
  Millis fall_time = 2000;
  Millis warm_within = 12000;
  Millis call_time = 120;
  LimitKnown limit_known = LimitKnown::no;
  int endpoints = 1;
  int bundle_max = 1;
  double late_connections = 0;         // share of calls whose connection comes up late
  Millis late_connection_most = 0;     // by at most so much
  bool turns_away_excess = false;      // calls above the present capacity are refused
  bool host_knows_connections = true;  // whether a call went on a new connection, as on sockets
  bool relays_talk = false;            // what one relay learns reaches all others
  std::vector<Outage> outages;
  std::vector<Restart> restarts;
  std::string told() const;  // one line
};

// The calls of one span of the fall time, and the budget for it.
struct ColdSpan {
  double calls = 0;
  double told = 0;     // of relays that had been told of the outage
  double allowed = 0;  // N + 3 sqrt(N) + 3, from N = 30 on N + 2 sqrt(N) + 2
  double budget = 0;   // N
  Millis since_return = 0;
  double over() const { return calls - allowed; }
  bool breaks_rule() const { return calls > allowed && told > calls * 2 / 3; }
};

struct ColdReport {
  ColdSpan worst;       // breaks the rule, or comes nearest to the bound
  double calls = 0;     // after a return, while the destination was cold
  double could_do = 0;  // calls that it could have done in that time
  double wanted = 0;    // messages held or handed in then
  double delivered = 0;
  // Of what was wanted and could have been done, the share that was not asked for.
  double unused_share() const;
};

ColdScenario draw_cold_scenario(std::uint64_t seed, int relays);  // relays: 2 to 900
struct ColdOptions {
  bool steady_extra = false;     // the slack above N is 2 sqrt(N) + 2 for every N, as older tests have it
  std::string* trace = nullptr;  // gets a line for each call, end and log line of a module
};
ColdReport play_cold(const ColdScenario& scenario, std::uint64_t seed, const ColdOptions& options = {});

}  // namespace rockcrank::model
