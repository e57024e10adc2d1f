// The recent answers on one connection, by which a copy of one of them is told from a further answer.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

#include "settings/settings.h"

namespace rockcrank {

class AnswerHistory {
 public:
  // As handed over between processes.
  struct Snapshot {
    std::vector<std::uint64_t> hashes;
    int answers = 0;
    bool all_proved = true, has_refusal = false;
  };

  AnswerHistory() = default;
  explicit AnswerHistory(Snapshot snapshot) : state_(std::move(snapshot)) {}
  const Snapshot& snapshot() const { return state_; }

  int answers() const { return state_.answers; }
  // Whether each answer so far was proved to be that of its call. Else a further one may belong to any of
  // them.
  bool all_proved() const { return state_.all_proved; }
  bool has_refusal() const { return state_.has_refusal; }
  bool contains(std::string_view answer) const {
    return std::ranges::find(state_.hashes, fnv1a_hash(answer)) != state_.hashes.end();
  }
  void add(std::string_view answer, bool proved, bool refused) {
    ++state_.answers;
    if (!proved) state_.all_proved = false;
    if (refused) state_.has_refusal = true;
    if (contains(answer)) return;
    if (state_.hashes.size() == max_hashes) state_.hashes.erase(state_.hashes.begin());
    state_.hashes.push_back(fnv1a_hash(answer));
  }

 private:
  static constexpr std::size_t max_hashes = 32;
  Snapshot state_;
};

}  // namespace rockcrank
