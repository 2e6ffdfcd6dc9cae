#include "util/units.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace stonebay {
namespace {

constexpr double kMaxMicroseconds = 9e15;  // about 285 years; exactly representable as a double
constexpr double kMaxBytes = 1e15;
constexpr std::size_t kMaxEditDistance = 2;

struct Unit {
  std::string_view name;
  double factor;
};
constexpr Unit kDurationUnits[] = {{"us", 1},     {"ms", 1e3},   {"s", 1e6},
                                   {"min", 60e6}, {"h", 3600e6}, {"d", 86400e6}};
constexpr Unit kSizeUnits[] = {{"B", 1}, {"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}};

constexpr const char* kDurationFix = "write a number with us, ms, s, min, h or d, such as 250ms";
constexpr const char* kSizeFix = "write a whole number with B, KB, MB or GB, such as 64MB";
constexpr const char* kShareFix = "write a share such as 21% or 0.21";

struct Quantity {
  double value = 0;
  std::string_view unit;  // as written; empty if there is none
};

std::optional<Quantity> parseQuantity(std::string_view text) {
  Quantity quantity;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, quantity.value, std::chars_format::fixed);
  if (error != std::errc() || !std::isfinite(quantity.value)) return std::nullopt;
  quantity.unit = std::string_view(stop, static_cast<std::size_t>(end - stop));
  quantity.unit.remove_prefix(std::min(quantity.unit.find_first_not_of(' '), quantity.unit.size()));
  return quantity;
}

template <std::size_t N>
const Unit* findUnit(const Unit (&units)[N], std::string_view name) {
  const Unit* const found =
      std::find_if(std::begin(units), std::end(units), [&](const Unit& unit) { return unit.name == name; });
  return found == std::end(units) ? nullptr : found;
}

ValueError valueError(std::string_view text, const std::string& problem, const char* fix) {
  return {"'" + std::string(text) + "' " + problem, fix};
}

ValueError unknownUnit(std::string_view text, std::string_view unit, const char* fix) {
  return valueError(text, "has the unknown unit '" + std::string(unit) + "'", fix);
}

// Returns the Levenshtein distance. Only one row of the table is kept in memory.
std::size_t editDistance(std::string_view from, std::string_view to) {
  std::vector<std::size_t> row(to.size() + 1);
  for (std::size_t k = 0; k < row.size(); ++k) row[k] = k;
  for (std::size_t i = 0; i < from.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t k = 1; k < row.size(); ++k) {
      const std::size_t replaced = diagonal + (from[i] == to[k - 1] ? 0 : 1);
      diagonal = row[k];
      row[k] = std::min({row[k] + 1, row[k - 1] + 1, replaced});
    }
  }
  return row.back();
}

}  // namespace

ParseResult<std::chrono::microseconds> parseDuration(std::string_view text) {
  if (text == "0") return std::chrono::microseconds(0);
  const auto quantity = parseQuantity(text);
  if (!quantity) return valueError(text, "is not a duration", kDurationFix);
  if (quantity->unit.empty()) return valueError(text, "has no unit", kDurationFix);
  const Unit* const unit = findUnit(kDurationUnits, quantity->unit);
  if (!unit && findUnit(kSizeUnits, quantity->unit))
    return valueError(text, "is a size, not a duration", kDurationFix);
  if (!unit) return unknownUnit(text, quantity->unit, kDurationFix);
  const double us = quantity->value * unit->factor;
  if (us < 0) return valueError(text, "is negative", kDurationFix);
  if (us > kMaxMicroseconds) return valueError(text, "is too long", kDurationFix);
  return std::chrono::microseconds(static_cast<std::int64_t>(std::llround(us)));
}

ParseResult<std::uint64_t> parseSize(std::string_view text) {
  const auto quantity = parseQuantity(text);
  if (!quantity) return valueError(text, "is not a size", kSizeFix);
  if (quantity->unit.empty()) return valueError(text, "has no unit", kSizeFix);
  const Unit* const unit = findUnit(kSizeUnits, quantity->unit);
  if (!unit && findUnit(kDurationUnits, quantity->unit))
    return valueError(text, "is a duration, not a size", kSizeFix);
  if (!unit) return unknownUnit(text, quantity->unit, kSizeFix);
  const double bytes = quantity->value * unit->factor;
  if (bytes < 0) return valueError(text, "is negative", kSizeFix);
  if (bytes > kMaxBytes) return valueError(text, "is too large", kSizeFix);
  if (bytes != std::floor(bytes)) return valueError(text, "is not a whole number of bytes", kSizeFix);
  return static_cast<std::uint64_t>(bytes);
}

ParseResult<double> parseShare(std::string_view text) {
  const auto quantity = parseQuantity(text);
  if (!quantity) return valueError(text, "is not a share", kShareFix);
  if (quantity->unit.empty()) return quantity->value;
  if (quantity->unit == "%") return quantity->value / 100;
  return valueError(text, "is not a share", kShareFix);
}

ParseResult<std::int64_t> parseCount(std::string_view text) {
  std::int64_t count = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, count);
  if (error == std::errc() && stop == end) return count;
  return valueError(text, "is not a whole number", "write only digits, such as 8");
}

ParseResult<double> parseNumber(std::string_view text) {
  const auto quantity = parseQuantity(text);
  if (quantity && quantity->unit.empty()) return quantity->value;
  return valueError(text, "is not a number", "write a number such as 2.5");
}

ParseResult<bool> parseFlag(std::string_view text) {
  if (text == "yes" || text == "on" || text == "true") return true;
  if (text == "no" || text == "off" || text == "false") return false;
  return valueError(text, "is neither yes nor no", "write yes or no");
}

std::string formatDuration(std::chrono::microseconds duration) {
  const auto us = duration.count();
  if (us == 0) return "0";
  if (us % 3600000000 == 0) return std::to_string(us / 3600000000) + "h";
  if (us % 60000000 == 0) return std::to_string(us / 60000000) + "min";
  if (us % 1000000 == 0) return std::to_string(us / 1000000) + "s";
  if (us % 1000 == 0) return std::to_string(us / 1000) + "ms";
  return std::to_string(us) + "us";
}

std::string formatSize(std::uint64_t bytes) {
  for (const Unit* unit = std::end(kSizeUnits) - 1; unit != kSizeUnits; --unit) {
    const auto factor = static_cast<std::uint64_t>(unit->factor);
    if (bytes > 0 && bytes % factor == 0) return std::to_string(bytes / factor) + std::string(unit->name);
  }
  return std::to_string(bytes) + "B";
}

std::string closestMatch(std::string_view text, const std::vector<std::string>& candidates) {
  std::size_t minDistance = kMaxEditDistance + 1;
  std::string closest;
  for (const std::string& candidate : candidates) {
    const std::size_t distance = editDistance(text, candidate);
    if (distance >= minDistance) continue;
    minDistance = distance;
    closest = candidate;
  }
  return closest;
}

}  // namespace stonebay
