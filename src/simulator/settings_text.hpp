// Settings as text: a line path=value each.
#pragma once

#include <cstddef>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay::simulator {

/// A setting that is missing or unreadable; the message names its key and its value.
class InvalidSetting : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// What one text of a setting stands for.
template <typename T>
struct SettingChoice {
  std::string_view text;
  T value;
};

/// The parts between separators, empty ones included.
std::vector<std::string> splitText(const std::string& text, char separator);

/// Looks settings up by key and reads their values. Every reader throws InvalidSetting.
class SettingsText {
 public:
  /// Lines without a "=" are ignored.
  explicit SettingsText(const std::string& text);

  bool has(const std::string& key) const { return values_.count(key) != 0; }
  const std::string& text(const std::string& key) const;
  /// The values of a list, joined by commas in the text.
  std::vector<std::string> list(const std::string& key) const { return splitText(text(key), ','); }
  /// A number from 0 to 9e15.
  double number(const std::string& key) const { return parseNumber(key, text(key)); }
  /// A whole number within the bounds, which belong to the range.
  int integer(const std::string& key, double min, double max) const;
  /// Microseconds.
  Duration time(const std::string& key) const { return parseTime(key, text(key)); }
  /// "true" or "false".
  bool flag(const std::string& key) const;
  /// One of the texts that are known.
  template <typename T, std::size_t kCount>
  T choice(const std::string& key, const SettingChoice<T> (&known)[kCount]) const {
    return parseChoice(key, text(key), known);
  }

  /// The same for a value that stands within a list; `key` is for the error.
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
