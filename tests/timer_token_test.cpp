// Tests of the conversion of timer tokens to numbers and back.
#include <gtest/gtest.h>

#include "stonebay/load_balancer.hpp"

namespace stonebay {
namespace {

TEST(TimerToken, IsUnchangedByEncodingAndDecoding) {
  for (const TimerKind kind : {TimerKind::Tick, TimerKind::Poll, TimerKind::Wake}) {
    const TimerToken token{kind, 0x123456789abcdeU};
    const TimerToken decoded = TimerToken::decode(token.encoded());
    EXPECT_EQ(decoded.kind, kind);
    EXPECT_EQ(decoded.id, token.id);
  }
}

// Embedding programs may store tokens as numbers, so the encoding must not change: the kind is the lowest
// byte.
TEST(TimerToken, EncodesKindAndIdAsOneNumber) {
  EXPECT_EQ((TimerToken{TimerKind::Tick, 0}.encoded()), 0U);
  EXPECT_EQ((TimerToken{TimerKind::Poll, 5}.encoded()), 5U << 8 | 1U);
  EXPECT_EQ((TimerToken{TimerKind::Wake, 5}.encoded()), 5U << 8 | 2U);
}

}  // namespace
}  // namespace stonebay
