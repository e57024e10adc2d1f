// Items ordered by the hash of their key: sorted buckets under a binary tree of sums (a Merkle tree with
// additive hashes), so that the digest of any range of hashes is available at once and an item costs little
// more than its own bytes. An item supplies its own sum (0: not counted). The tree doesn't compare versions.
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

template <typename Item>  // Item has a member key and a method sum()
class DigestTree {
 public:
  struct Sum {
    std::uint64_t sum = 0, key_count = 0;
    bool operator==(const Sum&) const = default;
  };

  std::size_t size() const { return size_; }
  std::size_t memory_bytes() const {
    std::size_t bytes = sums_.capacity() * sizeof(Sum) + buckets_.capacity() * sizeof(buckets_[0]);
    for (const auto& bucket : buckets_)
      bytes += bucket.capacity() * sizeof(Item) + 16;  // 16: allocator overhead
    return bytes;
  }

  const Item* find(const KeyHash& key) const {
    const auto& bucket = buckets_[bucket_of(key.high)];
    auto at = std::ranges::lower_bound(bucket, key, {}, &Item::key);
    return at != bucket.end() && at->key == key ? &*at : nullptr;
  }

  // Inserts the item, or replaces the one of the same key.
  void upsert(const Item& item) {
    auto number = bucket_of(item.key.high);
    auto& bucket = buckets_[number];
    auto at = std::ranges::lower_bound(bucket, item.key, {}, &Item::key);
    if (at != bucket.end() && at->key == item.key) {
      update_sums(number, *at, false), *at = item, update_sums(number, item, true);
      return;
    }
    if (bucket.size() == bucket.capacity()) {
      auto index = at - bucket.begin();
      bucket.reserve(bucket.size() + 4), at = bucket.begin() + index;
    }
    bucket.insert(at, item), update_sums(number, item, true);
    if (++size_ > buckets_.size() * average_bucket_size) split_buckets();
  }

  bool erase(const KeyHash& key) {
    auto number = bucket_of(key.high);
    auto& bucket = buckets_[number];
    auto at = std::ranges::lower_bound(bucket, key, {}, &Item::key);
    if (at == bucket.end() || at->key != key) return false;
    update_sums(number, *at, false), bucket.erase(at), --size_;
    return true;
  }

  Sum sum(std::uint64_t prefix, int prefix_bits) const {
    if (prefix_bits <= depth_)
      return sums_[(std::size_t{1} << prefix_bits) + (prefix_bits ? prefix >> (64 - prefix_bits) : 0)];
    Sum sum;
    for_each(prefix, prefix_bits, [&](const Item& item) { add(sum, item, true); });
    return sum;
  }

  template <typename Visitor>
  void for_each(std::uint64_t prefix, int prefix_bits, Visitor visit) const {
    std::uint64_t last =
        prefix_bits ? prefix | (prefix_bits < 64 ? ~std::uint64_t{0} >> prefix_bits : 0) : ~std::uint64_t{0};
    for (auto number = bucket_of(prefix), end = bucket_of(last); number <= end; ++number)
      for (const Item& item : buckets_[number])
        if (item.key.high >= prefix && item.key.high <= last) visit(item);
  }

  // The first item at or after this key, in the order of hashes; null if there is none.
  const Item* lower_bound(const KeyHash& key) const {
    for (auto number = bucket_of(key.high); number < buckets_.size(); ++number) {
      const auto& bucket = buckets_[number];
      auto at = std::ranges::lower_bound(bucket, key, {}, &Item::key);
      if (at != bucket.end()) return &*at;
    }
    return nullptr;
  }

 private:
  // average number of items per bucket at which all buckets are split
  static constexpr std::size_t average_bucket_size = 24;

  std::size_t bucket_of(std::uint64_t high) const { return depth_ ? high >> (64 - depth_) : 0; }
  static void add(Sum& sum, const Item& item, bool more) {
    auto one = item.sum();
    if (one == 0) return;
    sum.sum += more ? one : 0 - one, sum.key_count += more ? 1 : ~std::uint64_t{0};
  }
  void update_sums(std::size_t number, const Item& item, bool more) {
    for (auto node = buckets_.size() + number; node > 0; node /= 2) add(sums_[node], item, more);
  }
  void split_buckets() {
    std::vector<std::vector<Item>> split(buckets_.size() * 2);
    ++depth_;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
      auto& bucket = buckets_[i];
      auto middle = std::ranges::partition_point(
          bucket, [&](const Item& item) { return bucket_of(item.key.high) == 2 * i; });
      split[2 * i].assign(bucket.begin(), middle), split[2 * i + 1].assign(middle, bucket.end());
      bucket = {};
    }
    buckets_ = std::move(split);
    sums_.assign(2 * buckets_.size(), {});
    for (std::size_t i = 0; i < buckets_.size(); ++i)
      for (const Item& item : buckets_[i]) add(sums_[buckets_.size() + i], item, true);
    for (auto node = buckets_.size() - 1; node > 0; --node) {
      sums_[node].sum = sums_[2 * node].sum + sums_[2 * node + 1].sum;
      sums_[node].key_count = sums_[2 * node].key_count + sums_[2 * node + 1].key_count;
    }
  }

  std::vector<std::vector<Item>> buckets_ =
      std::vector<std::vector<Item>>(1);         // by the first depth_ bits of the hash
  std::vector<Sum> sums_ = std::vector<Sum>(2);  // node n is the sum of nodes 2n and 2n + 1
  int depth_ = 0;
  std::size_t size_ = 0;
};

}  // namespace rockcrank::latest
