#include "dispatch/position.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace stonebay {
namespace {

// A converted position must never look newer than the reported one, however old the epoch is.
TEST(Position, AreRoundedDownAndPreciseUntilTheEpochAdvances) {
  const TimePoint epoch(std::chrono::seconds(1767225600));
  const std::int64_t epochUs = epoch.time_since_epoch().count();
  for (const std::int64_t ms : {1, 999, 59999, 60001, 3600123, 7199999}) {
    const double reported = static_cast<double>(epochUs) / 1e6 + static_cast<double>(ms) / 1e3;
    const double seconds = static_cast<double>(secondsSince(epoch, reported));
    EXPECT_LE(seconds, static_cast<double>(ms) / 1e3 + 1e-6) << ms;
    EXPECT_GE(seconds, static_cast<double>(ms) / 1e3 - 0.001) << ms;
    EXPECT_EQ(millisecondsSince(epoch, epochUs / 1000 + ms), static_cast<std::uint32_t>(ms));
  }
  EXPECT_EQ(secondsSince(epoch, 1767225599.0), 0.0f);
  EXPECT_EQ(millisecondsSince(epoch, epochUs / 1000 - 1), 0u);
  EXPECT_EQ(millisecondsSince(epoch, 0), 0u);
  // 4 x milliseconds must fit into 32 bits.
  EXPECT_EQ(millisecondsSince(epoch, epochUs / 1000 + (std::int64_t{1} << 30)), 0u);
}

TEST(PositionEpoch, IsAWholeMillisecondAMinuteBeforeThePresent) {
  EXPECT_EQ(PositionEpoch(TimePoint(std::chrono::seconds(100) + Duration(1234))).value(),
            TimePoint(std::chrono::seconds(40) + std::chrono::milliseconds(1)));
  EXPECT_EQ(PositionEpoch(TimePoint(std::chrono::seconds(30))).value(), TimePoint());
}

TEST(PositionEpoch, AdvancesAfterTwoHours) {
  PositionEpoch epoch(TimePoint(std::chrono::seconds(100)));
  EXPECT_FALSE(epoch.advance(TimePoint(std::chrono::seconds(40) + std::chrono::hours(2) - Duration(1))));
  EXPECT_EQ(epoch.value(), TimePoint(std::chrono::seconds(40)));
  EXPECT_TRUE(epoch.advance(TimePoint(std::chrono::seconds(40) + std::chrono::hours(2))));
  EXPECT_EQ(epoch.value(), TimePoint(std::chrono::hours(2) - std::chrono::seconds(20)));
}

TEST(PositionEpoch, ReturnsNoPositionThatIsNotAfterIt) {
  const PositionEpoch epoch(TimePoint(std::chrono::seconds(100)));
  EXPECT_FALSE(epoch.position(0));
  EXPECT_FALSE(epoch.position(40'000));
  EXPECT_EQ(epoch.position(40'001).value(), TimePoint(std::chrono::milliseconds(40'001)));
}

}  // namespace
}  // namespace stonebay
