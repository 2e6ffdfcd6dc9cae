// The schema of the INI settings: every section and key with its format, default, bounds, meaning and the
// field that it sets. The reader, `stonebay check` and the operators' page are all derived from it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "config/config.hpp"
#include "util/units.hpp"

namespace stonebay {

/// How a value is written.
enum class ValueKind {
  Text,
  Address,    ///< IP address and port
  Addresses,  ///< the same, separated by commas
  TimeSpan,
  Size,    ///< of memory
  Count,   ///< integer
  Number,  ///< decimal number
  Share,   ///< a fraction, or a percentage
  Flag,    ///< yes or no
  Choice,  ///< one of ValueFormat::choices
  Words,   ///< separated by commas
  Hex,     ///< hexadecimal, or "random" for 0
  Domain   ///< a domain name
};

/// A parsed value: Text, Choice and Domain are strings, Size and Hex unsigned, Count signed, Number and Share
/// doubles.
using SettingValue = std::variant<std::string, Address, std::vector<Address>, Duration, std::uint64_t,
                                  std::int64_t, double, bool, std::vector<std::string>>;

/// What the keys of a section set: the Config itself, and what is made of the named section at hand.
struct SettingsDraft {
  Config& config;
  std::uint64_t memory = 0;      ///< bytes
  std::int64_t descriptors = 0;  ///< file descriptors
  ClassSettings requestClass;    ///< of the [class] at hand
  GroupName group;               ///< of the [group] at hand
  Instance endpoint;             ///< of the [member] at hand
  std::string endpointGroup;     ///< of the [member] at hand: a name or a number
};

/// What a value has to look like.
struct ValueFormat {
  ValueKind kind;
  double min;  ///< in microseconds, bytes or the plain number; equal to max: no bounds
  double max;
  std::vector<std::string> choices;  ///< of ValueKind::Choice

  /// Implicit, so that a table can name the kind alone.
  ValueFormat(ValueKind valueKind, double minimum = 0, double maximum = 0)
      : kind(valueKind), min(minimum), max(maximum) {}

  bool hasBounds() const { return min < max; }
};

/// One key of a section.
struct SettingKey {
  const char* name;
  ValueFormat format;
  const char* defaultText;  ///< as it would be written in a file; null: the key is required
  std::function<void(SettingsDraft&, const SettingValue&)> set;
  const char* meaning;  ///< for the operators' page, in Markdown
};

/// One type of section.
struct SettingsSection {
  const char* type;
  bool named;  ///< "[class NAME]", any number of them
  const char* meaning;
  std::vector<SettingKey> keys;
};

/// All sections, in the order of the operators' page.
const std::vector<SettingsSection>& settingsSections();

/// Parses a value and checks its bounds.
ParseResult<SettingValue> parseSetting(const SettingKey& key, const std::string& text);

/// The kind as the operators' page calls it.
const char* kindName(ValueKind kind);

/// A bound of a key as it is written in a file.
std::string formatBound(ValueKind kind, double bound);

}  // namespace stonebay
