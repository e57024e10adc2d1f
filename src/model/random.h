// Random numbers of the simulation. They follow from the seed alone, on every machine and in every thread.
// The modules under test don't use them: each draws from its own seed.
#pragma once

#include <cstdint>

namespace rockcrank::model {

// SplitMix64 (Steele, Lea, Flood, "Fast splittable pseudorandom number generators", 2014).
inline std::uint64_t mix_bits(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

template <typename... Ts>
std::uint64_t hash_values(std::uint64_t first, Ts... more) {
  std::uint64_t sum = mix_bits(first + 0x9e3779b97f4a7c15ULL);
  ((sum = mix_bits(sum + 0x9e3779b97f4a7c15ULL + static_cast<std::uint64_t>(more))), ...);
  return sum;
}

// Maps a random number to [0, 1).
inline double unit_interval(std::uint64_t drawn) { return static_cast<double>(drawn >> 11) * 0x1p-53; }

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() { return mix_bits(state_ += 0x9e3779b97f4a7c15ULL); }
  double uniform() { return unit_interval(next()); }
  double between(double low, double high) { return low + (high - low) * uniform(); }
  int uniform_below(int bound) { return static_cast<int>(next() % static_cast<std::uint64_t>(bound)); }
  bool bernoulli(double probability) { return uniform() < probability; }

 private:
  std::uint64_t state_;
};

}  // namespace rockcrank::model
