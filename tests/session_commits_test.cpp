// Tests of the record of the last commit of each session.
#include "balancer/session_commits.hpp"

#include <gtest/gtest.h>

namespace stonebay::balancer {
namespace {

TEST(SessionCommits, KeepsTheLatestCommitOfEachSession) {
  SessionCommits commits;
  commits.record(1, TimePoint(Duration(20)));
  commits.record(1, TimePoint(Duration(10)));
  commits.record(2, TimePoint(Duration(5)));
  EXPECT_EQ(commits.find(1), TimePoint(Duration(20)));
  EXPECT_EQ(commits.find(2), TimePoint(Duration(5)));
  EXPECT_FALSE(commits.find(3).has_value());
  EXPECT_EQ(commits.size(), 2U);
}

TEST(SessionCommits, EvictionReturnsTheLatestCommitOfAllSessions) {
  SessionCommits commits;
  commits.record(1, TimePoint(Duration(20)));
  commits.record(2, TimePoint(Duration(30)));
  EXPECT_EQ(commits.evictAll(), TimePoint(Duration(30)));
  EXPECT_EQ(commits.size(), 0U);
  EXPECT_FALSE(commits.find(2).has_value());
}

}  // namespace
}  // namespace stonebay::balancer
