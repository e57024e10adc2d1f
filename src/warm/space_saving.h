// Owns the sketch of what is used most: at most so many entries, each with a count that fades, by
// Space-Saving (Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data
// Streams", 2005). The fading is exact: weights grow towards the present instead of counts shrinking
// (Cormode, Shkapenyuk, Srivastava, Xu, "Forward Decay", 2009), so the bounds of the method hold for the
// faded counts:
//   count - most_over <= true count <= count, and most_over <= total / entries,
// but for rounding (one part in 10^9). It must never hold more than its entries, nor decide what follows.
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
    double count = 0, max_overestimate = 0;  // uses, faded
    double total_duration = 0;  // ms that they took, faded; of those counted since the entry got its place
  };

  // span: a use of that long ago counts 1/e of one of now.
  SpaceSaving(std::size_t entries, Millis span) : most_(entries), span_(span) {}

  void add(Millis now, std::uint64_t id, Millis took);         // now: never before that of an earlier call
  double total(Millis now) const;                              // of all uses, faded; exact
  std::vector<Entry> top(Millis now, std::size_t most) const;  // the largest first; alike counts by id
  std::size_t size() const { return held_.size(); }

 private:
  void move_base(Millis now);
  double weight(Millis now) const;

  std::size_t most_;
  Millis span_, base_ = 0;
  double total_ = 0;
  std::map<std::uint64_t, Entry> held_;
  std::set<std::pair<double, std::uint64_t>> by_count_;
};

}  // namespace rockcrank::warm
