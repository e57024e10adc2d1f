// Owns the trials of cold returns: a fleet of real processes without a link, destinations that fail in ways
// drawn from the seed and come back cold, and relays that are killed, stalled or told to end meanwhile. It
// must never judge: the auditor does.
#pragma once

#include <string>

#include "trial/harness.h"

namespace rockcrank::trial {

void set_up_cold_returns(Setup& setup);
// Empty: played to its end; else what kept it from being played.
std::string play_cold_returns(Harness& harness);

}  // namespace rockcrank::trial
