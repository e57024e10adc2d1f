// Merges the popularity lists of several neighbours: the rate of each item is the lower weighted median of
// the reported rates. The weight of a list grows with the number of uses behind it and is at most one,
// whatever the neighbour claims; a list with too few uses is not eligible, and none outweighs all others
// together. So with three or more eligible lists, one that is stale, empty, cold or false moves no rate
// beyond what another reports too; with two, each rate is the lower of both; a single list may spend only
// part of the budget.
#pragma once

#include <string>
#include <vector>

#include "warm/warm.h"

namespace rockcrank::warm {

constexpr Millis sketch_time_constant = 60000;  // of the sketches: a use this long ago counts 1/e
constexpr double min_uses_behind_list = 20;     // uses behind a list before it is eligible

struct NeighbourList {
  bool same_zone = false;  // relays of another zone prefer other endpoints of the same destinations
  WarmupMessage message;
};

struct MergedList {
  std::vector<PopularItem> items;  // highest rate first
  double total_rate = 0;           // per second, of all items together
  int eligible_lists = 0;
  // Items that the median leaves out, by the neighbour that listed them, highest rate first, because members
  // may have different traffic. No rate here exceeds one list's share of the total rate. A caller that uses
  // these must give each neighbour the same share of the budget.
  std::vector<std::vector<PopularItem>> excluded_by_source;
};

// Empty if the message is consistent, otherwise the reason why it is not.
std::string validation_error(const WarmupMessage& message, std::size_t list_most);
bool is_eligible(const WarmupMessage& message, ItemKind kind);
MergedList merge_lists(const std::vector<NeighbourList>& lists, ItemKind kind);

}  // namespace rockcrank::warm
