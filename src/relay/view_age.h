// Counts how old the view of the world was when calls were written.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "decision/decision.h"

namespace rockcrank {

// A histogram with fixed upper bounds; the last bucket takes all that is older.
class ViewAgeHistogram {
 public:
  void add(Millis age) {
    auto bucket = std::ranges::lower_bound(upper_bounds, age) - upper_bounds.begin();
    ++counts_[static_cast<std::size_t>(bucket)];
  }
  // "1:12,10:3,..." with the upper bound of each bucket in milliseconds.
  std::string text() const {
    std::string all;
    for (std::size_t i = 0; i < counts_.size(); ++i)
      all += (i > 0 ? "," : "") + bound_name(i) + ":" + std::to_string(counts_[i]);
    return all;
  }

 private:
  static constexpr std::array<Millis, 5> upper_bounds{1, max_view_age, 100, 1000, 10000};
  static std::string bound_name(std::size_t bucket) {
    return bucket < upper_bounds.size() ? std::to_string(static_cast<int>(upper_bounds[bucket])) : "more";
  }

  std::array<std::uint64_t, upper_bounds.size() + 1> counts_{};
};

}  // namespace rockcrank
