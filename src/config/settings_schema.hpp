// The schema of the INI settings: every section and key with its format, default, bounds, meaning and the
// field that it sets. The reader, `stonebay check` and the operators' page all use it.
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
  Addresses,  ///< several addresses, separated by commas
  TimeSpan,
  Size,    ///< amount of memory
  Count,   ///< integer
  Number,  ///< decimal number
  Share,   ///< a fraction, or a percentage
  Flag,    ///< yes or no
  Choice,  ///< one of ValueFormat::choices
  Words,   ///< several words, separated by commas
  Hex,     ///< hexadecimal, or "random" for 0
  Domain   ///< a domain name
};

/// A parsed value. Text, Choice and Domain are strings; Size and Hex are unsigned integers; Count is a signed
/// integer; Number and Share are doubles.
using SettingValue = std::variant<std::string, Address, std::vector<Address>, Duration, std::uint64_t,
                                  std::int64_t, double, bool, std::vector<std::string>>;

/// The objects that the keys set while a file is read: the Config, and the object that the current named
/// section describes.
struct SettingsDraft {
  Config& config;
  std::uint64_t memory = 0;      ///< limit in bytes
  std::int64_t descriptors = 0;  ///< limit on file descriptors
  ClassSettings requestClass;    ///< the current [class]
  GroupName group;               ///< the current [group]
  Instance endpoint;             ///< the current [member]
  std::string endpointGroup;     ///< group of the current [member]: a name or a number
};

/// The format that a value must have.
struct ValueFormat {
  ValueKind kind;
  double min;  ///< microseconds, bytes or a plain number; there are no bounds if min equals max
  double max;
  std::vector<std::string> choices;  ///< for ValueKind::Choice

  /// Implicit, so that a table can specify just the kind.
  ValueFormat(ValueKind valueKind, double minimum = 0, double maximum = 0)
      : kind(valueKind), min(minimum), max(maximum) {}

  bool hasBounds() const { return min < max; }
};

/// One key of a section.
struct SettingKey {
  const char* name;
  ValueFormat format;
  const char* defaultText;  ///< as written in a file; null if the key is required
  std::function<void(SettingsDraft&, const SettingValue&)> set;
  const char* meaning;  ///< description on the operators' page, in Markdown
};

/// One type of section.
struct SettingsSection {
  const char* type;
  bool named;  ///< sections such as "[class NAME]", of which there may be any number
  const char* meaning;
  std::vector<SettingKey> keys;
};

/// Returns all sections, in the order of the operators' page.
const std::vector<SettingsSection>& settingsSections();

/// Parses a value and checks its bounds.
ParseResult<SettingValue> parseSetting(const SettingKey& key, const std::string& text);

/// Returns the name of a kind on the operators' page.
const char* kindName(ValueKind kind);

/// Formats a bound as it would be written in a file.
std::string formatBound(ValueKind kind, double bound);

}  // namespace stonebay
