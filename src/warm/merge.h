// Owns how lists that several neighbours lent become one: for each thing the lower weighted median of what
// they say. A lender's weight grows with the uses behind its list and is at most one, whatever it claims; one
// with too few uses has no voice, and none outweighs all others together. So with three voices or more one
// that is stale, empty, cold or lying moves no figure beyond what another says too; with two, each figure is
// the lower of both; one alone may spend only a part of the budget. It must never ask, wait, or know who is
// being warmed.
#pragma once

#include <string>
#include <vector>

#include "warm/warm.h"

namespace rockcrank::warm {

constexpr Millis sketch_time_constant = 60000;  // of the sketches: a use of that long ago counts 1/e
constexpr double min_uses_behind_list = 20;     // behind a list, before it has a voice

struct NeighbourList {
  bool same_zone = false;  // another hall's relays prefer other endpoints of the same destinations
  WarmupMessage message;
};

struct MergedList {
  std::vector<PopularItem> items;  // the busiest first
  double total_rate = 0;           // a second, of all things together
  int eligible_lists = 0;
  // What the median leaves out, by who named it, the busiest first: members may have different traffic. No
  // rate here is above a voice's part of all uses; who heeds these must give no lender more room than
  // another.
  std::vector<std::vector<PopularItem>> excluded_by_source;
};

// Empty: it can be believed as far as it goes; else what speaks against it.
std::string validation_error(const WarmupMessage& message, std::size_t list_most);
bool is_eligible(const WarmupMessage& message, ItemKind sort);
MergedList merge_lists(const std::vector<NeighbourList>& lists, ItemKind sort);

}  // namespace rockcrank::warm
