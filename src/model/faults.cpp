// Draws the faults of a run. They depend only on its configuration, the fault profile and the seed.
#include "model/faults.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "model/random.h"

namespace rockcrank::model {

namespace {

bool contains(const std::vector<int>& list, int member) {
  return std::find(list.begin(), list.end(), member) != list.end();
}

std::string member_list(const std::vector<int>& list) {
  if (list.empty()) return "all";
  std::string text;
  for (std::size_t i = 0; i < list.size() && i < 12; ++i) {
    if (i > 0) text += ',';
    text += std::to_string(list[i]);
  }
  if (list.size() > 12) text += ".. of " + std::to_string(list.size());
  return text;
}

}  // namespace

bool Fault::blocks(int from, int to, Millis now) const {
  if (now < at || now >= until) return false;
  if (kind == Kind::partition) return partition_of[from] != partition_of[to];
  if (kind != Kind::cut) return false;
  if (flap_period > 0 && static_cast<long long>(std::floor((now - at) / flap_period)) % 2 != 0) return false;
  auto cuts = [&](int a, int b) { return contains(members, a) && (peers.empty() || contains(peers, b)); };
  return cuts(from, to) || (both_ways && cuts(to, from));
}

std::string Fault::describe() const {
  char line[240];
  auto a = member_list(members), b = member_list(peers);
  auto format_line = [&](const char* format, auto... values) {
    std::snprintf(line, sizeof line, format, values...);
  };
  switch (kind) {
    case Kind::cut:
      format_line("%.1f to %.1f: links %s of %s to %s%s%s", at, until, both_ways ? "both ways" : "one way",
                  a.c_str(), b.c_str(), flap_period > 0 ? " cut, toggled at intervals of ms: " : " cut",
                  flap_period > 0 ? std::to_string(static_cast<int>(flap_period)).c_str() : "");
      break;
    case Kind::partition: {
      std::string partitions;
      for (std::size_t i = 0; i < partition_of.size() && i < 40; ++i)
        partitions += static_cast<char>('0' + partition_of[i]);
      format_line("%.1f to %.1f: partition %s", at, until, partitions.c_str());
      break;
    }
    case Kind::reset: format_line("%.1f: connections of %s to %s reset", at, a.c_str(), b.c_str()); break;
    case Kind::kill:
      format_line("%.1f: %s killed%s, restarted at %.1f with its storage %s", at, a.c_str(),
                  abrupt ? " abruptly" : "", until,
                  storage == StorageOnRestart::kept       ? "kept"
                  : storage == StorageOnRestart::outdated ? "outdated"
                                                          : "emptied");
      break;
    case Kind::stall: format_line("%.1f to %.1f: %s stalled", at, until, a.c_str()); break;
    case Kind::duplicate_process:
      format_line("%.1f to %.1f: duplicate process of %s", at, until, a.c_str());
      break;
    case Kind::delay:
      format_line("%.1f to %.1f: %.1f ms longer from %s to %s", at, until, delta, a.c_str(), b.c_str());
      break;
    case Kind::wall_clock_jump:
      format_line("%.1f: wall clock of %s jumps by %.1f", at, a.c_str(), delta);
      break;
  }
  return line;
}

std::vector<Fault> draw_faults(const RunConfig& config, const FaultProfile& profile, std::uint64_t seed) {
  using Kind = Fault::Kind;
  RandomSource random(hash_values(seed, 0xfa));
  std::vector<Fault> faults;
  if (random.bernoulli(profile.fault_free_share)) return faults;
  if (profile.mass_restart_share > 0 && random.bernoulli(profile.mass_restart_share)) {
    auto at = random.between(config.faults_from, config.faults_until - 2500);
    for (int member = 0; member < config.members; ++member) {
      if (!random.bernoulli(0.7)) continue;
      Fault kill;
      kill.kind = Kind::kill, kill.at = at + random.between(0, 500),
      kill.until = kill.at + random.between(200, 1500);
      kill.members = {member}, kill.storage = StorageOnRestart::emptied;
      faults.push_back(kill);
    }
    return faults;
  }
  auto category = random.uniform();
  bool links_only = category < profile.single_link_share;
  bool kills_only =
      !links_only && category < profile.single_link_share + profile.kills_only_share && profile.kills;
  int n = config.members;
  int count = 1 + random.uniform_below(std::max(1, profile.max_faults));
  auto draw_peer = [&](int member) { return (member + 1 + random.uniform_below(n - 1)) % n; };
  // Faults of the same process don't overlap.
  std::vector<Millis> next_fault_from(n, 0);
  Millis next_kill_from = 0;
  std::vector<Millis> starts;
  for (int i = 0; i < count; ++i)
    starts.push_back(random.between(config.faults_from, config.faults_until - 500));
  std::sort(starts.begin(), starts.end());
  for (auto start : starts) {
    Fault fault;
    fault.at = start;
    auto longest = config.faults_until - fault.at;
    // Log-uniform, so that short and long faults are equally frequent.
    fault.until = fault.at + std::min(longest, 50 * std::pow(longest / 50, random.uniform()));
    int member = random.uniform_below(n);
    fault.members = {member};
    double drawn = kills_only ? 0.7 : random.uniform();
    if (links_only) {
      fault.kind = Kind::cut, fault.peers = {draw_peer(member)}, fault.both_ways = random.bernoulli(0.5);
      if (random.bernoulli(0.3)) fault.flap_period = random.between(20, 1500);
      // One pair only: a second broken link could leave a member without an indirect path.
      faults.assign(1, fault);
      continue;
    }
    if (drawn < 0.30) {
      fault.kind = Kind::cut, fault.both_ways = random.bernoulli(0.5);
      if (random.bernoulli(0.4)) fault.peers = {draw_peer(member)};
      else if (n > 3 && random.bernoulli(0.5))
        for (int k = 1 + random.uniform_below(n / 2); k > 0; --k) {
          int to = draw_peer(member);
          if (!contains(fault.peers, to)) fault.peers.push_back(to);
        }
      if (random.bernoulli(0.3)) fault.flap_period = random.between(20, 1500);
    } else if (drawn < 0.40) {
      fault.kind = Kind::partition, fault.members.clear();
      int partition_count = 2 + random.uniform_below(2);
      for (int k = 0; k < n; ++k)
        fault.partition_of.push_back(static_cast<std::uint8_t>(random.uniform_below(partition_count)));
    } else if (drawn < 0.48) {
      fault.kind = Kind::reset;
      if (random.bernoulli(0.5)) fault.peers = {draw_peer(member)};
    } else if (drawn < 0.56) {
      fault.kind = Kind::delay, fault.delta = random.between(5, 400);
      if (random.bernoulli(0.5)) fault.peers = {draw_peer(member)};
    } else {
      bool kill = profile.kills && (drawn < 0.80 || !profile.stalls);
      if (drawn > 0.97 && profile.duplicate_processes) fault.kind = Kind::duplicate_process;
      else if (drawn > 0.94 && profile.wall_clock_jumps) {
        fault.kind = Kind::wall_clock_jump, fault.delta = random.between(-300000, 300000);
        faults.push_back(fault);
        continue;
      } else if (kill) {
        fault.kind = Kind::kill, fault.abrupt = random.bernoulli(0.3);
        auto storage = random.uniform();
        fault.storage = storage < 0.6   ? StorageOnRestart::kept
                        : storage < 0.8 ? StorageOnRestart::emptied
                                        : StorageOnRestart::outdated;
        if (random.bernoulli(profile.permanent_kill_share)) fault.until = -1;
      } else if (profile.stalls) fault.kind = Kind::stall;
      else continue;
      if (fault.at < next_fault_from[member]) continue;
      if (fault.kind == Kind::kill && profile.one_kill_at_a_time && !config.overlapping_kills) {
        if (fault.at < next_kill_from) continue;
        next_kill_from = (fault.until < 0 ? fault.at : fault.until) + profile.min_kill_gap;
      }
      next_fault_from[member] = fault.until < 0 ? config.end : fault.until + 100;
    }
    faults.push_back(fault);
  }
  return faults;
}

}  // namespace rockcrank::model
