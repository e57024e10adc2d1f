// Draws, for each start of a relay process, which system calls fail and how far its wall clock is off.
// tests/crossings/halt.cpp builds the library that applies them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace rockcrank::trial {

// Returns environment variables for the process; empty if it runs without faults.
std::map<std::string, std::string> draw_process_faults(const std::string& library, std::uint64_t seed,
                                                       const std::string& relay, int incarnation);

}  // namespace rockcrank::trial
