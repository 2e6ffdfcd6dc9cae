// Tests of class latencies, loads and the probability that a response is late.
#include "balancer/latency_model.hpp"

#include <gtest/gtest.h>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

using balancer::Endpoint;
using balancer::InFlightAttempt;
using balancer::LatencyEstimate;
using balancer::MissScope;

// A replica group of two endpoints, 1 and 2.
struct LatencyModelTest : testing::Test {
  RecordingSink sink;
  balancer::Context context{defaultSettings(), sink, balancer::SeededHash(1), TimePoint(1100s)};
  balancer::EndpointTable table{context};
  balancer::SlowStart slowStart{context, table};
  balancer::LatencyModel latencies{context, table, slowStart};

  LatencyModelTest() {
    table.applyList(EndpointListKind::Full,
                    {BalancerFixture::endpointUpdate(1), BalancerFixture::endpointUpdate(2)});
  }
  // Returns an attempt that was sent `age` ago.
  InFlightAttempt attemptOf(int classIndex, Duration age) const {
    return {1, 0, classIndex, 0, context.now - age, false};
  }
  void answer(EndpointId id, int classIndex, Duration latency) {
    latencies.recordOutcome(table.at(id), attemptOf(classIndex, latency), AttemptStatus::Ok);
  }
  LatencyEstimate estimate(EndpointId id, int classIndex, Duration budget,
                           MissScope scope = MissScope::All) const {
    const Endpoint& endpoint = table.at(id);
    return latencies.estimate(endpoint, endpoint.freshSamples, classIndex, budget, scope);
  }
};

TEST_F(LatencyModelTest, MeanFollowsNewLatenciesSlowlyAndBaselineFollowsLowOnes) {
  answer(1, kEventualRead, 100ms);
  EXPECT_EQ(latencies.meanLatency(kEventualRead), 100ms);
  answer(1, kEventualRead, 200ms);
  EXPECT_EQ(latencies.meanLatency(kEventualRead), 105ms);
  EXPECT_DOUBLE_EQ(latencies.baselineLatency(kEventualRead), 100500);
  answer(1, kEventualRead, 500us);
  EXPECT_DOUBLE_EQ(latencies.baselineLatency(kEventualRead), 95500);
}

TEST_F(LatencyModelTest, SilenceTimeoutIsTheObjectiveUntilALatencyIsKnown) {
  EXPECT_EQ(latencies.silenceTimeout(kEventualRead),
            context.settings.classes[kEventualRead].latencyObjective);
  answer(1, kEventualRead, 100ms);
  EXPECT_EQ(latencies.silenceTimeout(kEventualRead), 400ms);
}

TEST_F(LatencyModelTest, ExpensiveClassHasALowerCostShare) {
  answer(1, kEventualRead, 100ms);
  answer(1, kBoundedRead, 300ms);
  EXPECT_DOUBLE_EQ(latencies.costShare(kEventualRead), 1);
  EXPECT_NEAR(latencies.costShare(kBoundedRead), 200.0 / 300, 1e-9);
  EXPECT_DOUBLE_EQ(latencies.costShare(kWrite), 1) << "its latency is not known yet";
}

TEST_F(LatencyModelTest, AttemptIsPresumedLostOnceLaterOnesAreAnswered) {
  answer(1, kEventualRead, 100ms);
  Endpoint& endpoint = table.at(1);
  const InFlightAttempt old = attemptOf(kEventualRead, 500ms);
  endpoint.latestAnsweredSentAt = context.now - 300ms;
  EXPECT_FALSE(latencies.isPresumedLost(endpoint, old))
      << "the answered attempt was sent in the first half of its time in flight";
  endpoint.latestAnsweredSentAt = context.now - 200ms;
  EXPECT_TRUE(latencies.isPresumedLost(endpoint, old));
  EXPECT_FALSE(latencies.isPresumedLost(endpoint, attemptOf(kEventualRead, 390ms)))
      << "it may still be queued";
}

TEST_F(LatencyModelTest, WithoutSamplesAnAnswerCountsAsInTime) {
  EXPECT_DOUBLE_EQ(estimate(1, kEventualRead, 10ms).missProbability, 0);
}

TEST_F(LatencyModelTest, SamplesOfAllEndpointsTogetherWeighAsOne) {
  for (int k = 0; k < 4; ++k) answer(2, kEventualRead, 100ms);
  answer(1, kEventualRead, 10ms);
  // Four of the five recent samples of all endpoints miss 50 ms; the endpoint's own sample does not.
  EXPECT_NEAR(estimate(1, kEventualRead, 50ms).missProbability, 0.8 / 2, 1e-9);
}

TEST_F(LatencyModelTest, FailureMissesAnyBudgetUnlessOnlyQueueingCounts) {
  answer(1, kEventualRead, 10ms);
  latencies.recordOutcome(table.at(1), attemptOf(kEventualRead, 1ms), AttemptStatus::Error);
  EXPECT_NEAR(estimate(1, kEventualRead, 500ms).missProbability, 1.0 / 3, 1e-9);
  EXPECT_DOUBLE_EQ(estimate(1, kEventualRead, 500ms, MissScope::QueueingOnly).missProbability, 0);
}

TEST_F(LatencyModelTest, AttemptInFlightForLongerThanTheBudgetCountsAsAMiss) {
  answer(1, kEventualRead, 10ms);
  table.at(1).inFlight.push_back(attemptOf(kEventualRead, 60ms));
  EXPECT_NEAR(estimate(1, kEventualRead, 50ms).missProbability, 1.0 / 3, 1e-9);
  EXPECT_DOUBLE_EQ(estimate(1, kEventualRead, 100ms).missProbability, 0);
}

TEST_F(LatencyModelTest, LoadIsThatOfThisProxyOrTheReportedOneOfAllProxies) {
  EXPECT_TRUE(latencies.isIdle(table.at(1)));
  table.at(1).inFlight.push_back(attemptOf(kEventualRead, 1ms));
  EXPECT_DOUBLE_EQ(latencies.loadOf(table.at(1)), 1);
  table.at(1).load = {7, context.now};
  EXPECT_DOUBLE_EQ(latencies.loadOf(table.at(1)), 7);
  EXPECT_DOUBLE_EQ(latencies.loadOf(table.at(2)), 7) << "without a report the mean of the group is assumed";
}

}  // namespace
}  // namespace stonebay::test
