// A sketch of the most frequent items: a fixed number of entries with decaying counts, by Space-Saving
// (Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data Streams",
// 2005). The decay is exact: weights grow towards the present instead of counts shrinking (Cormode,
// Shkapenyuk, Srivastava, Xu, "Forward Decay", 2009), so the bounds of the method hold for the decayed
// counts, apart from rounding (one part in 10^9):
//   count - max_overestimate <= true count <= count, and max_overestimate <= total / entries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "decision/decision.h"

namespace rockcrank::warm {

class SpaceSaving {
 public:
  struct Entry {
    std::uint64_t id = 0;
    double count = 0, max_overestimate = 0;  // uses, decayed
    // decayed sum of their durations in ms; of those counted since the entry was inserted
    double total_duration = 0;
  };

  // time_constant: a use this long ago counts 1/e of one now.
  SpaceSaving(std::size_t entries, Millis time_constant)
      : capacity_(entries), time_constant_(time_constant) {}

  void add(Millis now, std::uint64_t id, Millis duration);  // now must not be earlier than in a previous call
  double total(Millis now) const;                           // decayed number of all uses; exact
  // highest count first; equal counts by id, descending
  std::vector<Entry> top(Millis now, std::size_t limit) const;
  std::size_t size() const { return entries_.size(); }

 private:
  void move_base(Millis now);
  double weight(Millis now) const;

  std::size_t capacity_;
  Millis time_constant_, base_time_ = 0;
  double total_ = 0;
  std::map<std::uint64_t, Entry> entries_;
  std::set<std::pair<double, std::uint64_t>> by_count_;
};

}  // namespace rockcrank::warm
