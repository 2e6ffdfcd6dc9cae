// Gossip datagrams.
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
  const std::vector<std::string> all = gossip::encode(messages);
  ASSERT_EQ(all.size(), 3u);
  std::size_t at = 0;
  for (const std::string& bytes : all) {
    EXPECT_LE(bytes.size(), gossip::kMaxDatagramBytes);
    for (const gossip::Message& parsed : gossip::parse(bytes, now + 30)) {
      EXPECT_EQ(parsed.key, messages[at].key);
      EXPECT_EQ(parsed.positionMs, messages[at].positionMs);
      EXPECT_EQ(parsed.primary, messages[at].primary);
      EXPECT_EQ(parsed.inFlight, std::min(messages[at].inFlight, 255));
      ++at;
    }
    for (std::size_t cut = 0; cut < bytes.size(); cut += (cut + 1) % 12 == 1 ? 2 : 1)  // not between messages
      EXPECT_TRUE(gossip::parse(bytes.substr(0, cut), now).empty()) << cut;
  }
  EXPECT_EQ(at, messages.size());
  std::string odd = all[0];
  odd[0] = 2;
  EXPECT_TRUE(gossip::parse(odd, now).empty()) << "a later version's";
  // Across the wrap of the low 32 bits the nearest instant is meant.
  const std::int64_t wrap = (now >> 32 << 32) + (std::int64_t{1} << 32);
  EXPECT_EQ(gossip::parse(gossip::encode({{1, wrap - 5, false, 0}})[0], wrap + 20)[0].positionMs, wrap - 5);
}

}  // namespace
}  // namespace stonebay
