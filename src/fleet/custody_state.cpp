#include "fleet/custody_state.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace rockcrank::fleet {
namespace {

constexpr std::ptrdiff_t max_past_incarnations = 64;

// Orders states by how recent their configuration is. Of two states with the same newest configuration, the
// one with more configurations in force asks more members before it acts.
auto recency(const PersistentGroupState& state) {
  const bool any = !state.configurations.empty();
  return std::tuple(any ? state.configurations.back().term : Version{},
                    any ? state.configurations.back().revision : 0, state.configurations.size(),
                    state.highest_document);
}

}  // namespace

PersistentGroupState merge_group_states(const PersistentGroupState& one, const PersistentGroupState& other) {
  // The highest document goes with its configuration: a successor's is below that of the owner before it.
  PersistentGroupState merged = recency(one) < recency(other) ? other : one;
  merged.voted_term = std::max(one.voted_term, other.voted_term);
  return merged;
}

std::vector<Incarnation> merge_incarnations(const std::vector<Incarnation>& one,
                                            const std::vector<Incarnation>& other) {
  std::set<Incarnation> all(one.begin(), one.end());
  all.insert(other.begin(), other.end());
  const auto surplus = std::max<std::ptrdiff_t>(0, std::ssize(all) - max_past_incarnations);
  return {std::next(all.begin(), surplus), all.end()};
}

}  // namespace rockcrank::fleet
