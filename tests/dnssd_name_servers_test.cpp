// Selection among several name servers.
#include <gtest/gtest.h>

#include "discovery/dnssd/name_servers.hpp"

namespace stonebay {
namespace {

using std::chrono::seconds;

TEST(DnsSdNameServers, PrefersTheServerThatRespondedAndAvoidsFailedServers) {
  NameServers servers(3);
  NameServers::Time now = seconds(100);
  const std::vector<bool> noneAttempted(3);
  EXPECT_EQ(servers.select(now, noneAttempted), 0u);
  servers.onFailure(0, now);
  EXPECT_EQ(servers.select(now, noneAttempted), 1u);
  servers.onResponse(1);
  // The backoff of the first server has ended, but the current server is kept.
  EXPECT_EQ(servers.select(now + seconds(60), noneAttempted), 1u);
  EXPECT_EQ(servers.select(now, {false, true, false}), 2u);
  EXPECT_EQ(servers.select(now, {false, true, true}), 0u);  // in backoff, but the only one left
  EXPECT_EQ(servers.select(now, {true, true, true}), std::nullopt);
}

}  // namespace
}  // namespace stonebay
