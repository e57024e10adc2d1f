// Random trials: a load and faults of all kinds at random times, several at once, then healing and a quiet
// end. Everything is drawn from the seed before the trial begins.
#pragma once

#include <string>

#include "trial/harness.h"

namespace rockcrank::trial {

// Configures a random trial. part: fleet, documents, warm, latest, or empty for all.
void set_up_random_trial(Setup& setup, const std::string& part);
// Runs the trial. Returns an empty string, or the reason why it could not run, such as a process that does
// not start.
std::string play_random_trial(Harness& harness, const std::string& part, double seconds);

}  // namespace rockcrank::trial
