// The merge rules of the register table (docs/fleet.md has them as a table) and its digest sums. Only the
// sums of the first split are precomputed; those of smaller ranges are summed on demand.

#include "fleet/register_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rockcrank::fleet {
namespace {

// A finished wait is kept for this long, so that a delayed copy does not start it again.
constexpr Millis retry_after_retention = 60e3;
// An outage without new evidence for this long is of no use.
constexpr Millis outage_retention = 30 * 60e3;
constexpr Millis limit_retention = 60e3;
// An online order is kept for this long; the offline order that it superseded is older. A member that was
// away for longer may bring the offline order back, which errs on the safe side and is logged by every
// member.
constexpr Millis online_retention = 30 * 24 * 3600e3;
constexpr Millis forever = 1e15;

constexpr std::size_t max_entries = 1 << 18;
constexpr std::size_t max_conflicting_keys = 64, max_records_per_conflict = 4, max_unreported_conflicts = 64;
constexpr int sum_bits = 12;  // hash bits of the ranges whose sums are precomputed

double caution_of(const RegisterRecord& record) {
  switch (record.kind) {
    case RegisterKind::retry_after: return record.duration;
    case RegisterKind::outage:
      return record.state == RouteState::down ? 2 : record.state == RouteState::recovering ? 1 : 0;
    case RegisterKind::rate_limit: return -record.rate_limit;
    case RegisterKind::offline: return record.offline;
  }
  return 0;
}

// Everything but the age: the higher counter wins, then the more cautious record. The other fields only make
// the order total.
auto order_of(const RegisterRecord& record) {
  return std::make_tuple(record.version.counter, caution_of(record), record.version.origin, record.duration,
                         record.state, record.rate_before_outage, record.rate_limit, record.remaining_share,
                         record.offline, record.incarnation);
}

std::uint64_t record_sum(const RegisterRecord& record) {
  std::string bytes = record.name;
  auto add = [&](const auto& value) { bytes.append(reinterpret_cast<const char*>(&value), sizeof value); };
  // -0.0 and 0.0 are equal but have different bytes.
  for (double value : {record.duration, record.rate_before_outage, record.rate_limit, record.remaining_share})
    add(value == 0 ? 0.0 : value);
  add(record.kind), add(record.version.counter), add(record.version.origin), add(record.incarnation.number);
  add(record.incarnation.nonce), add(record.state), add(record.offline);
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t first_bits(std::uint64_t hash, int bits) { return bits == 0 ? 0 : hash >> (64 - bits); }

}  // namespace

std::uint64_t name_hash(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

EntryKey key_of(const RegisterRecord& record) {
  bool per_origin = record.kind == RegisterKind::retry_after;
  return {record.kind, name_hash(record.name), record.name, per_origin ? record.version.origin : MemberId{},
          per_origin ? record.incarnation : Incarnation{}};
}

int priority_of(RegisterKind kind) {
  return static_cast<int>(std::find(std::begin(kinds_by_priority), std::end(kinds_by_priority), kind) -
                          std::begin(kinds_by_priority));
}

bool supersedes(const RegisterRecord& record, const RegisterRecord& other) {
  return order_of(record) > order_of(other);
}

Millis retention_of(const RegisterRecord& record) {
  switch (record.kind) {
    case RegisterKind::retry_after: return record.duration + retry_after_retention;
    case RegisterKind::outage: return outage_retention;
    case RegisterKind::rate_limit: return limit_retention;
    case RegisterKind::offline: return record.offline ? forever : online_retention;
  }
  return 0;
}

RegisterTable::MergeResult RegisterTable::merge(const RegisterRecord& record, Millis written_at, Millis now) {
  if (now - written_at >= retention_of(record)) return MergeResult::outdated;
  auto key = key_of(record);
  auto found = entries_.find(key);
  if (found == entries_.end() && !make_room()) return MergeResult::full;
  if (found != entries_.end()) {
    Entry& held = found->second;
    bool wins = supersedes(record, held.record), same = !wins && !supersedes(held.record, record);
    // Two processes may write equal versions, as after a machine image was restored: both records are kept.
    if (!same && record.version == held.record.version) keep_conflicting(key, wins ? held.record : record);
    if (same && written_at >= held.written_at) return MergeResult::duplicate;
    if (!same && !wins) return MergeResult::stale;
    update_sums(key, held, false);
    removals_.erase(held.removal);
    held.record = record, held.written_at = written_at, held.sum = record_sum(record);
    held.removal = removals_.emplace(written_at + retention_of(record), key);
    update_sums(key, held, true);
    return same ? MergeResult::earlier : MergeResult::applied;
  }
  Entry entry{record, written_at, record_sum(record),
              removals_.emplace(written_at + retention_of(record), key)};
  update_sums(key, entry, true);
  entries_.emplace(std::move(key), std::move(entry));
  return MergeResult::applied;
}

void RegisterTable::remove_outdated(Millis now) {
  while (!removals_.empty() && removals_.begin()->first <= now) {
    auto found = entries_.find(removals_.begin()->second);
    update_sums(found->first, found->second, false);
    conflicting_.erase(found->first);
    removals_.erase(removals_.begin());
    entries_.erase(found);
  }
}

// Bounds the table in case a peer sends ever new names: the entry that would be removed first is evicted, but
// never an operator's order.
bool RegisterTable::make_room() {
  if (entries_.size() < max_entries) return true;
  if (removals_.begin()->second.kind == RegisterKind::offline) return false;
  remove_outdated(removals_.begin()->first);
  return true;
}

void RegisterTable::keep_conflicting(const EntryKey& key, const RegisterRecord& record) {
  auto same = [&](const RegisterRecord& other) {
    return !supersedes(record, other) && !supersedes(other, record);
  };
  auto found = conflicting_.find(key);
  if (found != conflicting_.end() && std::any_of(found->second.begin(), found->second.end(), same)) return;
  if (conflicts_.size() < max_unreported_conflicts) conflicts_.push_back({key, record.version});
  if (found == conflicting_.end() && conflicting_.size() >= max_conflicting_keys)
    conflicting_.erase(conflicting_.begin());
  auto& records = conflicting_[key];
  if (records.size() >= max_records_per_conflict) records.erase(records.begin());
  records.push_back(record);
}

void RegisterTable::update_sums(const EntryKey& key, const Entry& entry, bool added) {
  auto& sums = sums_[static_cast<int>(key.kind)];
  if (sums.empty()) sums.resize(std::size_t{1} << sum_bits);
  auto& sum = sums[first_bits(key.hash, sum_bits)];
  if (added) sum.sum += entry.sum, ++sum.entries;
  else sum.sum -= entry.sum, --sum.entries;
}

const Entry* RegisterTable::find(const EntryKey& key) const {
  auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

Millis RegisterTable::retry_after_end(const std::string& name) const {
  Millis end = -1;
  auto hash = name_hash(name);
  for (auto at = entries_.lower_bound({RegisterKind::retry_after, hash, name, MemberId{}, {}});
       at != entries_.end() && at->first.kind == RegisterKind::retry_after && at->first.name == name; ++at)
    end = std::max(end, at->second.written_at + at->second.record.duration);
  return end;
}

RangeDigest RegisterTable::digest(RegisterKind kind, std::uint64_t prefix, int bits) const {
  RangeDigest range{kind, prefix, static_cast<std::uint8_t>(bits), 0, 0};
  if (bits > sum_bits) {
    for (auto at = range_begin(range); in_range(range, at); ++at)
      range.sum += at->second.sum, ++range.entry_count;
    return range;
  }
  const auto& sums = sums_[static_cast<int>(kind)];
  if (sums.empty()) return range;
  int more_bits = sum_bits - bits;
  for (auto at = prefix << more_bits; at < (prefix + 1) << more_bits; ++at)
    range.sum += sums[at].sum, range.entry_count += sums[at].entries;
  return range;
}

int RegisterTable::split_bits(const RangeDigest& range) { return range.bits < sum_bits ? 4 : 2; }

std::uint32_t RegisterTable::half_sum(const RangeDigest& range) {
  return range.entry_count == 0 ? 0 : std::max(1u, static_cast<std::uint32_t>(range.sum));
}

RangeSplit RegisterTable::split(const RangeDigest& range) const {
  RangeSplit split{range.kind, range.prefix, range.bits, {}};
  int more_bits = split_bits(range);
  for (std::uint64_t i = 0; i < std::uint64_t{1} << more_bits; ++i)
    split.child_sums.push_back(
        half_sum(digest(range.kind, range.prefix << more_bits | i, range.bits + more_bits)));
  return split;
}

std::vector<NameDigest> RegisterTable::names(const RangeDigest& range) const {
  std::vector<NameDigest> digests;
  for (auto at = range_begin(range); in_range(range, at); ++at) {
    if (digests.empty() || digests.back().hash != at->first.hash) digests.push_back({at->first.hash, 0, 0});
    auto& digest = digests.back();
    digest.sum += static_cast<std::uint32_t>(at->second.sum);
    digest.counter = std::max(digest.counter, at->second.record.version.counter);
  }
  return digests;
}

RegisterTable::Entries::const_iterator RegisterTable::range_begin(const RangeDigest& range) const {
  return entries_.lower_bound(
      {range.kind, range.bits == 0 ? 0 : range.prefix << (64 - range.bits), std::string(), MemberId{}, {}});
}

bool RegisterTable::in_range(const RangeDigest& range, Entries::const_iterator at) const {
  return at != entries_.end() && at->first.kind == range.kind &&
         first_bits(at->first.hash, range.bits) == range.prefix;
}

}  // namespace rockcrank::fleet
