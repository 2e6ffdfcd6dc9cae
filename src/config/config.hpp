// The configuration of a proxy. All reading, validation and defaulting happens in this folder. Two file
// formats produce the same Config: the platform's JSON (json_config.cpp) and INI (ini_config.cpp, driven by
// the schema in settings_schema.hpp).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery/endpoint_list.hpp"
#include "log/log.hpp"
#include "stonebay/load_balancer.hpp"
#include "util/config_error.hpp"

namespace stonebay {

/// Where the endpoint list comes from: the HTTP registry, DNS-SD, or the configuration file alone.
enum class DiscoveryType { Registry, DnsSd, Fixed };

/// The name and the number of a replica group.
struct GroupName {
  std::string name;
  GroupId id = 0;
};

/// Settings of discovery by DNS-SD.
struct DnsSdSettings {
  std::string domain;                   ///< such as "ruwi.example.org"
  std::string service;                  ///< such as "_postgresql._tcp"
  std::vector<Address> servers;         ///< name servers, in the order in which they are tried
  Duration minRefresh{};                ///< lower bound of the refresh interval, which follows the TTL
  Duration maxRefresh{};                ///< upper bound of the refresh interval
  double jitter = 0;                    ///< largest fraction by which an interval is randomly shortened
  Duration queryTimeout{};              ///< for one query to one name server
  double queriesPerSecond = 50;         ///< limit for queries about single instances
  int udpPayload = 0;                   ///< EDNS0 payload size in bytes
  std::optional<GroupId> defaultGroup;  ///< group of instances whose TXT record has none
  std::string defaultGroupName;         ///< defaultGroup as written in the file: a name or a number
  Duration maxListAge{};                ///< when a list that cannot be refreshed expires; 0 means never
  Duration flapHalfLife{};              ///< this and the next three: see FlapDampingPolicy
  Duration maxSuppression{};
  double flapSuppress = 0;
  double flapReuse = 0;
  friend bool operator==(const DnsSdSettings& left, const DnsSdSettings& right);
};

/// The complete configuration of a proxy.
struct Config {
  std::string name;         ///< name of this proxy
  Address listen;           ///< address for client connections
  Address discovery;        ///< address of the registry, for DiscoveryType::Registry
  Address gossipListen;     ///< address for gossip from other proxies; gossip is off if it is not set
  Address gossipBroadcast;  ///< address that reaches all other proxies
  std::vector<Address> gossipPeers;      ///< senders whose datagrams are accepted
  std::uint64_t seed = 0;                ///< seed of the random numbers
  std::size_t maxClientConnections = 0;  ///< this and the next five limits are set by deriveLimits
  std::size_t maxRefusedClients = 0;     ///< connections beyond maxClientConnections that are being refused
  std::size_t maxServerConnections = 0;
  std::size_t maxActiveClients = 0;        ///< clients that have sent a request, including idle ones
  std::size_t maxLargeStatementBytes = 0;  ///< limit on the total size of statements too long to read ahead
  std::size_t maxClientBufferBytes = 0;    ///< limit on the total size of what client connections buffer
  EndpointListUpdate initialEndpoints;     ///< endpoints to use until discovery delivers its first list
  Settings settings;
  std::vector<std::string> classes;  ///< names of the request classes, in the order of settings.classes
  std::vector<std::string> zones;
  std::vector<std::string> reportNames;  ///< load report values, in the order of settings.reportFields
  Duration connectTimeout{};
  Duration idleTimeout{};       ///< time after which endpoints close idle connections
  bool tracksSessions = false;  ///< whether any request class needs read-your-writes consistency
  DiscoveryType discoveryType = DiscoveryType::Registry;
  DnsSdSettings dnssd;  ///< for DiscoveryType::DnsSd
  std::vector<GroupName> groups;
  LogFormat logFormat = LogFormat::Logfmt;
  LogLevel logLevel = LogLevel::Info;
};

/// Bounds of the memory and descriptor limits; the parsers of both file formats enforce them.
constexpr std::uint64_t kMinMemoryBytes = 24U << 20U;
constexpr std::uint64_t kMaxMemoryBytes = std::uint64_t{1} << 40U;
constexpr std::size_t kMinDescriptors = 128;
constexpr std::size_t kMaxDescriptors = 1U << 20U;

/// Sets the limits on connections and large statements. `memory` is in bytes. Both arguments must be within
/// the bounds above.
void deriveLimits(Config& config, std::size_t descriptors, std::uint64_t memory);

/// Reports the errors in an INI file. what() is a single line with the first error and the number of further
/// errors.
struct InvalidSettings : InvalidInput {
  explicit InvalidSettings(std::vector<ConfigError> all);
  std::vector<ConfigError> errors;  ///< ordered by line; never empty
};

/// Whether to read Config::initialEndpoints. The list can have thousands of entries and is only used at
/// startup, so a reload skips it.
enum class InitialEndpoints { Read, Skip };

/// Parses the platform's JSON format. Throws InvalidInput with a message that names the key.
Config parseConfig(const std::string& json, InitialEndpoints initialEndpoints = InitialEndpoints::Read);
/// Parses a JSON file. Throws InvalidInput if the file cannot be read or has an error.
Config readConfig(const char* path, InitialEndpoints initialEndpoints = InitialEndpoints::Read);

/// Parses the INI format. `file` is the file name for error messages. Throws InvalidSettings.
Config parseSettings(const std::string& ini, const std::string& file);
/// Parses an INI file. Throws InvalidSettings if the file cannot be read or has errors.
Config readSettings(const std::string& path);

/// Returns the reference of all INI keys with their kind, default, bounds and meaning, in Markdown.
std::string settingsPage();

}  // namespace stonebay
