// What calls cost where no answer is copied: connections opened and processor time.
#pragma once

#include <string>

#include "trial/harness.h"

namespace rockcrank::bench {

// Runs both programs by turns (baseline may be empty), with 1, 3 and 8 relays and several kinds of answers,
// and prints a table. pace: documents a second to each relay.
void measure_call_cost(const std::string& program, const std::string& baseline, int rounds,
                       trial::Millis duration, double pace);

}  // namespace rockcrank::bench
