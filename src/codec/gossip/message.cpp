#include "codec/gossip/message.hpp"

#include <algorithm>

namespace stonebay::gossip {
namespace {

constexpr char kVersion = 1;
constexpr std::size_t kVersionBytes = 1;
constexpr std::size_t kByteBits = 8;
constexpr std::size_t kKeyBytes = kKeyBits / kByteBits;
constexpr std::size_t kPositionBytes = 4;
constexpr std::size_t kPrimaryBytes = 1;
constexpr std::size_t kInFlightBytes = 1;
constexpr std::size_t kEntryBytes = kKeyBytes + kPositionBytes + kPrimaryBytes + kInFlightBytes;
constexpr std::size_t kMaxEntries = (kMaxDatagramBytes - kVersionBytes) / kEntryBytes;

// Appends the low `size` bytes of a value in big-endian order.
void append(std::string& datagram, std::uint64_t value, std::size_t size) {
  for (std::size_t i = size; i > 0; --i)
    datagram.push_back(static_cast<char>(value >> (kByteBits * (i - 1))));
}

// Removes a big-endian value of `size` bytes from the front of the datagram and returns it.
std::uint64_t consume(std::string_view& datagram, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << kByteBits | static_cast<unsigned char>(datagram[i]);
  datagram.remove_prefix(size);
  return value;
}

bool isWellFormed(std::string_view datagram) {
  if (datagram.empty() || datagram.size() > kMaxDatagramBytes || datagram[0] != kVersion) return false;
  return (datagram.size() - kVersionBytes) % kEntryBytes == 0;
}

// Returns the time nearest to `nowMs` that has the given low 32 bits. The signed 32-bit difference to the low
// bits of `nowMs` is the offset from `nowMs` to that time.
std::int64_t restorePosition(std::uint32_t lowBits, std::int64_t nowMs) {
  const std::uint32_t difference = lowBits - static_cast<std::uint32_t>(nowMs);
  return nowMs + static_cast<std::int32_t>(difference);
}

void appendEntry(std::string& datagram, const Message& message) {
  append(datagram, message.key, kKeyBytes);
  append(datagram, static_cast<std::uint64_t>(message.positionMs), kPositionBytes);
  append(datagram, message.primary ? 1 : 0, kPrimaryBytes);
  append(datagram, static_cast<std::uint64_t>(std::clamp(message.inFlight, 0, kMaxInFlight)), kInFlightBytes);
}

}  // namespace

std::vector<std::string> encode(const std::vector<Message>& messages) {
  std::vector<std::string> datagrams;
  for (std::size_t i = 0; i < messages.size(); ++i) {
    if (i % kMaxEntries == 0) datagrams.emplace_back(kVersionBytes, kVersion);
    appendEntry(datagrams.back(), messages[i]);
  }
  return datagrams;
}

std::vector<Message> parse(std::string_view datagram, std::int64_t nowMs) {
  if (!isWellFormed(datagram)) return {};
  datagram.remove_prefix(kVersionBytes);
  std::vector<Message> messages;
  while (!datagram.empty()) {
    Message& message = messages.emplace_back();
    message.key = consume(datagram, kKeyBytes);
    const auto lowBits = static_cast<std::uint32_t>(consume(datagram, kPositionBytes));
    message.positionMs = restorePosition(lowBits, nowMs);
    const std::uint64_t primary = consume(datagram, kPrimaryBytes);
    if (primary > 1) return {};
    message.primary = primary == 1;
    message.inFlight = static_cast<int>(consume(datagram, kInFlightBytes));
  }
  return messages;
}

}  // namespace stonebay::gossip
