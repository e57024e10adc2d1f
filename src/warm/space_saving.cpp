// Space-Saving with forward decay; see space_saving.h.

#include "warm/space_saving.h"

#include <cmath>

namespace rockcrank::warm {
namespace {

// Counts are rescaled to a newer base before their weights exceed e^32, far below the limit of a double.
constexpr double max_time_constants = 32;

}  // namespace

double SpaceSaving::weight(Millis now) const { return std::exp((now - base_time_) / time_constant_); }

void SpaceSaving::move_base(Millis now) {
  if (now - base_time_ <= max_time_constants * time_constant_) return;
  double factor = 1 / weight(now);
  base_time_ = now, total_ *= factor;
  by_count_.clear();
  for (auto& [id, entry] : entries_) {
    entry.count *= factor, entry.max_overestimate *= factor, entry.total_duration *= factor;
    by_count_.emplace(entry.count, id);
  }
}

void SpaceSaving::add(Millis now, std::uint64_t id, Millis duration) {
  if (capacity_ == 0) return;
  move_base(now);
  double use_weight = weight(now);
  total_ += use_weight;
  auto found = entries_.find(id);
  if (found == entries_.end() && entries_.size() >= capacity_) {
    // The item with the lowest count is evicted, and its count bounds how often the new one was missed.
    auto least = *by_count_.begin();
    entries_.erase(least.second), by_count_.erase(by_count_.begin());
    found = entries_.emplace(id, Entry{id, least.first, least.first, 0}).first;
  } else if (found == entries_.end()) found = entries_.emplace(id, Entry{id, 0, 0, 0}).first;
  else by_count_.erase({found->second.count, id});
  found->second.count += use_weight, found->second.total_duration += use_weight * duration;
  by_count_.emplace(found->second.count, id);
}

double SpaceSaving::total(Millis now) const { return total_ / weight(now); }

std::vector<SpaceSaving::Entry> SpaceSaving::top(Millis now, std::size_t limit) const {
  std::vector<Entry> entries;
  double scale = weight(now);
  for (auto by_rank = by_count_.rbegin(); by_rank != by_count_.rend() && entries.size() < limit; ++by_rank) {
    Entry entry = entries_.at(by_rank->second);
    entry.count /= scale, entry.max_overestimate /= scale, entry.total_duration /= scale;
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace rockcrank::warm
