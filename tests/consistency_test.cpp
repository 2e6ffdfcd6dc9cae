// Tests of the position that a request requires, and of the probability that an endpoint has reached it.
#include "balancer/consistency.hpp"

#include <gtest/gtest.h>

#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

using balancer::ConsistencyPolicy;
using balancer::kNever;
using balancer::PendingRequest;

constexpr GroupId kGroup = 7;

struct ConsistencyTest : testing::Test {
  RecordingSink sink;
  balancer::Context context{defaultSettings(), sink, balancer::SeededHash(1), TimePoint(1100s)};
  balancer::EndpointTable table{context};

  ConsistencyTest() {
    table.applyList(EndpointListKind::Full,
                    {BalancerFixture::endpointUpdate(1), BalancerFixture::endpointUpdate(2)});
  }
  static PendingRequest requestOf(int classIndex, std::uint64_t session = 0) {
    PendingRequest pending;
    pending.request.classIndex = classIndex;
    pending.request.group = kGroup;
    pending.request.session = session;
    return pending;
  }
  static AttemptOutcome committedAt(TimePoint position) {
    AttemptOutcome outcome;
    outcome.position = position;
    return outcome;
  }
};

TEST_F(ConsistencyTest, BoundedReadRequiresAPositionRelativeToTheCurrentTime) {
  ConsistencyPolicy consistency(context, table);
  const PendingRequest read = requestOf(kBoundedRead);
  EXPECT_EQ(consistency.requiredPosition(read), context.now - 500ms);
  context.now += 1s;
  EXPECT_EQ(consistency.requiredPosition(read), context.now - 500ms);
}

TEST_F(ConsistencyTest, ReadOfASessionRequiresItsLastCommit) {
  ConsistencyPolicy consistency(context, table);
  consistency.recordCommit(requestOf(kWrite, 5), committedAt(context.now - 20ms));
  PendingRequest own = requestOf(kReadYourWritesRead, 5);
  consistency.setRequiredCommit(own);
  EXPECT_EQ(consistency.requiredPosition(own), context.now - 20ms);
  PendingRequest other = requestOf(kReadYourWritesRead, 6);
  consistency.setRequiredCommit(other);
  EXPECT_EQ(consistency.requiredPosition(other), kNever);
}

TEST_F(ConsistencyTest, CommitsOfReadsAndOfRequestsWithoutASessionAreNotRecorded) {
  ConsistencyPolicy consistency(context, table);
  consistency.recordCommit(requestOf(kEventualRead, 5), committedAt(context.now));
  consistency.recordCommit(requestOf(kWrite), committedAt(context.now));
  PendingRequest read = requestOf(kReadYourWritesRead, 5);
  consistency.setRequiredCommit(read);
  EXPECT_EQ(consistency.requiredPosition(read), kNever);
}

TEST_F(ConsistencyTest, PrimaryAndProvenReplicasAreFresh) {
  ConsistencyPolicy consistency(context, table);
  const TimePoint required = context.now - 100ms;
  EXPECT_EQ(consistency.freshnessProbability(table.at(1), kNever), 1);
  table.observePosition(table.at(1), context.now - 50ms);
  EXPECT_EQ(consistency.freshnessProbability(table.at(1), required), 1);
  table.observeRole(table.at(2), Role::Primary, context.now);
  EXPECT_EQ(consistency.freshnessProbability(table.at(2), required), 1);
}

TEST_F(ConsistencyTest, EndpointThatServesStaleReadsNeedsAProvenPosition) {
  ConsistencyPolicy consistency(context, table);
  EXPECT_FALSE(consistency.freshnessProbability(table.at(1), context.now - 100ms).has_value());
}

TEST_F(ConsistencyTest, FreshnessOfAnEndpointThatRejectsStaleReadsFollowsItsRecentLags) {
  context.settings.staleReadPolicy = StaleReadPolicy::Reject;
  ConsistencyPolicy consistency(context, table);
  EXPECT_EQ(consistency.freshnessProbability(table.at(1), context.now - 100ms), 0.5)
      << "there are no samples";
  table.observePosition(table.at(1), context.now - 50ms);
  context.now += 1s;
  table.observePosition(table.at(1), context.now - 300ms);
  context.now += 1s;
  EXPECT_EQ(consistency.freshnessProbability(table.at(1), context.now - 100ms), 0.5)
      << "one of two lags is short enough";
}

}  // namespace
}  // namespace stonebay::test
