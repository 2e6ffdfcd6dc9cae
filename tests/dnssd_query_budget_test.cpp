// The rate limit of DNS queries.
#include <gtest/gtest.h>

#include "discovery/dnssd/query_budget.hpp"

namespace stonebay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(DnsSdQueryBudget, AllowsTheRateAndABurstOfOneSecond) {
  QueryBudget budget(10);
  Time now = seconds(1000);
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(budget.take(now)) << i;
  EXPECT_FALSE(budget.take(now));
  EXPECT_GT(budget.availableAt(), now);
  EXPECT_LE(budget.availableAt(), now + milliseconds(101));
  now = budget.availableAt();
  EXPECT_TRUE(budget.take(now));
  EXPECT_FALSE(budget.take(now));
  now += seconds(60);
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(budget.take(now)) << i;
  EXPECT_FALSE(budget.take(now));
}

TEST(DnsSdQueryBudget, ZeroRateAllowsNoQueries) {
  QueryBudget budget(0);
  EXPECT_FALSE(budget.take(seconds(1000)));
  EXPECT_FALSE(budget.take(seconds(2000)));
  EXPECT_EQ(budget.availableAt(), Time(0));
}

}  // namespace
}  // namespace stonebay
