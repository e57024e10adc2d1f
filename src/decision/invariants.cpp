// Counters of the run-time checks declared in invariants.h.
#include "decision/invariants.h"

namespace rockcrank {

const char* name_of(Invariant invariant) {
  switch (invariant) {
    case Invariant::slow_start: return "slow_start";
    case Invariant::retry_after: return "told_wait";
    case Invariant::closed_endpoint: return "closed_endpoint";
    case Invariant::key_order: return "message_order";
    case Invariant::single_transmission: return "single_attempt";
    case Invariant::expiry: return "deadline";
    case Invariant::safe_rejection: return "safe_rejection";
  }
  return "unknown";
}

bool Invariants::violated(Invariant invariant, bool holds) {
  ++checks_;
  if (holds) return false;
  ++violations_[static_cast<std::size_t>(invariant)];
  return true;
}

std::uint64_t Invariants::violations(Invariant invariant) const {
  return violations_[static_cast<std::size_t>(invariant)];
}

}  // namespace rockcrank
