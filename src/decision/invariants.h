// Run-time checks of the rules that the decision module must keep: each send and each end is checked once
// more, independently of the code that decided it. A violation is counted and logged, and changes nothing
// else.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace rockcrank {

enum class Invariant : std::uint8_t {
  slow_start,           // no more than this relay's part to a destination in slow start
  retry_after,          // no call before the end of a Retry-After
  closed_endpoint,      // no call to an endpoint that is draining, gone or offline
  key_order,            // one document of a key at a time, in order
  single_transmission,  // no second transmission beside one in flight, or where it could have a second effect
  expiry,               // no transmission and no end after the document's expiry
  safe_rejection        // a rejection only where a retry is harmless
};
constexpr std::size_t invariant_count = 7;
const char* name_of(Invariant invariant);

class Invariants {
 public:
  // Counts one check. Returns true if it is violated.
  bool violated(Invariant invariant, bool holds);
  std::uint64_t checks() const { return checks_; }
  std::uint64_t violations(Invariant invariant) const;

 private:
  std::uint64_t checks_ = 0;
  std::array<std::uint64_t, invariant_count> violations_{};
};

}  // namespace rockcrank
