// Pseudo-random numbers that depend only on a seed and on keys.
#pragma once

#include <cstdint>

namespace stonebay::balancer {

/// A hash function of one or two keys. Different seeds give different functions.
class SeededHash {
 public:
  explicit SeededHash(std::uint64_t seed) : seed_(seed) {}

  std::uint64_t operator()(std::uint64_t first, std::uint64_t second = 0) const {
    constexpr std::uint64_t kFirstMultiplier = 0x9e3779b97f4a7c15ULL;
    constexpr std::uint64_t kSecondMultiplier = 0xc2b2ae3d27d4eb4fULL;
    constexpr std::uint64_t kMixMultiplier = 0xbf58476d1ce4e5b9ULL;
    std::uint64_t mixed = seed_ + kFirstMultiplier * (first + 1) + kSecondMultiplier * second;
    for (int round = 0; round < 2; ++round) mixed = (mixed ^ (mixed >> 31)) * kMixMultiplier;
    return mixed ^ (mixed >> 29);
  }

  /// Returns the hash as a number that is uniformly distributed in [0, 1).
  double fraction(std::uint64_t first, std::uint64_t second = 0) const {
    return static_cast<double>((*this)(first, second) >> 11) * 0x1p-53;
  }

 private:
  std::uint64_t seed_;
};

}  // namespace stonebay::balancer
