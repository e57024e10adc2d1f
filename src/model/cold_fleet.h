// Simulates a fleet of decision modules on a virtual clock against one destination that fails and returns
// cold. Each relay decides alone; the simulation sums the calls of all relays after each return and compares
// them with the operators' budget for a server in slow start. It uses only the public interface of the
// decision module.
#pragma once

#include <cstdint>
#include <string>

#include "decision/decision.h"
#include "model/cold_scenario.h"

namespace rockcrank::model {

// The calls within one overload window, and the budget for them.
struct OverloadWindow {
  double calls = 0;
  double calls_of_informed_relays = 0;  // of relays that knew of the outage
  double allowed = 0;                   // N + 3 sqrt(N) + 3, from N = 30 on N + 2 sqrt(N) + 2
  double budget = 0;                    // N
  Millis since_return = 0;
  double excess() const { return calls - allowed; }
  bool violates_rule() const { return calls > allowed && calls_of_informed_relays > calls * 2 / 3; }
};

struct ColdReport {
  OverloadWindow worst;       // violates the rule, or comes nearest to the bound
  double calls = 0;           // after a return, while the destination was cold
  double possible_calls = 0;  // calls that the destination could have served in that time
  double wanted = 0;          // documents held or submitted in that time
  double delivered = 0;
  // Of the calls that were both wanted and possible, the share that was not made.
  double unused_share() const;
};

struct ColdOptions {
  bool uniform_slack = false;    // allows N + 2 sqrt(N) + 2 for every N, as older tests do
  std::string* trace = nullptr;  // receives a line for each call, its end and each log line of a module
};
ColdReport simulate_cold_return(const ColdScenario& scenario, std::uint64_t seed,
                                const ColdOptions& options = {});

}  // namespace rockcrank::model
