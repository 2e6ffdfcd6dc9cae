// Parses and formats the values of settings, by kind.
#include <algorithm>
#include <charconv>
#include <sstream>

#include "config/settings_schema.hpp"

namespace stonebay {
namespace {

using Result = ParseResult<SettingValue>;

// Limits of RFC 1035 section 2.3.4, for a name without the trailing dot.
constexpr std::size_t kMaxDomainLength = 253;
constexpr std::size_t kMaxLabelLength = 63;

Result parseText(const SettingKey& key, const std::string& text) {
  if (text.empty() && key.defaultText == nullptr) return ValueError{"it is empty", "give it a value"};
  return SettingValue(text);
}

ParseResult<Address> parseOneAddress(const std::string& text) {
  if (const auto address = Address::parse(text)) return *address;
  return ValueError{"'" + text + "' is not an address with a port",
                    "write it as 10.1.0.18:5432 or [fd00::18]:5432; host names are not resolved"};
}

// Splits a comma-separated list. Blanks around items are removed, and empty items are skipped.
std::vector<std::string> splitAtCommas(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream input(text);
  std::string item;
  while (std::getline(input, item, ',')) {
    item.erase(0, item.find_first_not_of(" \t"));
    item.erase(item.find_last_not_of(" \t") + 1);
    if (!item.empty()) items.push_back(item);
  }
  return items;
}

// Converts a result whose type T is one of the alternatives of SettingValue.
template <typename T>
Result toSettingValue(const ParseResult<T>& result) {
  if (const auto* const error = std::get_if<ValueError>(&result)) return *error;
  return SettingValue(std::get<T>(result));
}

template <typename T, ParseResult<T> (*parse)(std::string_view)>
Result parsePlain(const SettingKey& /*key*/, const std::string& text) {
  return toSettingValue(parse(text));
}

Result parseAddressValue(const SettingKey& /*key*/, const std::string& text) {
  if (text.empty()) return SettingValue(Address());
  return toSettingValue(parseOneAddress(text));
}

Result parseAddressList(const SettingKey& /*key*/, const std::string& text) {
  std::vector<Address> addresses;
  for (const std::string& item : splitAtCommas(text)) {
    const auto address = parseOneAddress(item);
    if (const auto* const error = std::get_if<ValueError>(&address)) return *error;
    addresses.push_back(std::get<Address>(address));
  }
  return SettingValue(addresses);
}

Result parseWords(const SettingKey& /*key*/, const std::string& text) {
  return SettingValue(splitAtCommas(text));
}

Result parseHex(const SettingKey& /*key*/, const std::string& text) {
  std::uint64_t number = 0;
  if (text == "random") return SettingValue(number);
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, 16);
  if (error == std::errc() && stop == end) return SettingValue(number);
  return ValueError{"'" + text + "' is not a hexadecimal number",
                    "write up to 16 hexadecimal digits (0 to 9, a to f), or random"};
}

Result parseChoice(const SettingKey& key, const std::string& text) {
  const std::vector<std::string>& choices = key.format.choices;
  if (std::find(choices.begin(), choices.end(), text) != choices.end()) return SettingValue(text);
  std::string list;
  for (const std::string& choice : choices) list += (list.empty() ? "" : ", ") + choice;
  const std::string closest = closestMatch(text, choices);
  return ValueError{"'" + text + "' is not one of " + list,
                    closest.empty() ? "write one of them" : "did you mean '" + closest + "'?"};
}

// std::isalnum depends on the locale, so it is not used here.
bool isLabelCharacter(char byte) {
  const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
  const bool digit = byte >= '0' && byte <= '9';
  return letter || digit || byte == '-' || byte == '_';
}

bool isDomainName(const std::string& text) {
  if (text.size() > kMaxDomainLength) return false;
  std::size_t labelLength = 0;
  for (const char byte : text) {
    if (byte == '.') {
      if (labelLength == 0) return false;
      labelLength = 0;
      continue;
    }
    ++labelLength;
    if (!isLabelCharacter(byte) || labelLength > kMaxLabelLength) return false;
  }
  return true;
}

Result parseDomain(const SettingKey& /*key*/, const std::string& text) {
  if (isDomainName(text)) return SettingValue(text);
  return ValueError{"'" + text + "' is not a domain name",
                    "write labels of letters, digits, - and _ separated by dots, such as ruwi.example.org"};
}

struct KindInfo {
  ValueKind kind;
  const char* name;  // as shown on the operators' page
  Result (*parse)(const SettingKey&, const std::string&);
};

constexpr KindInfo kKinds[] = {
    {ValueKind::Text, "text", parseText},
    {ValueKind::Address, "address", parseAddressValue},
    {ValueKind::Addresses, "addresses", parseAddressList},
    {ValueKind::TimeSpan, "time", parsePlain<Duration, parseDuration>},
    {ValueKind::Size, "size", parsePlain<std::uint64_t, parseSize>},
    {ValueKind::Count, "whole number", parsePlain<std::int64_t, parseCount>},
    {ValueKind::Number, "number", parsePlain<double, parseNumber>},
    {ValueKind::Share, "share", parsePlain<double, parseShare>},
    {ValueKind::Flag, "yes or no", parsePlain<bool, parseFlag>},
    {ValueKind::Choice, "choice", parseChoice},
    {ValueKind::Words, "words", parseWords},
    {ValueKind::Hex, "hexadecimal", parseHex},
    {ValueKind::Domain, "domain name", parseDomain},
};

const KindInfo& kindInfo(ValueKind kind) {
  return *std::find_if(std::begin(kKinds), std::end(kKinds),
                       [&](const KindInfo& info) { return info.kind == kind; });
}

// Visitor of SettingValue that converts a value to the number that is compared with its bounds. Returns 0 for
// kinds without bounds.
struct Magnitude {
  double operator()(Duration duration) const { return static_cast<double>(duration.count()); }
  double operator()(std::uint64_t number) const { return static_cast<double>(number); }
  double operator()(std::int64_t number) const { return static_cast<double>(number); }
  double operator()(double number) const { return number; }
  template <typename T>
  double operator()(const T& /*unbounded*/) const {
    return 0;
  }
};

}  // namespace

const char* kindName(ValueKind kind) { return kindInfo(kind).name; }

ParseResult<SettingValue> parseSetting(const SettingKey& key, const std::string& text) {
  const ValueFormat& format = key.format;
  Result result = kindInfo(format.kind).parse(key, text);
  if (std::holds_alternative<ValueError>(result) || !format.hasBounds()) return result;
  const double magnitude = std::visit(Magnitude{}, std::get<SettingValue>(result));
  if (magnitude >= format.min && magnitude <= format.max) return result;
  return ValueError{"'" + text + "' is out of range", "write " + formatBound(format.kind, format.min) +
                                                          " to " + formatBound(format.kind, format.max)};
}

std::string formatBound(ValueKind kind, double bound) {
  if (kind == ValueKind::TimeSpan) return formatDuration(Duration(static_cast<std::int64_t>(bound)));
  if (kind == ValueKind::Size) return formatSize(static_cast<std::uint64_t>(bound));
  std::ostringstream text;
  if (kind == ValueKind::Share)
    text << bound * 100 << "%";
  else
    text << bound;
  return text.str();
}

}  // namespace stonebay
