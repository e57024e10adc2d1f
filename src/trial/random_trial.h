// Owns the trials that are drawn: a load, faults of all kinds at drawn moments, several at once, then healing
// and a quiet end. All is drawn from the seed before the trial begins. It must never judge.
#pragma once

#include <string>

#include "trial/harness.h"

namespace rockcrank::trial {

// The world of a drawn trial. part: fleet, documents, warm, latest, or empty for all that the program has.
void set_up_random_trial(Setup& setup, const std::string& part);
// Empty, or what could not be played, as a process that does not come up.
std::string play_random_trial(Harness& harness, const std::string& part, double seconds);

}  // namespace rockcrank::trial
