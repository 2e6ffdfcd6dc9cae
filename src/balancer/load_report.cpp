#include "balancer/load_report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace stonebay::balancer {
namespace {

constexpr float kMaxPositionSeconds = 1e9F;
constexpr float kMaxInFlight = 1e6F;
constexpr double kMicrosecondsPerSecond = 1e6;

std::optional<TimePoint> decodePosition(float seconds, TimePoint epoch) {
  if (!(seconds > 0 && seconds < kMaxPositionSeconds)) return std::nullopt;
  const auto proven = static_cast<double>(std::nextafterf(seconds, 0.0F));
  return epoch + Duration(static_cast<std::int64_t>(std::floor(proven * kMicrosecondsPerSecond)));
}

}  // namespace

LoadReport decodeLoadReport(const std::vector<float>& values, const Settings& settings) {
  LoadReport report;
  const std::size_t count = std::min(values.size(), settings.reportFields.size());
  for (std::size_t k = 0; k < count; ++k) {
    const float value = values[k];
    switch (settings.reportFields[k]) {
      case ReportField::Position:
        if (const auto position = decodePosition(value, settings.positionEpoch)) report.position = position;
        break;
      case ReportField::Primary:
        report.role = value >= 0.5F ? Role::Primary : Role::Replica;
        break;
      case ReportField::InFlight:
        if (value >= 0 && value < kMaxInFlight) report.inFlight = static_cast<int>(value);
        break;
      case ReportField::Queue:
      case ReportField::Other:
        break;
    }
  }
  return report;
}

}  // namespace stonebay::balancer
