// The parts of the fleet that the simulation runs, each with its workload, fault profile and injected faults.
// The checks of a part are in its own source file.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "model/world.h"

namespace rockcrank::model {

// Samples by figure name, such as "detection, 5 members".
using Samples = std::map<std::string, std::vector<double>>;

struct RunOptions {
  int relays = 0;  // 0: drawn from the seed
  // Name of a fault injected into what a check observes; the check has to find it.
  std::string injected_fault;
  Samples* samples = nullptr;
};

struct Part {
  std::string name;
  RunConfig (*draw_config)(RandomSource& random, int relays);
  FaultProfile fault_profile;
  std::unique_ptr<Workload> (*make_workload)(const RunOptions& options);
  // The name of each, and the check that has to find it.
  std::vector<std::pair<std::string, std::string>> injected_faults;
};

const std::vector<Part>& parts();

// Each is defined in the source file of its part.
Part membership_part();
Part registers_part();
Part custody_part();
Part warm_part();
Part latest_part();

// Draws the number of members of a run: small in most runs, large in some.
int draw_members(RandomSource& random, int relays, int most = 300);

}  // namespace rockcrank::model
