#include "discovery/dnssd/txt_record.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

namespace stonebay {
namespace {

constexpr std::size_t kMaxTextBytes = 63;  // for a zone or a kind
constexpr double kMaxWeight = 1e6;

template <typename T>
bool parseNumber(const std::string& text, T& value) {
  const char* const end = text.data() + text.size();
  const auto [parsedEnd, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && parsedEnd == end;
}

std::string lowerCase(std::string text) {
  for (char& character : text)
    if (character >= 'A' && character <= 'Z') character = static_cast<char>(character - 'A' + 'a');
  return text;
}

// The key-value pairs of a TXT record.
class TxtPairs {
 public:
  explicit TxtPairs(const std::vector<std::string>& strings) {
    for (const std::string& string : strings) {
      const std::size_t equals = string.find('=');
      const std::string key = lowerCase(string.substr(0, equals));
      if (key.empty()) continue;  // must be ignored (RFC 6763 section 6.4)
      values_.emplace(key, equals == std::string::npos ? std::string() : string.substr(equals + 1));
    }
  }

  bool has(const std::string& key) const { return values_.count(key) > 0; }
  // Returns an empty string if the key is missing.
  std::string value(const std::string& key) const {
    const auto it = values_.find(key);
    return it == values_.end() ? std::string() : it->second;
  }
  TxtError error(const std::string& key, const std::string& problem) const {
    return {key, key + "=" + value(key).substr(0, kMaxTextBytes) + ": " + problem};
  }

 private:
  std::map<std::string, std::string> values_;
};

std::optional<TxtError> parseGroup(const TxtPairs& pairs, const std::vector<GroupName>& groups,
                                   std::optional<GroupId> defaultGroup, Instance& instance) {
  if (!pairs.has("group")) {
    if (!defaultGroup) return TxtError{"group", "group is missing, and the settings have no default"};
    instance.group = *defaultGroup;
    return std::nullopt;
  }
  const std::string text = pairs.value("group");
  const auto groupWithName =
      std::find_if(groups.begin(), groups.end(), [&](const GroupName& group) { return group.name == text; });
  std::uint16_t number = 0;
  if (groupWithName != groups.end())
    instance.group = groupWithName->id;
  else if (parseNumber(text, number))
    instance.group = number;
  else
    return pairs.error("group", "neither a group of the settings nor a number");
  return std::nullopt;
}

bool parseWeight(const std::string& text, double& weight) {
  return parseNumber(text, weight) && std::isfinite(weight) && weight > 0 && weight <= kMaxWeight;
}

std::optional<TxtError> parseState(const TxtPairs& pairs, Instance& instance) {
  const std::string state = pairs.value("state");
  if (!state.empty() && state != "active" && state != "leaving")
    return pairs.error("state", "neither active nor leaving");
  instance.state = state == "leaving" ? Lifecycle::Draining : Lifecycle::Ready;
  return std::nullopt;
}

}  // namespace

std::optional<TxtError> parseTxt(const std::vector<std::string>& strings,
                                 const std::vector<GroupName>& groups, std::optional<GroupId> defaultGroup,
                                 Instance& instance) {
  const TxtPairs pairs(strings);
  if (pairs.has("txtvers") && pairs.value("txtvers") != "1")
    return pairs.error("txtvers", "only version 1 is known");
  if (auto error = parseGroup(pairs, groups, defaultGroup, instance)) return error;
  for (const char* key : {"zone", "kind"})
    if (pairs.value(key).size() > kMaxTextBytes) return pairs.error(key, "too long");
  instance.zone = pairs.value("zone");
  instance.kind = pairs.value("kind");
  const std::string weight = pairs.value("weight");
  if (!weight.empty() && !parseWeight(weight, instance.weight))
    return pairs.error("weight", "not a number above 0");
  if (auto error = parseState(pairs, instance)) return error;
  const std::string started = pairs.value("started");
  if (!started.empty() && (!parseNumber(started, instance.startedMs) || instance.startedMs < 0))
    return pairs.error("started", "not a Unix time in milliseconds");
  return std::nullopt;
}

}  // namespace stonebay
