#include "upstream/pg/load_report.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace stonebay {
namespace {

constexpr double kMaxPlausibleInFlight = 100000;
constexpr double kMaxClockSkewSeconds = 1;  // of a position ahead of `now`
constexpr double kMicrosecondsPerSecond = 1e6;

std::optional<double> parseNumber(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) return std::nullopt;
  return value;
}

// Returns the value of the first "name=value" item with this name, or std::nullopt if there is none or its
// value is not a number.
std::optional<double> findValue(std::string_view report, std::string_view name) {
  std::size_t start = 0;
  while (start < report.size()) {
    const std::size_t end = std::min(report.find(',', start), report.size());
    const std::string_view item = report.substr(start, end - start);
    const std::size_t equals = item.find('=');
    if (equals != std::string_view::npos && item.substr(0, equals) == name)
      return parseNumber(item.substr(equals + 1));
    start = end + 1;
  }
  return std::nullopt;
}

bool isPlausible(ReportField field, double value, double nowSeconds) {
  if (!std::isfinite(value)) return false;
  switch (field) {
    case ReportField::Position:
      return value >= 0 && value <= nowSeconds + kMaxClockSkewSeconds;
    case ReportField::Primary:
      return value == 0 || value == 1;
    default:
      return value >= 0 && value <= kMaxPlausibleInFlight;
  }
}

}  // namespace

std::vector<double> parseLoadReport(std::string_view report, const std::vector<std::string>& names,
                                    const std::vector<ReportField>& fields, TimePoint now) {
  const double nowSeconds = static_cast<double>(now.time_since_epoch().count()) / kMicrosecondsPerSecond;
  std::vector<double> values;
  values.reserve(names.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    const std::optional<double> value = findValue(report, names[i]);
    if (!value || !isPlausible(fields[i], *value, nowSeconds)) return {};
    values.push_back(*value);
  }
  return values;
}

}  // namespace stonebay
