#include "codec/gossip/message.hpp"

#include <algorithm>

namespace stonebay::gossip {
namespace {

constexpr char kVersion = 1;
constexpr std::size_t kKeyBytes = kKeyBits / 8, kPositionBytes = 4;
constexpr std::size_t kWord = kKeyBytes + kPositionBytes + 2;  // and its role, and what it holds
constexpr std::size_t kMostWords = (kLongest - 1) / kWord;
constexpr int kMostInflight = 255;

void put(std::string& to, std::uint64_t v, std::size_t bytes) {
  for (std::size_t k = bytes; k-- > 0;) to.push_back(static_cast<char>(v >> (8 * k)));
}
std::uint64_t take(std::string_view& from, std::size_t bytes) {
  std::uint64_t v = 0;
  for (std::size_t k = 0; k < bytes; ++k) v = v << 8 | static_cast<unsigned char>(from[k]);
  from.remove_prefix(bytes);
  return v;
}

}  // namespace

std::vector<std::string> encode(const std::vector<Message>& words) {
  std::vector<std::string> all;
  for (std::size_t k = 0; k < words.size(); ++k) {
    if (k % kMostWords == 0) all.emplace_back(1, kVersion);
    const Message& w = words[k];
    put(all.back(), w.key, kKeyBytes);
    put(all.back(), static_cast<std::uint64_t>(w.positionMs), kPositionBytes);
    put(all.back(), w.primary, 1);
    put(all.back(), static_cast<std::uint64_t>(std::clamp(w.inFlight, 0, kMostInflight)), 1);
  }
  return all;
}

std::vector<Message> parse(std::string_view bytes, std::int64_t nowMs) {
  if (bytes.empty() || bytes.size() > kLongest || bytes[0] != kVersion || (bytes.size() - 1) % kWord != 0)
    return {};
  bytes.remove_prefix(1);
  std::vector<Message> words;
  while (!bytes.empty()) {
    Message w;
    w.key = take(bytes, kKeyBytes);
    const auto low = static_cast<std::uint32_t>(take(bytes, kPositionBytes));
    // The difference in 32 bits, with its sign, is the way from the present to the nearest such instant.
    w.positionMs = nowMs + static_cast<std::int32_t>(low - static_cast<std::uint32_t>(nowMs));
    const std::uint64_t primary = take(bytes, 1);
    if (primary > 1) return {};
    w.primary = primary == 1;
    w.inFlight = static_cast<int>(take(bytes, 1));
    words.push_back(w);
  }
  return words;
}

}  // namespace stonebay::gossip
