// Many plays of cold returns, and the table that rockcrank_model prints of them.
#pragma once

#include <cstdint>

namespace rockcrank::model {

// Plays each seed of the range with so many relays (0: drawn from the seed) and prints each play that breaks
// the rule (the first one only, unless told to go on), then the worst spans. True: all hold.
bool tell_cold_returns(std::uint64_t first, std::uint64_t last, int relays, int threads, bool go_on);

}  // namespace rockcrank::model
