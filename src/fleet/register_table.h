// Owns the entries of the shared state and how two copies of one are settled: which word goes over which, how
// long a word counts, and the sums by which two members find where they differ. Free of I/O. It must never
// know who is a member, how a word came, or what follows from it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/registers.h"

namespace rockcrank::fleet {

std::uint64_t name_hash(const std::string& subject);

// Waits are kept for each life of each origin, as the later end over all of them counts: one life says a wait
// again only where it ends later, but one that starts anew may know less. Of the rest there is one entry.
struct EntryKey {
  RegisterKind kind{};
  std::uint64_t hash = 0;
  std::string name;
  MemberId origin{};
  Incarnation incarnation;
  auto operator<=>(const EntryKey&) const = default;
};
EntryKey key_of(const RegisterRecord& word);
// In what order things are told: waits, outages and endpoints out, limits.
int priority_of(RegisterKind matter);
constexpr RegisterKind kinds_by_priority[] = {RegisterKind::retry_after, RegisterKind::outage,
                                              RegisterKind::offline, RegisterKind::rate_limit};
// Which of two words on one entry is kept, whatever their age: alike everywhere, as it is a total order.
bool supersedes(const RegisterRecord& word, const RegisterRecord& other);
// How long after it was said a word counts; by then every copy of what it went over is forgotten too.
Millis retention_of(const RegisterRecord& word);

struct Entry {
  RegisterRecord record;  // its age is not brought up to date here
  Millis written_at = 0;  // on this member's clock, as the earliest copy heard has it
  std::uint64_t sum = 0;
  std::multimap<Millis, EntryKey>::iterator removal;
};

class RegisterTable {
 public:
  enum class MergeResult {
    applied,  // it is kept now
    earlier,  // the same word, said earlier than was thought: a wait ends sooner
    duplicate,
    stale,
    outdated,  // too old to count
    full
  };
  struct Conflict {
    EntryKey key;
    Version version;
  };
  using Entries = std::map<EntryKey, Entry>;

  MergeResult merge(const RegisterRecord& word, Millis said_at, Millis now);
  void remove_outdated(Millis now);  // what no longer counts

  const Entries& entries() const { return entries_; }
  const Entry* find(const EntryKey& key) const;
  Millis retry_after_end(const std::string& subject) const;  // the latest of all origins; below 0: none
  RangeDigest digest(RegisterKind matter, std::uint64_t prefix, int bits) const;
  // How many bits further a range is split: by 16 where the sums are kept, then by 4, as an entry that
  // differs costs the digests beside it at every step.
  static std::uint32_t half_sum(const RangeDigest& range);
  static int split_bits(const RangeDigest& range);
  RangeSplit split(const RangeDigest& range) const;
  std::vector<NameDigest> names(const RangeDigest& range) const;
  Entries::const_iterator range_begin(const RangeDigest& range) const;
  bool in_range(const RangeDigest& range, Entries::const_iterator at) const;

  std::vector<Conflict> take_conflicts() { return std::exchange(differing_, {}); }
  const std::map<EntryKey, std::vector<RegisterRecord>>& conflicting_records() const { return aside_; }

 private:
  struct Sum {
    std::uint64_t sum = 0, entries = 0;
  };
  void count(const EntryKey& key, const Entry& entry, bool in);
  void keep_aside(const EntryKey& key, const RegisterRecord& word);
  bool make_room();

  Entries entries_;
  std::multimap<Millis, EntryKey> dues_;
  std::vector<Sum> sums_[4];  // by matter and the first bits of the hash
  std::map<EntryKey, std::vector<RegisterRecord>> aside_;
  std::vector<Conflict> differing_;
};

}  // namespace rockcrank::fleet
