// Encoding and parsing of gossip datagrams.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "codec/gossip/message.hpp"

namespace stonebay {
namespace {

TEST(GossipMessages, RoundTripInDatagramsOfBoundedSize) {
  const std::int64_t now = 1796140835411;
  std::vector<gossip::Message> messages;
  for (int k = 0; k < 45; ++k)
    messages.push_back({0xabcdef012345u + static_cast<unsigned>(k), now - 100 * k, k % 2 == 0, 10 * k});
  const std::vector<std::string> datagrams = gossip::encode(messages);
  ASSERT_EQ(datagrams.size(), 3u);
  std::size_t index = 0;
  for (const std::string& bytes : datagrams) {
    EXPECT_LE(bytes.size(), gossip::kMaxDatagramBytes);
    for (const gossip::Message& parsed : gossip::parse(bytes, now + 30)) {
      EXPECT_EQ(parsed.key, messages[index].key);
      EXPECT_EQ(parsed.positionMs, messages[index].positionMs);
      EXPECT_EQ(parsed.primary, messages[index].primary);
      EXPECT_EQ(parsed.inFlight, std::min(messages[index].inFlight, 255));
      ++index;
    }
    // Every truncation except those at the boundary between two entries.
    for (std::size_t size = 0; size < bytes.size(); size += (size + 1) % 12 == 1 ? 2 : 1)
      EXPECT_TRUE(gossip::parse(bytes.substr(0, size), now).empty()) << size;
  }
  EXPECT_EQ(index, messages.size());
  std::string otherVersion = datagrams[0];
  otherVersion[0] = 2;
  EXPECT_TRUE(gossip::parse(otherVersion, now).empty()) << "datagram of a later version";
  // A position is restored correctly if its low 32 bits wrap around between sending and receiving.
  const std::int64_t wrap = (now >> 32 << 32) + (std::int64_t{1} << 32);
  EXPECT_EQ(gossip::parse(gossip::encode({{1, wrap - 5, false, 0}})[0], wrap + 20)[0].positionMs, wrap - 5);
}

}  // namespace
}  // namespace stonebay
