// The rules by which copies are settled, as the table in docs/fleet.md has them; register_table.h says what
// it owns. The sums are kept for the first split only; what lies deeper is summed as it is asked for.

#include "fleet/register_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rockcrank::fleet {
namespace {

// A finished wait is known for so long, so that a slower copy of it does not begin again.
constexpr Millis retry_after_retention = 60e3;
// Breakers that nobody has evidence of for so long are of no use to anyone.
constexpr Millis outage_retention = 30 * 60e3;
constexpr Millis limit_retention = 60e3;
// An order to put back is known for so long; the order to take out that it went over is older. A member that
// was away for longer may bring that back, which errs to the careful side and is named in every log.
constexpr Millis online_retention = 30 * 24 * 3600e3;
constexpr Millis forever = 1e15;

constexpr std::size_t max_entries = 1 << 18;
constexpr std::size_t max_conflicting_keys = 64, max_records_per_conflict = 4, max_unreported_conflicts = 64;
constexpr int sum_bits = 12;  // of the hash, of the ranges whose sums are kept

double caution_of(const RegisterRecord& word) {
  switch (word.kind) {
    case RegisterKind::retry_after: return word.duration;
    case RegisterKind::outage:
      return word.state == RouteState::down ? 2 : word.state == RouteState::recovering ? 1 : 0;
    case RegisterKind::rate_limit: return -word.rate_limit;
    case RegisterKind::offline: return word.offline;
  }
  return 0;
}

// All of a word but its age. Newer versions first; at an equal count the more careful word; the rest only so
// that the order is total.
auto order_of(const RegisterRecord& word) {
  return std::make_tuple(word.version.counter, caution_of(word), word.version.origin, word.duration,
                         word.state, word.rate_before_outage, word.rate_limit, word.remaining_share,
                         word.offline, word.incarnation);
}

std::uint64_t record_sum(const RegisterRecord& word) {
  std::string bytes = word.name;
  auto add = [&](const auto& value) { bytes.append(reinterpret_cast<const char*>(&value), sizeof value); };
  // Zero has two forms that are equal.
  for (double value : {word.duration, word.rate_before_outage, word.rate_limit, word.remaining_share})
    add(value == 0 ? 0.0 : value);
  add(word.kind), add(word.version.counter), add(word.version.origin), add(word.incarnation.number);
  add(word.incarnation.nonce), add(word.state), add(word.offline);
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t first_bits(std::uint64_t hash, int bits) { return bits == 0 ? 0 : hash >> (64 - bits); }

}  // namespace

std::uint64_t name_hash(const std::string& subject) { return XXH3_64bits(subject.data(), subject.size()); }

EntryKey key_of(const RegisterRecord& word) {
  bool each = word.kind == RegisterKind::retry_after;
  return {word.kind, name_hash(word.name), word.name, each ? word.version.origin : MemberId{},
          each ? word.incarnation : Incarnation{}};
}

int priority_of(RegisterKind matter) {
  return static_cast<int>(std::find(std::begin(kinds_by_priority), std::end(kinds_by_priority), matter) -
                          std::begin(kinds_by_priority));
}

bool supersedes(const RegisterRecord& word, const RegisterRecord& other) {
  return order_of(word) > order_of(other);
}

Millis retention_of(const RegisterRecord& word) {
  switch (word.kind) {
    case RegisterKind::retry_after: return word.duration + retry_after_retention;
    case RegisterKind::outage: return outage_retention;
    case RegisterKind::rate_limit: return limit_retention;
    case RegisterKind::offline: return word.offline ? forever : online_retention;
  }
  return 0;
}

RegisterTable::MergeResult RegisterTable::merge(const RegisterRecord& word, Millis said_at, Millis now) {
  if (now - said_at >= retention_of(word)) return MergeResult::outdated;
  auto key = key_of(word);
  auto found = entries_.find(key);
  if (found == entries_.end() && !make_room()) return MergeResult::full;
  if (found != entries_.end()) {
    Entry& held = found->second;
    bool over = supersedes(word, held.record), same = !over && !supersedes(held.record, word);
    // Guards against two processes that count alike, as after a restored machine image: both words are kept.
    if (!same && word.version == held.record.version) keep_conflicting(key, over ? held.record : word);
    if (same && said_at >= held.written_at) return MergeResult::duplicate;
    if (!same && !over) return MergeResult::stale;
    update_sums(key, held, false);
    removals_.erase(held.removal);
    held.record = word, held.written_at = said_at, held.sum = record_sum(word);
    held.removal = removals_.emplace(said_at + retention_of(word), key);
    update_sums(key, held, true);
    return same ? MergeResult::earlier : MergeResult::applied;
  }
  Entry entry{word, said_at, record_sum(word), removals_.emplace(said_at + retention_of(word), key)};
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

// Guards against a peer that makes up subjects without end: what ends soonest goes, but never an order of
// staff.
bool RegisterTable::make_room() {
  if (entries_.size() < max_entries) return true;
  if (removals_.begin()->second.kind == RegisterKind::offline) return false;
  remove_outdated(removals_.begin()->first);
  return true;
}

void RegisterTable::keep_conflicting(const EntryKey& key, const RegisterRecord& word) {
  auto alike = [&](const RegisterRecord& other) {
    return !supersedes(word, other) && !supersedes(other, word);
  };
  auto found = conflicting_.find(key);
  if (found != conflicting_.end() && std::any_of(found->second.begin(), found->second.end(), alike)) return;
  if (conflicts_.size() < max_unreported_conflicts) conflicts_.push_back({key, word.version});
  if (found == conflicting_.end() && conflicting_.size() >= max_conflicting_keys)
    conflicting_.erase(conflicting_.begin());
  auto& words = conflicting_[key];
  if (words.size() >= max_records_per_conflict) words.erase(words.begin());
  words.push_back(word);
}

void RegisterTable::update_sums(const EntryKey& key, const Entry& entry, bool in) {
  auto& sums = sums_[static_cast<int>(key.kind)];
  if (sums.empty()) sums.resize(std::size_t{1} << sum_bits);
  auto& sum = sums[first_bits(key.hash, sum_bits)];
  if (in) sum.sum += entry.sum, ++sum.entries;
  else sum.sum -= entry.sum, --sum.entries;
}

const Entry* RegisterTable::find(const EntryKey& key) const {
  auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

Millis RegisterTable::retry_after_end(const std::string& subject) const {
  Millis end = -1;
  auto hash = name_hash(subject);
  for (auto at = entries_.lower_bound({RegisterKind::retry_after, hash, subject, MemberId{}, {}});
       at != entries_.end() && at->first.kind == RegisterKind::retry_after && at->first.name == subject; ++at)
    end = std::max(end, at->second.written_at + at->second.record.duration);
  return end;
}

RangeDigest RegisterTable::digest(RegisterKind matter, std::uint64_t prefix, int bits) const {
  RangeDigest range{matter, prefix, static_cast<std::uint8_t>(bits), 0, 0};
  if (bits > sum_bits) {
    for (auto at = range_begin(range); in_range(range, at); ++at)
      range.sum += at->second.sum, ++range.entry_count;
    return range;
  }
  const auto& sums = sums_[static_cast<int>(matter)];
  if (sums.empty()) return range;
  int below = sum_bits - bits;
  for (auto at = prefix << below; at < (prefix + 1) << below; ++at)
    range.sum += sums[at].sum, range.entry_count += sums[at].entries;
  return range;
}

int RegisterTable::split_bits(const RangeDigest& range) { return range.bits < sum_bits ? 4 : 2; }

std::uint32_t RegisterTable::half_sum(const RangeDigest& range) {
  return range.entry_count == 0 ? 0 : std::max(1u, static_cast<std::uint32_t>(range.sum));
}

RangeSplit RegisterTable::split(const RangeDigest& range) const {
  RangeSplit split{range.kind, range.prefix, range.bits, {}};
  int by = split_bits(range);
  for (std::uint64_t i = 0; i < std::uint64_t{1} << by; ++i)
    split.child_sums.push_back(half_sum(digest(range.kind, range.prefix << by | i, range.bits + by)));
  return split;
}

std::vector<NameDigest> RegisterTable::names(const RangeDigest& range) const {
  std::vector<NameDigest> heads;
  for (auto at = range_begin(range); in_range(range, at); ++at) {
    if (heads.empty() || heads.back().hash != at->first.hash) heads.push_back({at->first.hash, 0, 0});
    auto& head = heads.back();
    head.sum += static_cast<std::uint32_t>(at->second.sum);
    head.counter = std::max(head.counter, at->second.record.version.counter);
  }
  return heads;
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
