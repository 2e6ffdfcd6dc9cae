// The one place where settings are read, checked and given defaults. Two forms fill the same Config: the
// platform's JSON (json_config.cpp) and our INI (ini_config.cpp, whose table of keys is keys.cpp).
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

enum class Source { Registry, DnsSd, Fixed };  // where the list of data servers comes from

struct GroupName {
  std::string name;
  GroupId id = 0;
};

// DNS-SD: what is asked, whom, how often.
struct DnsSdSettings {
  std::string domain, service;          // "ruwi.example.org", "_postgresql._tcp"
  std::vector<Address> servers;         // name servers, the first is asked first
  Time minRefresh{}, maxRefresh{};      // records are asked for again after their TTL, bounded by these
  double jitter = 0;                    // and sooner by a random part of up to this
  Time queryTimeout{};                  // of one question to one name server
  double queriesPerSecond = 50;         // for single records, where an answer has no room for all
  int udpPayload = 0;                   // EDNS0
  std::optional<GroupId> defaultGroup;  // of instances that do not say
  std::string defaultGroupName;         // as the file has it
  Time maxListAge{};  // the last list stands so long when no name server answers; 0: for ever
  Time flapHalfLife{}, maxSuppression{};  // see EndpointTrackerPolicy
  double flapSuppress = 0, flapReuse = 0;
  friend bool operator==(const DnsSdSettings&, const DnsSdSettings&);
};

struct Config {
  std::string name;
  Address listen, discovery;
  Address gossipListen,
      gossipBroadcast;  // datagrams between proxies: where they come in, where all are reached; or none
  std::vector<Address> gossipPeers;  // whose datagrams are believed
  std::uint64_t seed = 0;
  // Bounds that follow from the limits on descriptors and memory.
  std::size_t maxClientConnections = 0, maxServerConnections = 0;
  std::size_t maxActiveClients = 0;  // of the clients, those that have asked something, idle ones included
  std::size_t maxLargeStatementBytes =
      0;  // bytes that statements too long to be read ahead may take, all together
  InstanceList knownEndpoints;
  Settings settings;
  std::vector<std::string> classes;  // names, in the order of settings.classes
  std::vector<std::string> zones;
  std::vector<std::string> reportNames;  // in the order of settings.figures
  Time connectTimeout{};                 // a connection that is not up by then has failed
  Time idleTimeout{};                    // data servers close what stands idle for so long
  bool tracksSessions = false;                 // some class needs to know a request's session
  Source source = Source::Registry;
  DnsSdSettings dnssd;            // of Source::DnsSd
  std::vector<GroupName> groups;  // those that have a name
  LogForm logForm = LogForm::Logfmt;
  LogLevel logLevel = LogLevel::Info;
};

// Limits that a proxy can do with; both forms keep to them.
constexpr std::uint64_t kMinMemory = 24u << 20, kMaxMemory = std::uint64_t{1} << 40;
constexpr std::size_t kMinDescriptors = 128, kMaxDescriptors = 1 << 20;

// Fills the bounds from limits within the above.
void deriveLimits(Config&, std::size_t descriptors, std::uint64_t memory);

// All that is wrong, in the order of the lines; what() is the first and how many more there are, in one line.
struct InvalidSettings : InvalidInput {
  explicit InvalidSettings(std::vector<ConfigError>);
  std::vector<ConfigError> faults;
};

// The platform's form. Throws InvalidInput naming the key.
Config parseConfig(const std::string& json);
Config readConfig(const char* path);  // the same for a file

// Our form. Throws InvalidSettings.
Config parseSettings(const std::string& ini, const std::string& file);
Config readSettings(const std::string& path);

std::string settingsPage();  // every key with its unit, default and meaning, in Markdown

}  // namespace stonebay
