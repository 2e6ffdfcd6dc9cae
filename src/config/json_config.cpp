// Reads the platform's JSON format of the configuration.
#include <algorithm>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "config/config.hpp"
#include "discovery/json.hpp"
#include "simulator/settings_parser.hpp"

namespace stonebay {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::element_type;
using simdjson::dom::object;

constexpr unsigned kMegabyteShift = 20;
constexpr std::int64_t kMinConnectTimeoutUs = 1000;
constexpr std::int64_t kMaxConnectTimeoutUs = 60000000;
constexpr std::int64_t kMinIdleTimeoutUs = 1000000;
constexpr std::int64_t kMaxIdleTimeoutUs = 2000000000;

// Replaces the characters that separate items and lines in the simulator's settings by underscores.
std::string replaceSeparators(std::string_view value) {
  std::string text(value);
  for (char& byte : text)
    if (byte == ' ' || byte == ',' || byte == '\n') byte = '_';
  return text;
}

std::string formatDouble(double number) {
  char text[32];
  std::snprintf(text, sizeof text, "%.17g", number);
  return text;
}

std::string formatScalar(const element& value) {
  switch (value.type()) {
    case element_type::BOOL:
      return bool(value) ? "true" : "false";
    case element_type::DOUBLE:
      return formatDouble(double(value));
    case element_type::STRING:
      return replaceSeparators(std::string_view(value));
    case element_type::INT64:
    case element_type::UINT64:
      return simdjson::minify(value);
    default:
      return "";
  }
}

// Appends the settings in the simulator's wire format, so that both are read by the same parser. Each scalar
// is a line "path=value". An array of scalars is one value, separated by commas. Each object in an array of
// objects has its index in the path, and the line "path.count" has their number.
void appendSettings(const element& value, const std::string& path, std::string& lines);

void appendArray(const element& value, const std::string& path, std::string& lines) {
  const std::string prefix = path.empty() ? "" : path + ".";
  std::string joined;
  std::size_t count = 0;
  bool hasObjects = false;
  for (const element item : array(value)) {
    hasObjects = hasObjects || item.is_object();
    if (hasObjects)
      appendSettings(item, prefix + std::to_string(count), lines);
    else
      joined += (count > 0 ? "," : "") + formatScalar(item);
    ++count;
  }
  if (hasObjects)
    lines += prefix + "count=" + std::to_string(count) + "\n";
  else
    lines += path + "=" + joined + "\n";
}

void appendSettings(const element& value, const std::string& path, std::string& lines) {
  if (value.is_array()) {
    appendArray(value, path, lines);
  } else if (value.is_object()) {
    const std::string prefix = path.empty() ? "" : path + ".";
    for (const auto [key, member] : object(value)) appendSettings(member, prefix + std::string(key), lines);
  } else {
    lines += path + "=" + formatScalar(value) + "\n";
  }
}

// Reads an array of strings.
std::vector<std::string> readStrings(const element& parent, const std::string& path, const char* key) {
  std::vector<std::string> strings;
  for (const element item : jsonField<array>(parent, key, path)) {
    std::string_view text;
    if (item.get(text)) throw InvalidInput("key " + path + key + ": not all items are strings");
    strings.emplace_back(text);
  }
  return strings;
}

std::int64_t readInteger(const element& parent, const char* key, const std::string& path, std::int64_t min,
                         std::int64_t max) {
  const auto number = jsonField<std::int64_t>(parent, key, path);
  if (number < min || number > max)
    throw InvalidInput("key " + path + key + ": " + std::to_string(number) + " is not in " +
                       std::to_string(min) + " to " + std::to_string(max));
  return number;
}

Address readAddress(const element& root, const char* key) {
  return parseAddress(jsonField<std::string_view>(root, key, ""), key);
}

// Gossip is optional: it is disabled unless both addresses are set.
void readGossip(const element& root, Config& config) {
  std::string_view listen;
  std::string_view broadcast;
  const bool hasListen = root["peer_listen"].get(listen) == simdjson::SUCCESS;
  const bool hasBroadcast = root["peers_all"].get(broadcast) == simdjson::SUCCESS;
  if (!hasListen || !hasBroadcast) return;
  config.gossipListen = parseAddress(listen, "peer_listen");
  config.gossipBroadcast = parseAddress(broadcast, "peers_all");
  for (const std::string& peer : readStrings(root, "", "peers"))
    config.gossipPeers.push_back(parseAddress(peer, "peers"));
}

std::uint64_t readSeed(const element& root) {
  const auto text = jsonField<std::string_view>(root, "seed", "");
  const char* const end = text.data() + text.size();
  std::uint64_t seed = 0;
  const auto [stop, error] = std::from_chars(text.data(), end, seed, 16);
  if (error != std::errc() || stop != end)
    throw InvalidInput("key seed: '" + std::string(text) + "' is not a hexadecimal number");
  return seed;
}

void readLimits(const element& root, Config& config) {
  const std::string path = "limits.";
  const auto limits = jsonField<element>(root, "limits", "");
  const auto descriptors = readInteger(limits, "sockets", path, kMinDescriptors, kMaxDescriptors);
  const auto megabytes = readInteger(limits, "memory_mb", path, kMinMemoryBytes >> kMegabyteShift,
                                     kMaxMemoryBytes >> kMegabyteShift);
  deriveLimits(config, static_cast<std::size_t>(descriptors),
               static_cast<std::uint64_t>(megabytes) << kMegabyteShift);
}

void readLoadBalancerSettings(const element& settings, Config& config) {
  std::string lines;
  appendSettings(settings, "", lines);
  try {
    config.settings = simulator::parseSettings(lines);
  } catch (const simulator::InvalidSetting& e) {
    throw InvalidInput(std::string("key settings: ") + e.what());
  }
  // allowed.retryAfter applies only to the simulator's clients. Clients on sockets always accept Retry-After.
  config.settings.retryAfterAllowed = true;
  config.settings.gossipAllowed = config.settings.gossipAllowed && !config.gossipListen.isUnset();
}

// Reads the names of classes, zones and report values, which the load balancer knows only by index.
void readNames(const element& settings, Config& config) {
  for (const element item : jsonField<array>(settings, "classes", "settings.")) {
    const std::string path = "settings.classes[" + std::to_string(config.classes.size()) + "].";
    config.classes.emplace_back(jsonField<std::string_view>(item, "name", path));
  }
  config.zones = readStrings(settings, "settings.", "zones");
  if (config.settings.reports == LoadReports::None) return;
  const auto report = jsonField<element>(settings, "report", "settings.");
  config.reportNames = readStrings(report, "settings.report.", "names");
}

void readTimeouts(const element& settings, Config& config) {
  const std::string path = "settings.allowed.";
  const auto allowed = jsonField<element>(settings, "allowed", "settings.");
  config.connectTimeout =
      Duration(readInteger(allowed, "dialTimeoutUs", path, kMinConnectTimeoutUs, kMaxConnectTimeoutUs));
  config.idleTimeout =
      Duration(readInteger(allowed, "idleCloseUs", path, kMinIdleTimeoutUs, kMaxIdleTimeoutUs));
}

void checkSettings(const Settings& settings) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const ClassSettings& requestClass = settings.classes[i];
    if (requestClass.latencyObjective <= Duration(0) || requestClass.deadline < requestClass.latencyObjective)
      throw InvalidInput("key settings.classes[" + std::to_string(i) +
                         "].promiseUs: must be above 0 and at most deadlineUs");
  }
  if (settings.initialCapacity <= 0 || settings.initialCapacity > 1)
    throw InvalidInput("key settings.obligations.startCapacity: must be above 0 and at most 1");
}

bool hasSessionClass(const Settings& settings) {
  return std::any_of(settings.classes.begin(), settings.classes.end(), [](const ClassSettings& each) {
    return each.consistency == Consistency::ReadYourWrites;
  });
}

}  // namespace

Config parseConfig(const std::string& json, InitialEndpoints initialEndpoints) {
  simdjson::dom::parser parser;
  element root;
  if (const auto error = parser.parse(json).get(root))
    throw InvalidInput(std::string("no JSON: ") + simdjson::error_message(error));
  Config config;
  config.name = std::string(jsonField<std::string_view>(root, "name", ""));
  config.listen = readAddress(root, "listen");
  config.discovery = readAddress(root, "discovery");
  readGossip(root, config);
  config.seed = readSeed(root);
  readLimits(root, config);
  if (initialEndpoints == InitialEndpoints::Read)
    config.initialEndpoints = readEndpointList(jsonField<element>(root, "known", ""), "known.");
  const auto settings = jsonField<element>(root, "settings", "");
  readLoadBalancerSettings(settings, config);
  readNames(settings, config);
  readTimeouts(settings, config);
  checkSettings(config.settings);
  config.tracksSessions = hasSessionClass(config.settings);
  return config;
}

Config readConfig(const char* path, InitialEndpoints initialEndpoints) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file || !text) throw InvalidInput(std::string("file ") + path + " cannot be read");
  return parseConfig(text.str(), initialEndpoints);
}

}  // namespace stonebay
