// The one list out of several; merge.h says by which rule, and what it must never do.

#include "warm/merge.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace rockcrank::warm {
namespace {

constexpr double other_hall = 0.5;
constexpr Millis longest_use = 600000;

struct Said {
  double value = 0, weight = 0;
};

// The least value at which half of the weight is reached.
double lower_median(std::vector<Said> all) {
  std::sort(all.begin(), all.end(), [](const Said& a, const Said& b) { return a.value < b.value; });
  double whole = 0, reached = 0;
  for (const auto& said : all) whole += said.weight;
  for (const auto& said : all)
    if ((reached += said.weight) >= whole / 2 * (1 - 1e-9)) return said.value;
  return 0;
}

double uses_of(const WarmupMessage& message, ItemKind sort) {
  return sort == ItemKind::endpoint ? message.endpoint_rate : message.key_rate;
}

// The uses behind a list.
double behind(const WarmupMessage& message, ItemKind sort) {
  return uses_of(message, sort) * std::min(message.serving_time, sketch_time_constant) / 1000;
}

}  // namespace

// Guards against lists of a relay that is cold itself, or idle: few uses are behind them.
bool is_eligible(const WarmupMessage& message, ItemKind sort) {
  return behind(message, sort) >= min_uses_behind_list;
}

std::string validation_error(const WarmupMessage& message, std::size_t list_most) {
  auto figure = [](double value) { return std::isfinite(value) && value >= 0; };
  if (!figure(message.serving_time) || !figure(message.endpoint_rate) || !figure(message.key_rate))
    return "a total is no figure";
  if (message.items.size() > list_most) return "the list is too long";
  std::set<std::pair<ItemKind, std::uint64_t>> seen;
  std::map<ItemKind, double> sums;
  for (const auto& one : message.items) {
    if (one.kind != ItemKind::endpoint && one.kind != ItemKind::key) return "a thing of no kind";
    if (!figure(one.rate) || !figure(one.max_overestimate) || one.max_overestimate > one.rate ||
        !figure(one.mean_duration) || one.mean_duration > longest_use)
      return "an entry is no figure";
    if (!seen.emplace(one.kind, one.id).second) return "an entry comes twice";
    sums[one.kind] += one.rate - one.max_overestimate;
  }
  // Sure uses of parts cannot be more than those of the whole.
  for (auto [sort, sum] : sums)
    if (sum > 1.001 * uses_of(message, sort) + 1e-6) return "the entries are more than the whole";
  return {};
}

MergedList merge_lists(const std::vector<NeighbourList>& lists, ItemKind sort) {
  MergedList all;
  std::vector<std::pair<double, const WarmupMessage*>> voices;
  for (const auto& lent : lists) {
    if (!is_eligible(lent.message, sort)) continue;
    double uses = behind(lent.message, sort);
    voices.emplace_back(uses / (uses + min_uses_behind_list) * (lent.same_zone ? 1 : other_hall),
                        &lent.message);
  }
  all.eligible_lists = static_cast<int>(voices.size());
  if (voices.empty()) return all;
  // Guards against one great voice among small ones: it would be the median of itself.
  double sum = 0;
  auto greatest = std::max_element(voices.begin(), voices.end(),
                                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& voice : voices) sum += voice.first;
  if (voices.size() > 1) greatest->first = std::min(greatest->first, sum - greatest->first);

  std::map<std::uint64_t, std::map<const WarmupMessage*, const PopularItem*>> named;
  for (const auto& [weight, message] : voices)
    for (const auto& one : message->items)
      if (one.kind == sort) named[one.id][message] = &one;
  std::map<const WarmupMessage*, std::vector<PopularItem>> apart;
  std::vector<Said> totals;
  for (const auto& [weight, message] : voices) totals.push_back({uses_of(*message, sort), weight});
  all.total_rate = lower_median(totals);
  for (const auto& [id, by] : named) {
    std::vector<Said> uses, over, took;
    for (const auto& [weight, message] : voices) {
      auto found = by.find(message);
      const PopularItem* one = found == by.end() ? nullptr : found->second;
      uses.push_back({one ? one->rate : 0, weight}),
          over.push_back({one ? one->max_overestimate : 0, weight});
      if (one && one->mean_duration > 0) took.push_back({one->mean_duration, weight});
    }
    PopularItem merged{sort, id, lower_median(uses), lower_median(over), lower_median(took)};
    if (merged.rate > 0) all.items.push_back(merged);
    else
      for (auto [message, one] : by) apart[message].push_back(*one);
  }
  auto busiest_first = [](std::vector<PopularItem>& things) {
    std::stable_sort(things.begin(), things.end(),
                     [](const PopularItem& a, const PopularItem& b) { return a.rate > b.rate; });
  };
  busiest_first(all.items);
  for (const auto& [weight, message] : voices) {
    if (!apart.count(message)) continue;
    busiest_first(apart[message]);
    for (auto& one : apart[message]) {
      one.rate =
          std::min(one.rate - one.max_overestimate, all.total_rate / static_cast<double>(voices.size()));
      one.max_overestimate = 0;
    }
    all.excluded_by_source.push_back(std::move(apart[message]));
  }
  return all;
}

}  // namespace rockcrank::warm
