// The soak for told waits: destinations refuse with a Retry-After while the relays are stopped, killed, told
// to end and reloaded, and clients go on.
#pragma once

#include <string>

#include "trial/harness.h"

namespace rockcrank::trial {

void set_up_wait_soak(Setup& setup);
// Whether endpoints and the agent also write answers twice.
enum class AnswerCopies { none, drawn };
// Returns what failed, or an empty string. The auditor judges the log.
std::string play_wait_soak(Harness& harness, double seconds, AnswerCopies copies);

}  // namespace rockcrank::trial
