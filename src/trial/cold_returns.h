// Trials of cold returns: real relay processes without links between them, destinations that fail in randomly
// drawn ways and return cold, and relays that are killed, suspended or terminated meanwhile.
#pragma once

#include <string>

#include "trial/harness.h"

namespace rockcrank::trial {

void set_up_cold_returns(Setup& setup);
// Runs the trial. Returns an empty string, or the reason why it could not run to its end.
std::string play_cold_returns(Harness& harness);

}  // namespace rockcrank::trial
