// A string hash that has the same result in every process.
#pragma once

#include <cstdint>
#include <string_view>

namespace stonebay {

/// Returns the 64-bit FNV-1a hash. It does not resist keys that are chosen to collide.
inline std::uint64_t fnv1a(std::string_view text) {
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t hash = kOffsetBasis;
  for (const unsigned char byte : text) hash = (hash ^ byte) * kPrime;
  return hash;
}

}  // namespace stonebay
