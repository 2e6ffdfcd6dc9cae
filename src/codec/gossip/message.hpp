// Encodes and parses the gossip datagrams in which proxies share their knowledge of endpoints. Pure functions
// without sockets.
//
// A datagram is a version byte followed by any number of entries, in big-endian order. An entry is the key of
// the endpoint (6 bytes), the low 32 bits of its position in Unix milliseconds (4 bytes), its role (1 byte: 1
// for a primary, otherwise 0) and its number of requests in flight (1 byte).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stonebay::gossip {

/// Maximum size of a datagram.
constexpr std::size_t kMaxDatagramBytes = 256;
/// Number of bits of a key that are sent.
constexpr std::uint64_t kKeyBits = 48;
/// Largest number of requests in flight that can be sent; larger numbers are sent as this.
constexpr int kMaxInFlight = 255;

/// The state of an endpoint as one proxy knows it.
struct Message {
  std::uint64_t key = 0;        ///< hash of the endpoint's name, kKeyBits wide
  std::int64_t positionMs = 0;  ///< Unix time up to which the endpoint has applied all commits
  bool primary = false;
  int inFlight = 0;  ///< requests in flight to the endpoint; at most kMaxInFlight in a parsed message
};

/// Encodes the messages in order, in as many datagrams as needed.
std::vector<std::string> encode(const std::vector<Message>& messages);

/// Parses a datagram. Returns an empty vector if it is malformed or of another version. Each position is the
/// time nearest to `nowMs` that has the low 32 bits in the datagram.
std::vector<Message> parse(std::string_view datagram, std::int64_t nowMs);

}  // namespace stonebay::gossip
