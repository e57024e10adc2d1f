// Validation and weighted median of popularity lists; see merge.h.

#include "warm/merge.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace rockcrank::warm {
namespace {

constexpr double other_zone_weight = 0.5;
constexpr Millis max_use_duration = 600000;

struct WeightedValue {
  double value = 0, weight = 0;
};

// The smallest value at which half of the total weight is reached.
double lower_median(std::vector<WeightedValue> merged_list) {
  std::sort(merged_list.begin(), merged_list.end(),
            [](const WeightedValue& a, const WeightedValue& b) { return a.value < b.value; });
  double total_weight = 0, reached = 0;
  for (const auto& weighted : merged_list) total_weight += weighted.weight;
  for (const auto& weighted : merged_list)
    if ((reached += weighted.weight) >= total_weight / 2 * (1 - 1e-9)) return weighted.value;
  return 0;
}

double total_rate(const WarmupMessage& message, ItemKind kind) {
  return kind == ItemKind::endpoint ? message.endpoint_rate : message.key_rate;
}

// The number of uses behind a list.
double uses_behind(const WarmupMessage& message, ItemKind kind) {
  return total_rate(message, kind) * std::min(message.serving_time, sketch_time_constant) / 1000;
}

}  // namespace

// Excludes lists of relays that are cold or idle themselves: few uses are behind them.
bool is_eligible(const WarmupMessage& message, ItemKind kind) {
  return uses_behind(message, kind) >= min_uses_behind_list;
}

std::string validation_error(const WarmupMessage& message, std::size_t list_most) {
  auto is_valid_number = [](double value) { return std::isfinite(value) && value >= 0; };
  if (!is_valid_number(message.serving_time) || !is_valid_number(message.endpoint_rate) ||
      !is_valid_number(message.key_rate))
    return "a total is not a finite, non-negative number";
  if (message.items.size() > list_most) return "the list is too long";
  std::set<std::pair<ItemKind, std::uint64_t>> listed;
  std::map<ItemKind, double> rate_sums;
  for (const auto& item : message.items) {
    if (item.kind != ItemKind::endpoint && item.kind != ItemKind::key) return "an item has an unknown kind";
    if (!is_valid_number(item.rate) || !is_valid_number(item.max_overestimate) ||
        item.max_overestimate > item.rate || !is_valid_number(item.mean_duration) ||
        item.mean_duration > max_use_duration)
      return "an item has an invalid number";
    if (!listed.emplace(item.kind, item.id).second) return "an item is listed twice";
    rate_sums[item.kind] += item.rate - item.max_overestimate;
  }
  // The guaranteed rates of the items cannot add up to more than the total.
  for (auto [kind, sum] : rate_sums)
    if (sum > 1.001 * total_rate(message, kind) + 1e-6) return "the rates of the items exceed the total";
  return {};
}

MergedList merge_lists(const std::vector<NeighbourList>& lists, ItemKind kind) {
  MergedList merged_list;
  std::vector<std::pair<double, const WarmupMessage*>> weighted_lists;
  for (const auto& list : lists) {
    if (!is_eligible(list.message, kind)) continue;
    double uses = uses_behind(list.message, kind);
    weighted_lists.emplace_back(
        uses / (uses + min_uses_behind_list) * (list.same_zone ? 1 : other_zone_weight), &list.message);
  }
  merged_list.eligible_lists = static_cast<int>(weighted_lists.size());
  if (weighted_lists.empty()) return merged_list;
  // Caps the greatest weight, as one large weight among small ones would alone decide the median.
  double sum = 0;
  auto heaviest = std::max_element(weighted_lists.begin(), weighted_lists.end(),
                                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& weighted_list : weighted_lists) sum += weighted_list.first;
  if (weighted_lists.size() > 1) heaviest->first = std::min(heaviest->first, sum - heaviest->first);

  std::map<std::uint64_t, std::map<const WarmupMessage*, const PopularItem*>> reports;
  for (const auto& [weight, message] : weighted_lists)
    for (const auto& item : message->items)
      if (item.kind == kind) reports[item.id][message] = &item;
  std::map<const WarmupMessage*, std::vector<PopularItem>> excluded;
  std::vector<WeightedValue> totals;
  for (const auto& [weight, message] : weighted_lists) totals.push_back({total_rate(*message, kind), weight});
  merged_list.total_rate = lower_median(totals);
  for (const auto& [id, by_source] : reports) {
    std::vector<WeightedValue> uses, overestimates, durations;
    for (const auto& [weight, message] : weighted_lists) {
      auto found = by_source.find(message);
      const PopularItem* item = found == by_source.end() ? nullptr : found->second;
      uses.push_back({item ? item->rate : 0, weight}),
          overestimates.push_back({item ? item->max_overestimate : 0, weight});
      if (item && item->mean_duration > 0) durations.push_back({item->mean_duration, weight});
    }
    PopularItem merged_item{kind, id, lower_median(uses), lower_median(overestimates),
                            lower_median(durations)};
    if (merged_item.rate > 0) merged_list.items.push_back(merged_item);
    else
      for (auto [message, item] : by_source) excluded[message].push_back(*item);
  }
  auto busiest_first = [](std::vector<PopularItem>& items) {
    std::stable_sort(items.begin(), items.end(),
                     [](const PopularItem& a, const PopularItem& b) { return a.rate > b.rate; });
  };
  busiest_first(merged_list.items);
  for (const auto& [weight, message] : weighted_lists) {
    if (!excluded.count(message)) continue;
    busiest_first(excluded[message]);
    for (auto& item : excluded[message]) {
      item.rate = std::min(item.rate - item.max_overestimate,
                           merged_list.total_rate / static_cast<double>(weighted_lists.size()));
      item.max_overestimate = 0;
    }
    merged_list.excluded_by_source.push_back(std::move(excluded[message]));
  }
  return merged_list;
}

}  // namespace rockcrank::warm
