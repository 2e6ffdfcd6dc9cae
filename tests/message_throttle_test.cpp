#include "downstream/pg/message_throttle.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace stonebay {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1000s};

TEST(MessageThrottle, AnInvalidMessageThrottlesUntilTheNextInterval) {
  MessageThrottle throttle;
  throttle.onInvalidMessage(kStart);
  EXPECT_TRUE(throttle.throttled());
  throttle.startInterval();
  EXPECT_FALSE(throttle.throttled());
}

TEST(MessageThrottle, FewEmptyQueriesAreNotThrottled) {
  MessageThrottle throttle;
  throttle.onTrivialMessage(kStart);
  throttle.onTrivialMessage(kStart);
  EXPECT_FALSE(throttle.throttled());
  EXPECT_FALSE(throttle.throttledSince());
}

TEST(MessageThrottle, TimeCountsFromTheFirstOfConsecutiveThrottledIntervals) {
  MessageThrottle throttle;
  throttle.onInvalidMessage(kStart);
  throttle.startInterval();
  throttle.onInvalidMessage(kStart + 100ms);
  EXPECT_EQ(throttle.throttledSince(), kStart);
  throttle.startInterval();
  throttle.startInterval();  // nothing was sent in between
  EXPECT_FALSE(throttle.throttledSince());
}

TEST(MessageThrottle, ARequestEndsTheTime) {
  MessageThrottle throttle;
  throttle.onInvalidMessage(kStart);
  throttle.startInterval();
  throttle.onRequest();
  EXPECT_FALSE(throttle.throttledSince());
}

}  // namespace
}  // namespace stonebay
