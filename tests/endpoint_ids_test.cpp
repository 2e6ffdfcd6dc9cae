#include "dispatch/endpoint_ids.hpp"

#include <gtest/gtest.h>

#include "codec/gossip/message.hpp"

namespace stonebay {
namespace {

TEST(EndpointIds, AssignOneIdPerName) {
  EndpointIds ids;
  EXPECT_FALSE(ids.anyAssigned());
  const EndpointId one = ids.assign("s-1");
  const EndpointId two = ids.assign("s-2");
  EXPECT_NE(one, two);
  EXPECT_EQ(ids.assign("s-1"), one);
  EXPECT_EQ(ids.nameOf(two), "s-2");
  EXPECT_EQ(ids.nameOf(99), "?");
  EXPECT_TRUE(ids.contains("s-1"));
  EXPECT_FALSE(ids.contains("s-3"));
  EXPECT_TRUE(ids.anyAssigned());
}

TEST(EndpointIds, AreNotReusedAfterErase) {
  EndpointIds ids;
  const EndpointId before = ids.assign("s-1");
  ids.erase(before);
  EXPECT_FALSE(ids.contains("s-1"));
  EXPECT_FALSE(ids.findByGossipKey(EndpointIds::gossipKey("s-1")));
  const EndpointId after = ids.assign("s-1");
  EXPECT_NE(after, before);
  EXPECT_EQ(ids.findByGossipKey(EndpointIds::gossipKey("s-1")), after);
}

TEST(EndpointIds, AreFoundByGossipKey) {
  EndpointIds ids;
  const EndpointId one = ids.assign("s-1");
  const std::uint64_t key = EndpointIds::gossipKey("s-1");
  EXPECT_EQ(key >> gossip::kKeyBits, 0u);
  EXPECT_EQ(ids.findByGossipKey(key), one);
  EXPECT_FALSE(ids.findByGossipKey(key + 1));
}

}  // namespace
}  // namespace stonebay
