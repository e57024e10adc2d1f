// What the parts of the benchmark share: starting relays, their processor time, and formatting of figures.
#pragma once

#include <string>
#include <vector>

#include "trial/harness.h"

namespace rockcrank::bench {

// The minimum, median and maximum of several runs.
std::string format_spread(std::vector<double> all, int decimals = 0);
// Starts all relays and waits until each answers, and, if linked, until all members reach each other.
void start_all(trial::Harness& harness, bool linked);
void wait_for(trial::Harness& harness, trial::Millis time);
std::vector<trial::Address> client_addresses(const trial::Harness& harness);
trial::Millis total_cpu_time(const trial::Harness& harness);  // of all relays

}  // namespace rockcrank::bench
