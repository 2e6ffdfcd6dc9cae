#include "downstream/pg/arrival_times.hpp"

#include <gtest/gtest.h>

namespace stonebay::test {
namespace {

TimePoint atMs(std::int64_t ms) { return TimePoint(std::chrono::milliseconds(ms)); }

TEST(ArrivalTimes, MessageArrivesWithItsLastByte) {
  ArrivalTimes arrivals;
  arrivals.record(100, atMs(1000));
  arrivals.record(250, atMs(1020));  // 150 new bytes
  arrivals.consume(100);
  EXPECT_EQ(arrivals.arrivalOfLastConsumedByte(), atMs(1000));
  arrivals.record(150, atMs(1040));  // no new bytes
  arrivals.consume(50);
  EXPECT_EQ(arrivals.arrivalOfLastConsumedByte(), atMs(1020));
  arrivals.consume(100);
  EXPECT_EQ(arrivals.arrivalOfLastConsumedByte(), atMs(1020));
}
TEST(ArrivalTimes, InputWithinAFewMillisecondsIsOneArrival) {
  ArrivalTimes arrivals;
  arrivals.record(100, atMs(1000));
  arrivals.record(200, atMs(1004));
  arrivals.consume(200);
  EXPECT_EQ(arrivals.arrivalOfLastConsumedByte(), atMs(1000));
}

}  // namespace
}  // namespace stonebay::test
