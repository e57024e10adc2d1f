// The sketch of what is used most; space_saving.h says what it owns, promises, and must never do.

#include "warm/space_saving.h"

#include <cmath>

namespace rockcrank::warm {
namespace {

// Guards against weights that outgrow a double: counts are brought back to a newer base before e^32.
constexpr double spans_most = 32;

}  // namespace

double SpaceSaving::weight(Millis now) const { return std::exp((now - base_) / span_); }

void SpaceSaving::move_base(Millis now) {
  if (now - base_ <= spans_most * span_) return;
  double shrunk = 1 / weight(now);
  base_ = now, total_ *= shrunk;
  by_count_.clear();
  for (auto& [id, entry] : held_) {
    entry.count *= shrunk, entry.max_overestimate *= shrunk, entry.total_duration *= shrunk;
    by_count_.emplace(entry.count, id);
  }
}

void SpaceSaving::add(Millis now, std::uint64_t id, Millis took) {
  if (most_ == 0) return;
  move_base(now);
  double one = weight(now);
  total_ += one;
  auto found = held_.find(id);
  if (found == held_.end() && held_.size() >= most_) {
    // The least makes way, and its count is what the newcomer may have had unseen.
    auto least = *by_count_.begin();
    held_.erase(least.second), by_count_.erase(by_count_.begin());
    found = held_.emplace(id, Entry{id, least.first, least.first, 0}).first;
  } else if (found == held_.end()) found = held_.emplace(id, Entry{id, 0, 0, 0}).first;
  else by_count_.erase({found->second.count, id});
  found->second.count += one, found->second.total_duration += one * took;
  by_count_.emplace(found->second.count, id);
}

double SpaceSaving::total(Millis now) const { return total_ / weight(now); }

std::vector<SpaceSaving::Entry> SpaceSaving::top(Millis now, std::size_t most) const {
  std::vector<Entry> all;
  double unit = weight(now);
  for (auto at = by_count_.rbegin(); at != by_count_.rend() && all.size() < most; ++at) {
    Entry entry = held_.at(at->second);
    entry.count /= unit, entry.max_overestimate /= unit, entry.total_duration /= unit;
    all.push_back(entry);
  }
  return all;
}

}  // namespace rockcrank::warm
