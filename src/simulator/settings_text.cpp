#include "simulator/settings_text.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>

namespace stonebay::simulator {
namespace {

// Up to here a double represents every integer exactly, and a Duration does not overflow.
constexpr double kMaxNumber = 9e15;

}  // namespace

std::vector<std::string> splitText(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(separator, begin), text.size());
    parts.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

SettingsText::SettingsText(const std::string& text) {
  for (const std::string& line : splitText(text, '\n')) {
    const std::size_t equals = line.find('=');
    if (equals != std::string::npos) values_[line.substr(0, equals)] = line.substr(equals + 1);
  }
}

const std::string& SettingsText::text(const std::string& key) const {
  const auto it = values_.find(key);
  if (it == values_.end()) throw InvalidSetting("setting " + key + " is missing");
  return it->second;
}

int SettingsText::integer(const std::string& key, double min, double max) const {
  const double value = number(key);
  if (value < min || value > max || value != std::floor(value))
    throw InvalidSetting("setting " + key + " is out of range: '" + text(key) + "'");
  return static_cast<int>(value);
}

bool SettingsText::flag(const std::string& key) const {
  constexpr SettingChoice<bool> kFlags[] = {{"true", true}, {"false", false}};
  return choice(key, kFlags);
}

double SettingsText::parseNumber(const std::string& key, const std::string& value) {
  char* end = nullptr;
  const double number = std::strtod(value.c_str(), &end);
  const bool complete = !value.empty() && *end == '\0';
  if (!complete || !std::isfinite(number) || number < 0 || number > kMaxNumber)
    throw InvalidSetting("setting " + key + " is not a number from 0 to 9e15: '" + value + "'");
  return number;
}

Duration SettingsText::parseTime(const std::string& key, const std::string& value) {
  return Duration(static_cast<std::int64_t>(parseNumber(key, value)));
}

}  // namespace stonebay::simulator
