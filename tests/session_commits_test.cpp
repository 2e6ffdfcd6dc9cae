// The last writes of sessions.
#include "balancer/session_commits.hpp"

#include <gtest/gtest.h>

namespace stonebay::balancer {
namespace {

TEST(SessionCommits, KeepsTheLatestCommitOfEachSession) {
  SessionCommits commits;
  commits.record(1, Time(20));
  commits.record(1, Time(10));
  commits.record(2, Time(5));
  EXPECT_EQ(commits.find(1), Time(20));
  EXPECT_EQ(commits.find(2), Time(5));
  EXPECT_FALSE(commits.find(3).has_value());
  EXPECT_EQ(commits.size(), 2U);
}

TEST(SessionCommits, EvictionLeavesTheLatestCommitOfAll) {
  SessionCommits commits;
  commits.record(1, Time(20));
  commits.record(2, Time(30));
  EXPECT_EQ(commits.evictAll(), Time(30));
  EXPECT_EQ(commits.size(), 0U);
  EXPECT_FALSE(commits.find(2).has_value());
}

}  // namespace
}  // namespace stonebay::balancer
