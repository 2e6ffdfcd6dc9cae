#include "dispatch/timer_queue.hpp"

#include <gtest/gtest.h>

namespace stonebay {
namespace {

TEST(TimerQueue, ReturnsTimersInOrderOfDueTime) {
  TimerQueue timers;
  EXPECT_FALSE(timers.nextDue());
  timers.schedule(TimePoint(Duration(20)), TimerToken{TimerKind::Wake, 1});
  timers.schedule(TimePoint(Duration(10)), TimerToken{TimerKind::Wake, 2});
  timers.schedule(TimePoint(Duration(20)), TimerToken{TimerKind::Wake, 3});
  EXPECT_EQ(timers.nextDue(), TimePoint(Duration(10)));
  EXPECT_FALSE(timers.popDue(TimePoint(Duration(9))));
  EXPECT_EQ(timers.popDue(TimePoint(Duration(20)))->id, 2u);
  EXPECT_EQ(timers.popDue(TimePoint(Duration(20)))->id, 1u)
      << "timers due at the same time are returned in the order of scheduling";
  EXPECT_EQ(timers.popDue(TimePoint(Duration(20)))->id, 3u);
  EXPECT_FALSE(timers.popDue(TimePoint(Duration(20))));
  EXPECT_FALSE(timers.nextDue());
}

}  // namespace
}  // namespace stonebay
