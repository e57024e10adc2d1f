// The run-time check of the rules that the module must keep: each send, each end and each connection opened
// ahead is looked at once more, apart from the code that decided it. A violation is counted and told in the
// log, and changes nothing else.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace rockcrank {

enum class Invariant : std::uint8_t {
  slow_start,           // no more than this relay's part to a destination in slow start
  retry_after,          // nothing to a destination that told to wait
  closed_endpoint,      // nothing to an endpoint that drains, is gone or is out
  key_order,            // one message of a key at a time, in order
  single_transmission,  // no second attempt beside one that is out, or where it could have a second effect
  expiry,               // no attempt after the message's time, and no end after it either
  safe_rejection        // a rejection only where a retry is harmless
};
constexpr std::size_t invariant_count = 7;
const char* name_of(Invariant invariant);

class Invariants {
 public:
  // Counts one check. True: it is violated.
  bool violated(Invariant invariant, bool holds);
  std::uint64_t checks() const { return checks_; }
  std::uint64_t violations(Invariant invariant) const;

 private:
  std::uint64_t checks_ = 0;
  std::array<std::uint64_t, invariant_count> violations_{};
};

}  // namespace rockcrank
