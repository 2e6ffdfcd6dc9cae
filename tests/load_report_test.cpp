// Tests of the decoding of load reports.
#include "balancer/load_report.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace stonebay::balancer {
namespace {

Settings reportSettings() {
  Settings settings;
  settings.reportFields = {ReportField::Position, ReportField::Primary, ReportField::Other,
                           ReportField::InFlight};
  settings.positionEpoch = TimePoint(std::chrono::seconds(1000));
  return settings;
}

TEST(LoadReport, DecodesPositionRoleAndLoad) {
  const LoadReport report = decodeLoadReport({8.5F, 1.0F, 77.0F, 12.0F}, reportSettings());
  ASSERT_TRUE(report.position.has_value());
  EXPECT_EQ(report.role, Role::Primary);
  EXPECT_EQ(report.inFlight, 12);
}

TEST(LoadReport, PositionIsRoundedDown) {
  const LoadReport report = decodeLoadReport({8.5F}, reportSettings());
  const TimePoint exact(std::chrono::milliseconds(1008500));
  EXPECT_LT(*report.position, exact);
  EXPECT_GE(*report.position, exact - std::chrono::microseconds(2));
}

TEST(LoadReport, IgnoresValuesThatAreMissingOrOutOfRange) {
  const float infinite = std::numeric_limits<float>::infinity();
  const LoadReport report = decodeLoadReport({-1.0F, 0.0F, 0.0F, infinite}, reportSettings());
  EXPECT_FALSE(report.position.has_value());
  EXPECT_EQ(report.role, Role::Replica);
  EXPECT_FALSE(report.inFlight.has_value());
  const LoadReport empty = decodeLoadReport({}, reportSettings());
  EXPECT_FALSE(empty.position.has_value());
  EXPECT_EQ(empty.role, Role::Unknown);
}

}  // namespace
}  // namespace stonebay::balancer
