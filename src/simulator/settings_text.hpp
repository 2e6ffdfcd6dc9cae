// Settings in text form, one per line as path=value.
#pragma once

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay::simulator {

/// Thrown if a setting is missing or invalid. The message contains its key and, if there is one, its value.
class InvalidSetting : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One of the texts that a setting accepts, and the value it means.
template <typename T>
struct SettingChoice {
  std::string_view text;
  T value;
};

/// Splits `text` at every separator. Empty parts are kept.
std::vector<std::string> splitText(const std::string& text, char separator);

/// Looks up settings by key and parses their values. All functions but the constructor and has() throw
/// InvalidSetting if the setting is missing or invalid.
class SettingsText {
 public:
  /// Lines without a "=" are ignored.
  explicit SettingsText(const std::string& text);

  bool has(const std::string& key) const { return values_.count(key) != 0; }
  const std::string& text(const std::string& key) const;
  /// Returns the values of a list, which are separated by commas.
  std::vector<std::string> list(const std::string& key) const { return splitText(text(key), ','); }
  /// Returns a number from 0 to 9e15.
  double number(const std::string& key) const { return parseNumber(key, text(key)); }
  /// Returns an integer from `min` to `max`, inclusive.
  int integer(const std::string& key, double min, double max) const;
  /// Returns a duration, given as a number of microseconds.
  Duration time(const std::string& key) const { return parseTime(key, text(key)); }
  /// Returns a flag, given as "true" or "false".
  bool flag(const std::string& key) const;
  /// Returns the value of the text, which must be one of the `known` ones.
  template <typename T, std::size_t kCount>
  T choice(const std::string& key, const SettingChoice<T> (&known)[kCount]) const {
    return parseChoice(key, text(key), known);
  }

  /// Parse one value of a list. `key` is used only in the error message.
  static double parseNumber(const std::string& key, const std::string& value);
  static Duration parseTime(const std::string& key, const std::string& value);
  template <typename T, std::size_t kCount>
  static T parseChoice(const std::string& key, const std::string& value,
                       const SettingChoice<T> (&known)[kCount]) {
    for (const SettingChoice<T>& choice : known)
      if (choice.text == value) return choice.value;
    throw InvalidSetting("setting " + key + " has an unknown value: '" + value + "'");
  }

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace stonebay::simulator
