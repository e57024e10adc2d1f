// Runs many simulations of cold returns and prints the report of rockcrank_model.
#pragma once

#include <cstdint>
#include <string>

namespace rockcrank::model {

enum class ColdPart : std::uint8_t { cold, crowded };

// Simulates each seed of the range with `relays` relays (0: drawn from the seed). Prints the simulations that
// violate the rule (only the first one without `keep_going`), the overload window nearest to the bound and a
// summary. Returns true where all hold.
bool run_cold_returns(ColdPart part, std::uint64_t first, std::uint64_t last, int relays, int threads,
                      bool keep_going);

// Returns the trace of one simulation, a line for each event.
std::string trace_cold_return(ColdPart part, std::uint64_t seed, int relays);

}  // namespace rockcrank::model
