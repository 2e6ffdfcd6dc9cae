// The configuration of a proxy: read, checked and given defaults here and nowhere else. Two forms fill the
// same Config: the platform's JSON (json_config.cpp) and INI (ini_config.cpp, by settings_schema.hpp).
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

/// Where the endpoint list comes from.
enum class Source { Registry, DnsSd, Fixed };

/// A replica group that has a name.
struct GroupName {
  std::string name;
  GroupId id = 0;
};

/// Discovery by DNS-SD: what is queried, of which name servers, how often.
struct DnsSdSettings {
  std::string domain;                   ///< such as "ruwi.example.org"
  std::string service;                  ///< such as "_postgresql._tcp"
  std::vector<Address> servers;         ///< name servers, in the order in which they are tried
  Duration minRefresh{};                ///< records are queried again after their TTL, but not before this
  Duration maxRefresh{};                ///< and not after this
  double jitter = 0;                    ///< greatest share by which an interval is shortened at random
  Duration queryTimeout{};              ///< of one query to one name server
  double queriesPerSecond = 50;         ///< for the records of single instances that the answer lacks
  int udpPayload = 0;                   ///< EDNS0 payload size in bytes
  std::optional<GroupId> defaultGroup;  ///< of instances whose TXT record names none
  std::string defaultGroupName;         ///< the same as the file has it
  Duration maxListAge{};                ///< the last list is used for so long without answers; 0: for ever
  Duration flapHalfLife{};              ///< flap damping, see EndpointTrackerPolicy
  Duration maxSuppression{};
  double flapSuppress = 0;
  double flapReuse = 0;
  friend bool operator==(const DnsSdSettings& left, const DnsSdSettings& right);
};

/// Everything that a proxy is configured with.
struct Config {
  std::string name;                      ///< of this proxy
  Address listen;                        ///< for clients
  Address discovery;                     ///< of the registry; Source::Registry
  Address gossipListen;                  ///< where datagrams of other proxies arrive; none: no gossip
  Address gossipBroadcast;               ///< where all other proxies are reached
  std::vector<Address> gossipPeers;      ///< whose datagrams are accepted
  std::uint64_t seed = 0;                ///< of random numbers
  std::size_t maxClientConnections = 0;  ///< the bounds follow from limits, see deriveLimits
  std::size_t maxServerConnections = 0;
  std::size_t maxActiveClients = 0;        ///< clients that have sent a request, idle ones included
  std::size_t maxLargeStatementBytes = 0;  ///< sum over statements too long to be read ahead
  EndpointListUpdate initialEndpoints;     ///< at the start, before discovery has answered
  Settings settings;
  std::vector<std::string> classes;  ///< names, in the order of settings.classes
  std::vector<std::string> zones;
  std::vector<std::string> reportNames;  ///< in the order of settings.reportFields
  Duration connectTimeout{};
  Duration idleTimeout{};       ///< after which endpoints close idle connections
  bool tracksSessions = false;  ///< some class reads its own writes
  Source source = Source::Registry;
  DnsSdSettings dnssd;  ///< Source::DnsSd
  std::vector<GroupName> groups;
  LogForm logForm = LogForm::Logfmt;
  LogLevel logLevel = LogLevel::Info;
};

/// Limits that a proxy can work with; both forms enforce them.
constexpr std::uint64_t kMinMemory = 24U << 20U;  // bytes
constexpr std::uint64_t kMaxMemory = std::uint64_t{1} << 40U;
constexpr std::size_t kMinDescriptors = 128;
constexpr std::size_t kMaxDescriptors = 1U << 20U;

/// Sets the bounds on connections and large statements; `memory` counts bytes. Both arguments have to be
/// within the limits above.
void deriveLimits(Config& config, std::size_t descriptors, std::uint64_t memory);

/// An INI file with errors. what() is the first of them and the number of the others, in one line.
struct InvalidSettings : InvalidInput {
  explicit InvalidSettings(std::vector<ConfigError> all);
  std::vector<ConfigError> errors;  ///< in the order of the lines; not empty
};

/// Whether Config::initialEndpoints is read. It may hold thousands, and is of use at the start alone.
enum class InitialEndpoints { Read, Skip };

/// Parses the platform's JSON form. Throws InvalidInput, whose message names the key.
Config parseConfig(const std::string& json, InitialEndpoints initialEndpoints = InitialEndpoints::Read);
/// The same for a file. Throws InvalidInput also if the file cannot be read.
Config readConfig(const char* path, InitialEndpoints initialEndpoints = InitialEndpoints::Read);

/// Parses the INI form; `file` is its name for error messages. Throws InvalidSettings.
Config parseSettings(const std::string& ini, const std::string& file);
/// The same for a file. Throws InvalidSettings also if the file cannot be read.
Config readSettings(const std::string& path);

/// Every key of the INI form with its kind, default, bounds and meaning, in Markdown.
std::string settingsPage();

}  // namespace stonebay
