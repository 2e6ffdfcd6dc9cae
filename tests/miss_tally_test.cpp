// Tests of the counter of latencies that exceed a limit.
#include "balancer/miss_tally.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace stonebay::balancer {
namespace {

TEST(MissTally, CountsLatenciesOverTheLimit) {
  MissTally tally(100);
  tally.add(50);
  tally.add(100);
  tally.add(101);
  tally.add(149);
  EXPECT_DOUBLE_EQ(tally.missShare(), 0.5);
  EXPECT_DOUBLE_EQ(tally.meanLatency(), 100);
}

TEST(MissTally, NeverAnsweredAttemptCountsAsFourTimesTheLimit) {
  MissTally tally(100);
  tally.add(std::numeric_limits<double>::infinity());
  EXPECT_DOUBLE_EQ(tally.missShare(), 1);
  EXPECT_DOUBLE_EQ(tally.meanLatency(), 400);
}

TEST(MissTally, CollapsedSamplesCountAsOne) {
  MissTally tally(100);
  for (int sample = 0; sample < 4; ++sample) tally.add(200);
  tally.collapseToOneSample(0);
  tally.add(50);
  EXPECT_DOUBLE_EQ(tally.missShare(), 0.5);
  EXPECT_DOUBLE_EQ(tally.meanLatency(), 125);
}

TEST(MissTally, WithoutSamplesTheFallbackCountsAsInTime) {
  MissTally tally(100);
  tally.collapseToOneSample(70);
  EXPECT_DOUBLE_EQ(tally.missShare(), 0);
  EXPECT_DOUBLE_EQ(tally.meanLatency(), 70);
}

}  // namespace
}  // namespace stonebay::balancer
