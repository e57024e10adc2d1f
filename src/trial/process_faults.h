// Owns which system calls of a process under trial fail, and by how much its wall clock is ahead: drawn anew
// for each start. The library of the tests that makes them fail is tests/crossings/halt.cpp.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace rockcrank::trial {

// The environment in which the process is started; empty where it runs without faults.
std::map<std::string, std::string> draw_process_faults(const std::string& library, std::uint64_t seed,
                                                       const std::string& relay, int life);

}  // namespace rockcrank::trial
