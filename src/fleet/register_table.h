// The table of register entries: how two copies of an entry are merged, how long an entry is kept, and the
// digest sums by which two members find where they differ. Free of I/O, and independent of membership and of
// how records are sent.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/registers.h"

namespace rockcrank::fleet {

std::uint64_t name_hash(const std::string& name);

// Retry-After waits have an entry for each incarnation of each origin, and the latest end of all counts: an
// incarnation publishes a wait again only if it ends later, but a restarted process may know less. All other
// kinds have one entry for each name, with origin and incarnation left empty.
struct EntryKey {
  RegisterKind kind{};
  std::uint64_t hash = 0;
  std::string name;
  MemberId origin{};
  Incarnation incarnation;
  auto operator<=>(const EntryKey&) const = default;
};
EntryKey key_of(const RegisterRecord& record);
// The order in which kinds are sent.
int priority_of(RegisterKind kind);
constexpr RegisterKind kinds_by_priority[] = {RegisterKind::retry_after, RegisterKind::outage,
                                              RegisterKind::offline, RegisterKind::rate_limit};
// Which of two records of one entry wins, whatever their age. It is a total order, so all members agree.
bool supersedes(const RegisterRecord& record, const RegisterRecord& other);
// How long after it was written a record is kept; by then all copies of records it superseded are gone too.
Millis retention_of(const RegisterRecord& record);

struct Entry {
  RegisterRecord record;  // its age is not updated
  Millis written_at = 0;  // on this member's clock, by the earliest copy received
  std::uint64_t sum = 0;
  std::multimap<Millis, EntryKey>::iterator removal;
};

class RegisterTable {
 public:
  enum class MergeResult {
    applied,  // the record is new and is kept
    earlier,  // the same record, written earlier than assumed: a wait ends sooner
    duplicate,
    stale,
    outdated,  // past its retention
    full
  };
  struct Conflict {
    EntryKey key;
    Version version;
  };
  using Entries = std::map<EntryKey, Entry>;

  MergeResult merge(const RegisterRecord& record, Millis written_at, Millis now);
  void remove_outdated(Millis now);

  const Entries& entries() const { return entries_; }
  const Entry* find(const EntryKey& key) const;
  Millis retry_after_end(const std::string& name) const;  // over all origins; negative: none
  RangeDigest digest(RegisterKind kind, std::uint64_t prefix, int bits) const;
  static std::uint32_t half_sum(const RangeDigest& range);
  // By how many more bits a range is split: into 16 parts where sums are precomputed, then into 4, since each
  // step also sends the digests beside the entry that differs.
  static int split_bits(const RangeDigest& range);
  RangeSplit split(const RangeDigest& range) const;
  std::vector<NameDigest> names(const RangeDigest& range) const;
  Entries::const_iterator range_begin(const RangeDigest& range) const;
  bool in_range(const RangeDigest& range, Entries::const_iterator at) const;

  std::vector<Conflict> take_conflicts() { return std::exchange(conflicts_, {}); }
  const std::map<EntryKey, std::vector<RegisterRecord>>& conflicting_records() const { return conflicting_; }

 private:
  struct Sum {
    std::uint64_t sum = 0, entries = 0;
  };
  void update_sums(const EntryKey& key, const Entry& entry, bool added);
  void keep_conflicting(const EntryKey& key, const RegisterRecord& record);
  bool make_room();

  Entries entries_;
  std::multimap<Millis, EntryKey> removals_;
  std::vector<Sum> sums_[4];  // by kind and the first bits of the hash
  std::map<EntryKey, std::vector<RegisterRecord>> conflicting_;
  std::vector<Conflict> conflicts_;
};

}  // namespace rockcrank::fleet
