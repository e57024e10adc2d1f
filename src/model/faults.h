// The faults of a run, drawn from its seed before it begins. They are a plain list, so that a failing run can
// be repeated with some of them removed. Knows nothing of what the modules do.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/ids.h"

namespace rockcrank::model {

// What a process finds in its storage after a restart.
enum class StorageOnRestart : std::uint8_t { kept, emptied, outdated };

struct Fault {
  enum class Kind : std::uint8_t {
    cut,                // no messages from `members` to `peers`, nor back where `both_ways`
    partition,          // no messages between members of different partitions
    reset,              // connections between `members` and `peers` are reset; messages in flight are lost
    kill,               // the process of `members` ends, and restarts at `until` (negative: never)
    stall,              // the process is suspended until `until`
    duplicate_process,  // a second process of the same member runs from `at` to `until`, on a copy of its
                        // storage
    delay,              // messages from `members` to `peers` take `delta` longer
    wall_clock_jump     // the wall clock of `members` jumps by `delta`
  };
  Kind kind{};
  Millis at = 0, until = 0;
  std::vector<int> members, peers;  // indexes in the roster; no peers: all others
  bool both_ways = false;           // cut
  Millis flap_period = 0;  // cut: active for this long, inactive for as long, and so on; 0: active throughout
  std::vector<std::uint8_t> partition_of;  // of each member, by index in the roster
  bool abrupt = false;         // kill: as on a power loss, the connections to peers are not closed
  StorageOnRestart storage{};  // kill: what the restarted process finds
  Millis delta = 0;

  bool blocks(int from, int to, Millis now) const;  // cut and partition
  std::string describe() const;                     // one line
};

// The conditions of a run other than its faults.
struct RunConfig {
  int members = 3, zones = 1;
  Millis faults_from = 0, faults_until = 0, end = 0;  // faults lie between faults_from and faults_until
  double delay_spike_rate = 0.0005;                   // share of messages that take up to 60 ms longer
  bool datagrams = false;                      // messages are lost, duplicated and reordered; no connections
  double loss_rate = 0, duplication_rate = 0;  // datagrams: shares of messages
  double max_clock_drift = 0;        // largest difference between two machines' clock rates, as a share
  Millis max_wall_clock_offset = 0;  // largest difference between two wall clocks
  bool overlapping_kills = false;    // kills may follow each other at once, whatever the fault profile says
  bool storage_lags = false;         // storage is written periodically, and not when a process ends
  Millis farthest_zone_delay = 0;    // minimum latency between the farthest zones
};

// How many faults, and of which kinds, the runs of a part get.
struct FaultProfile {
  double fault_free_share = 0.1;   // share of runs without faults
  double single_link_share = 0.2;  // share of runs whose only fault is one broken link between two members
  double kills_only_share = 0.15;
  double mass_restart_share = 0;  // share of runs in which 70 % of the members restart at once with empty
                                  // storage, and nothing else fails
  int max_faults = 6;             // faults per run
  bool kills = true, stalls = true, duplicate_processes = false, wall_clock_jumps = false;
  double permanent_kill_share = 0.1;  // share of kills without a restart
  bool one_kill_at_a_time = false;    // a kill comes at least min_kill_gap after the last restart
  Millis min_kill_gap = 0;
};

std::vector<Fault> draw_faults(const RunConfig& config, const FaultProfile& profile, std::uint64_t seed);

}  // namespace rockcrank::model
