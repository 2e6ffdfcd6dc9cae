// What proxies tell one another of data servers, in datagrams. Pure: no sockets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stonebay::gossip {

constexpr std::size_t kLongest = 256;  // bytes of a datagram
constexpr std::uint64_t kKeyBits = 48;

struct Message {
  std::uint64_t key = 0;        // of the data server's name; kKeyBits of it go out
  std::int64_t positionMs = 0;  // Unix time
  bool primary = false;
  int inFlight = 0;  // 255 stands for all that are more
};

// As many datagrams as the words need.
std::vector<std::string> encode(const std::vector<Message>&);
// Nothing where the bytes are no such datagram. A position travels as its low 32 bits: it is taken as the one
// that is nearest to the present.
std::vector<Message> parse(std::string_view bytes, std::int64_t nowMs);

}  // namespace stonebay::gossip
