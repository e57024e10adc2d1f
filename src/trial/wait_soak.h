// The soak for told waits: destinations refuse with a Retry-After while the relays are stopped, killed, told
// to end and reloaded, and clients go on.
#pragma once

#include <string>

#include "trial/harness.h"

namespace rockcrank::trial {

void set_up_wait_soak(Setup& setup);
// What endpoints do beside telling waits: nothing; they and the agent write answers twice; they answer with
// the whole table of the protocol, for documents that are withdrawn or spent too, and end connections behind
// an answer; the same with answers that are late, in pieces, stalled, or cut at any byte on their way; copies
// of answers of the whole table.
enum class AnswerFaults { none, copies, statuses, transport, copied_statuses };
// Returns what failed, or an empty string. The auditor judges the log.
std::string play_wait_soak(Harness& harness, double seconds, AnswerFaults faults);

}  // namespace rockcrank::trial
