// The datagrams by which proxies share what they know of endpoints. Pure: no sockets.
//
// A datagram is a version byte and any number of entries, big-endian: the endpoint's key (6 bytes), the low
// 32 bits of its position in Unix milliseconds, 1 if it is a primary or else 0, its requests in flight (1
// byte).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stonebay::gossip {

/// No datagram is longer.
constexpr std::size_t kMaxDatagramBytes = 256;
/// Bits of a key that are sent.
constexpr std::uint64_t kKeyBits = 48;
/// Stands for all greater counts of requests in flight.
constexpr int kMaxInFlight = 255;

/// What one proxy has learned of an endpoint.
struct Message {
  std::uint64_t key = 0;        ///< hash of the endpoint's name, kKeyBits wide
  std::int64_t positionMs = 0;  ///< Unix time: the endpoint has applied all commits up to here
  bool primary = false;
  int inFlight = 0;  ///< requests at the endpoint, at most kMaxInFlight after the way through a datagram
};

/// As many datagrams as the messages need, in their order.
std::vector<std::string> encode(const std::vector<Message>& messages);

/// The messages of a datagram; none if it is not well-formed or of another version. A position is taken as
/// the instant nearest to `nowMs` that has the low 32 bits which were sent.
std::vector<Message> parse(std::string_view datagram, std::int64_t nowMs);

}  // namespace stonebay::gossip
