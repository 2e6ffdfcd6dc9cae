// Tests the estimate of the wall clock's error from the positions that endpoints report.
#include "dispatch/wall_clock_correction.hpp"

#include <gtest/gtest.h>

namespace stonebay {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{hours(500000)};

TEST(WallClockCorrection, StaysAtZeroWhileTheClockIsRight) {
  WallClockCorrection correction;
  for (int k = 0; k < 20; ++k) {
    EXPECT_EQ(correction.observe(kNow - milliseconds(200), true, kNow), Duration(0));
    EXPECT_EQ(correction.observe(kNow - seconds(30), false, kNow), Duration(0));  // a replica that lags
    EXPECT_EQ(correction.observe(kNow + milliseconds(400), true, kNow), Duration(0));
  }
}

TEST(WallClockCorrection, OnePositionInTheFutureShowsThatTheClockIsBehind) {
  WallClockCorrection correction;
  EXPECT_EQ(correction.observe(kNow + hours(1) - milliseconds(80), false, kNow), hours(1) - milliseconds(80));
  EXPECT_EQ(correction.observe(kNow + hours(1) - milliseconds(10), true, kNow), milliseconds(70));
  EXPECT_EQ(correction.value(), hours(1) - milliseconds(10));
}

TEST(WallClockCorrection, PrimariesThatStayBehindShowThatTheClockIsAhead) {
  WallClockCorrection correction;
  Duration change{};
  TimePoint now = kNow;
  for (int k = 0; k <= 30; ++k, now += milliseconds(100)) {
    EXPECT_EQ(change, Duration(0)) << k;
    change = correction.observe(now - seconds(5) - milliseconds(k % 3), true, now);
  }
  EXPECT_EQ(change, -seconds(5));
}

TEST(WallClockCorrection, OneVeryOldPrimaryPositionIsSufficientUntilANewerPositionArrives) {
  WallClockCorrection correction;
  EXPECT_EQ(correction.observe(kNow - hours(1), true, kNow), -hours(1));
  EXPECT_EQ(correction.observe(kNow - milliseconds(100), false, kNow), hours(1) - milliseconds(100));
}

TEST(WallClockCorrection, IgnoresReportsDelayedByAStallOfTheProcess) {
  WallClockCorrection correction;
  for (int k = 0; k < 100; ++k) correction.observe(kNow - seconds(2), true, kNow);
  EXPECT_EQ(correction.observe(kNow, true, kNow + milliseconds(100)), Duration(0));
  EXPECT_EQ(correction.observe(kNow - seconds(2), true, kNow + seconds(4)), Duration(0));
  EXPECT_EQ(correction.value(), Duration(0));
}

TEST(WallClockCorrection, IgnoresOnePrimaryThatIsBehindWhileAnotherIsNot) {
  WallClockCorrection correction;
  TimePoint now = kNow;
  for (int k = 0; k < 50; ++k, now += milliseconds(100)) {
    correction.observe(now - seconds(20), true, now);
    correction.observe(now - milliseconds(100), true, now);
  }
  EXPECT_EQ(correction.value(), Duration(0));
}

TEST(WallClockCorrection, RecoversFromAWrongPosition) {
  WallClockCorrection correction;
  correction.observe(kNow + seconds(100), false, kNow);
  TimePoint now = kNow;
  for (int k = 0; k <= 30; ++k, now += milliseconds(100))
    correction.observe(now - milliseconds(50), true, now);
  EXPECT_EQ(correction.value(), -milliseconds(50));
  EXPECT_EQ(correction.observe(now + hours(3), true, now), Duration(0))
      << "differences above kMaxError are ignored";
}

}  // namespace
}  // namespace stonebay
