// The keys of each settings section, and helpers for the tables that define them. Only for
// settings_schema.cpp and the *_keys.cpp files.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>
#include <type_traits>
#include <vector>

#include "config/settings_schema.hpp"

namespace stonebay {

std::vector<SettingKey> proxyKeys();
std::vector<SettingKey> limitsKeys();
std::vector<SettingKey> logKeys();
std::vector<SettingKey> discoveryKeys();
std::vector<SettingKey> dnssdKeys();
std::vector<SettingKey> dataServersKeys();
std::vector<SettingKey> clientsKeys();
std::vector<SettingKey> rulesKeys();
std::vector<SettingKey> goalKeys();
std::vector<SettingKey> classKeys();
std::vector<SettingKey> groupKeys();
std::vector<SettingKey> memberKeys();

/// SettingKey::defaultText of a required key, which has no default.
constexpr const char* kRequired = nullptr;

/// Units for the bounds of durations, in microseconds.
constexpr double kMillisecond = 1e3;
constexpr double kSecond = 1e6;
constexpr double kHour = 3600e6;

/// One of the words that a setting accepts, and the value it selects.
template <typename T>
struct Choice {
  const char* word;
  T value;
};

/// Returns the object of the given type that the setters of keys write to.
inline SettingsDraft& target(SettingsDraft& draft, const SettingsDraft* /*type*/) { return draft; }
inline Config& target(SettingsDraft& draft, const Config* /*type*/) { return draft.config; }
inline Settings& target(SettingsDraft& draft, const Settings* /*type*/) { return draft.config.settings; }
inline DnsSdSettings& target(SettingsDraft& draft, const DnsSdSettings* /*type*/) {
  return draft.config.dnssd;
}
inline ClassSettings& target(SettingsDraft& draft, const ClassSettings* /*type*/) {
  return draft.requestClass;
}
inline GroupName& target(SettingsDraft& draft, const GroupName* /*type*/) { return draft.group; }
inline Instance& target(SettingsDraft& draft, const Instance* /*type*/) { return draft.endpoint; }

/// Returns a setter that stores the parsed value in a field. Fields of type int and GroupId take their value
/// from ValueKind::Count, which is parsed as a 64-bit integer.
template <typename Object, typename Field>
auto assign(Field Object::*field) {
  constexpr bool kNarrows = std::is_same_v<Field, int> || std::is_same_v<Field, GroupId>;
  using Value = std::conditional_t<kNarrows, std::int64_t, Field>;
  return [field](SettingsDraft& draft, const SettingValue& value) {
    target(draft, static_cast<const Object*>(nullptr)).*field = static_cast<Field>(std::get<Value>(value));
  };
}

/// Returns a setter that stores the value which the chosen word selects.
template <typename Object, typename Field, std::size_t N>
auto assign(Field Object::*field, const Choice<Field> (&choices)[N]) {
  return [field, &choices](SettingsDraft& draft, const SettingValue& value) {
    const auto& word = std::get<std::string>(value);
    const auto* const chosen = std::find_if(std::begin(choices), std::end(choices),
                                            [&](const Choice<Field>& choice) { return word == choice.word; });
    target(draft, static_cast<const Object*>(nullptr)).*field = chosen->value;
  };
}

/// Returns the format of a key that accepts one of the words in a table.
template <typename T, std::size_t N>
ValueFormat oneOf(const Choice<T> (&choices)[N]) {
  ValueFormat format(ValueKind::Choice);
  for (const Choice<T>& choice : choices) format.choices.emplace_back(choice.word);
  return format;
}

}  // namespace stonebay
