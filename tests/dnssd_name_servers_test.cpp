// The choice among several name servers.
#include <gtest/gtest.h>

#include "discovery/dnssd/name_servers.hpp"

namespace stonebay {
namespace {

using std::chrono::seconds;

TEST(DnsSdNameServers, PrefersTheOneThatRespondedAndBacksOffFromFailures) {
  NameServers servers(3);
  NameServers::Time now = seconds(100);
  const std::vector<bool> none(3);
  EXPECT_EQ(servers.select(now, none), 0u);
  servers.onFailure(0, now);
  EXPECT_EQ(servers.select(now, none), 1u);
  servers.onResponse(1);
  // The backoff of the first one has ended; the current one is kept all the same.
  EXPECT_EQ(servers.select(now + seconds(60), none), 1u);
  EXPECT_EQ(servers.select(now, {false, true, false}), 2u);
  EXPECT_EQ(servers.select(now, {false, true, true}), 0u);  // in backoff, but there is no other
  EXPECT_EQ(servers.select(now, {true, true, true}), std::nullopt);
}

}  // namespace
}  // namespace stonebay
