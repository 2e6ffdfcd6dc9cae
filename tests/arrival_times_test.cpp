#include "downstream/pg/arrival_times.hpp"

#include <gtest/gtest.h>

namespace stonebay::test {
namespace {

using std::chrono::milliseconds;

TEST(ArrivalTimes, EachMessageHasTheArrivalOfItsLastByte) {
  ArrivalTimes arrivals;
  arrivals.record(100, milliseconds(1000));
  arrivals.record(250, milliseconds(1020));  // 150 more
  arrivals.consume(100);
  EXPECT_EQ(arrivals.ofLastConsumed(), milliseconds(1000));
  arrivals.record(150, milliseconds(1040));  // nothing more
  arrivals.consume(50);
  EXPECT_EQ(arrivals.ofLastConsumed(), milliseconds(1020));
  arrivals.consume(100);
  EXPECT_EQ(arrivals.ofLastConsumed(), milliseconds(1020));
}
TEST(ArrivalTimes, InputWithinSomeMillisecondsArrivedTogether) {
  ArrivalTimes arrivals;
  arrivals.record(100, milliseconds(1000));
  arrivals.record(200, milliseconds(1004));
  arrivals.consume(200);
  EXPECT_EQ(arrivals.ofLastConsumed(), milliseconds(1000));
}

}  // namespace
}  // namespace stonebay::test
