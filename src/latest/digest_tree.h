// Owns how items are kept by the hash of their key: sorted cells under a binary tree of sums, so that the
// digest of any range of hashes is read at once and an item costs little more than its own bytes. Items tell
// their own sum (0: not counted). It must never decide which of two items is the newer.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "latest/latest.h"

namespace rockcrank::latest {

inline std::uint64_t hash_combine(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a * 0x9e3779b97f4a7c15ULL + b;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
inline std::uint64_t hash_combine(const HybridTimestamp& stamp, std::uint64_t with) {
  return hash_combine(
      hash_combine(hash_combine(stamp.wall_time, stamp.counter), static_cast<std::uint64_t>(stamp.origin)),
      with);
}

template <typename Item>  // with key, and sum()
class DigestTree {
 public:
  struct Sum {
    std::uint64_t sum = 0, key_count = 0;
    bool operator==(const Sum&) const = default;
  };

  std::size_t size() const { return size_; }
  std::size_t memory_bytes() const {
    std::size_t bytes = sums_.capacity() * sizeof(Sum) + cells_.capacity() * sizeof(cells_[0]);
    for (const auto& cell : cells_) bytes += cell.capacity() * sizeof(Item) + 16;  // 16: of the heap's own
    return bytes;
  }

  const Item* find(const KeyHash& key) const {
    const auto& cell = cells_[cell_of(key.high)];
    auto at = std::ranges::lower_bound(cell, key, {}, &Item::key);
    return at != cell.end() && at->key == key ? &*at : nullptr;
  }

  // Added, or in the place of the one of its key.
  void upsert(const Item& item) {
    auto number = cell_of(item.key.high);
    auto& cell = cells_[number];
    auto at = std::ranges::lower_bound(cell, item.key, {}, &Item::key);
    if (at != cell.end() && at->key == item.key) {
      count(number, *at, false), *at = item, count(number, item, true);
      return;
    }
    if (cell.size() == cell.capacity()) {
      auto place = at - cell.begin();
      cell.reserve(cell.size() + 4), at = cell.begin() + place;
    }
    cell.insert(at, item), count(number, item, true);
    if (++size_ > cells_.size() * full) split();
  }

  bool erase(const KeyHash& key) {
    auto number = cell_of(key.high);
    auto& cell = cells_[number];
    auto at = std::ranges::lower_bound(cell, key, {}, &Item::key);
    if (at == cell.end() || at->key != key) return false;
    count(number, *at, false), cell.erase(at), --size_;
    return true;
  }

  Sum sum(std::uint64_t prefix, int bits) const {
    if (bits <= depth_) return sums_[(std::size_t{1} << bits) + (bits ? prefix >> (64 - bits) : 0)];
    Sum sum;
    for_each(prefix, bits, [&](const Item& item) { add(sum, item, true); });
    return sum;
  }

  template <typename Taker>
  void for_each(std::uint64_t prefix, int bits, Taker take) const {
    std::uint64_t last = bits ? prefix | (bits < 64 ? ~std::uint64_t{0} >> bits : 0) : ~std::uint64_t{0};
    for (auto number = cell_of(prefix), end = cell_of(last); number <= end; ++number)
      for (const Item& item : cells_[number])
        if (item.key.high >= prefix && item.key.high <= last) take(item);
  }

  // The first at or behind this key, in the order of hashes; none: null.
  const Item* lower_bound(const KeyHash& key) const {
    for (auto number = cell_of(key.high); number < cells_.size(); ++number) {
      const auto& cell = cells_[number];
      auto at = std::ranges::lower_bound(cell, key, {}, &Item::key);
      if (at != cell.end()) return &*at;
    }
    return nullptr;
  }

 private:
  static constexpr std::size_t full = 24;  // items a cell, on average, before all cells are split

  std::size_t cell_of(std::uint64_t high) const { return depth_ ? high >> (64 - depth_) : 0; }
  static void add(Sum& sum, const Item& item, bool more) {
    auto one = item.sum();
    if (one == 0) return;
    sum.sum += more ? one : 0 - one, sum.key_count += more ? 1 : ~std::uint64_t{0};
  }
  void count(std::size_t number, const Item& item, bool more) {
    for (auto node = cells_.size() + number; node > 0; node /= 2) add(sums_[node], item, more);
  }
  void split() {
    std::vector<std::vector<Item>> halves(cells_.size() * 2);
    ++depth_;
    for (std::size_t i = 0; i < cells_.size(); ++i) {
      auto& cell = cells_[i];
      auto middle = std::ranges::partition_point(
          cell, [&](const Item& item) { return cell_of(item.key.high) == 2 * i; });
      halves[2 * i].assign(cell.begin(), middle), halves[2 * i + 1].assign(middle, cell.end());
      cell = {};
    }
    cells_ = std::move(halves);
    sums_.assign(2 * cells_.size(), {});
    for (std::size_t i = 0; i < cells_.size(); ++i)
      for (const Item& item : cells_[i]) add(sums_[cells_.size() + i], item, true);
    for (auto node = cells_.size() - 1; node > 0; --node) {
      sums_[node].sum = sums_[2 * node].sum + sums_[2 * node + 1].sum;
      sums_[node].key_count = sums_[2 * node].key_count + sums_[2 * node + 1].key_count;
    }
  }

  std::vector<std::vector<Item>> cells_ =
      std::vector<std::vector<Item>>(1);         // by the first depth_ bits of the hash
  std::vector<Sum> sums_ = std::vector<Sum>(2);  // node n is the sum of nodes 2n and 2n + 1
  int depth_ = 0;
  std::size_t size_ = 0;
};

}  // namespace rockcrank::latest
