// Flap damping: penalties and their decay, suppression and reuse.
#include "discovery/flap_damping.hpp"

#include <gtest/gtest.h>

namespace stonebay {
namespace {

using std::chrono::seconds;

const FlapDampingPolicy::Time kStart = seconds(1000);

TEST(FlapDamping, PenaltyHalvesEveryHalfLife) {
  const FlapDampingPolicy policy;
  FlapPenalty penalty;
  EXPECT_EQ(penalty.value(policy, kStart), 0);
  penalty.onWithdrawal(policy, kStart);
  EXPECT_DOUBLE_EQ(penalty.value(policy, kStart), 1);
  EXPECT_DOUBLE_EQ(penalty.value(policy, kStart + seconds(15)), 0.5);
  penalty.onWithdrawal(policy, kStart + seconds(15));
  EXPECT_DOUBLE_EQ(penalty.value(policy, kStart + seconds(15)), 1.5);
}

TEST(FlapDamping, SuppressesFromTheThresholdUntilThePenaltyAllowsReuse) {
  const FlapDampingPolicy policy;
  FlapPenalty penalty;
  penalty.onWithdrawal(policy, kStart);
  penalty.onReturn(policy, kStart);
  EXPECT_FALSE(penalty.isSuppressed());
  penalty.onWithdrawal(policy, kStart);
  penalty.onWithdrawal(policy, kStart);
  penalty.onReturn(policy, kStart);
  ASSERT_TRUE(penalty.isSuppressed());
  EXPECT_EQ(penalty.suppressedUntil(), kStart + seconds(30));  // two half-lives, from 3 to 0.75
  penalty.update(kStart + seconds(29));
  EXPECT_TRUE(penalty.isSuppressed());
  penalty.update(kStart + seconds(30));
  EXPECT_FALSE(penalty.isSuppressed());
}

TEST(FlapDamping, SuppressesForNoLongerThanTheMaximum) {
  const FlapDampingPolicy policy;
  FlapPenalty penalty;
  for (int i = 0; i < 1000; ++i) penalty.onWithdrawal(policy, kStart);
  penalty.onReturn(policy, kStart);
  ASSERT_TRUE(penalty.isSuppressed());
  EXPECT_EQ(penalty.suppressedUntil(), kStart + policy.maxSuppression);
}

TEST(FlapDamping, NeverSuppressesWhenDisabled) {
  FlapDampingPolicy policy;
  policy.enabled = false;
  FlapPenalty penalty;
  for (int i = 0; i < 10; ++i) penalty.onWithdrawal(policy, kStart);
  penalty.onReturn(policy, kStart);
  EXPECT_FALSE(penalty.isSuppressed());
}

}  // namespace
}  // namespace stonebay
