// A hash of text that is the same in every process: FNV-1a.
#pragma once

#include <cstdint>
#include <string_view>

namespace stonebay {

inline std::uint64_t fnv1a(std::string_view text) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (const unsigned char c : text) h = (h ^ c) * 0x100000001b3ull;
  return h;
}

}  // namespace stonebay
