// Many plays of cold returns, and the table that rockcrank_model prints of them.
#pragma once

#include <cstdint>
#include <string>

namespace rockcrank::model {

// Plays each seed of the range with so many relays (0: drawn from the seed) and prints each play that breaks
// the rule (the first one only, unless told to go on), then the worst spans. True: all hold.
bool tell_cold_returns(std::uint64_t first, std::uint64_t last, int relays, int threads, bool go_on);

// One play, told line by line.
std::string trace_cold_return(std::uint64_t seed, int relays);

}  // namespace rockcrank::model
