// The command `stonebay members`, which lists the endpoints that discovery currently reports.
#pragma once

#include <map>
#include <string>

#include "config/config.hpp"
#include "discovery/endpoint_tracker.hpp"
#include "util/clock.hpp"

namespace stonebay {

struct MembersOptions {
  bool json = false;       ///< print JSON instead of a table
  double waitSeconds = 5;  ///< how long to wait for the first list from discovery
};

/// Queries the configured discovery source once and prints its endpoints. Returns the exit status: 0 if the
/// source delivered a list in time. Otherwise prints the endpoints in the configuration, prints the reason to
/// standard error and returns 1.
int showMembers(const Config& config, const MembersOptions& options);

/// The data that the command prints.
struct MembersView {
  EndpointTracker::View members;
  std::map<std::string, std::string> faults;  ///< invalid instances: the reason by instance name
  Time now{};
};
/// Formats the data as a table, with a summary in the last line.
std::string membersTable(const Config& config, const MembersView& view);
/// Formats the data as a JSON object.
std::string membersJson(const Config& config, const MembersView& view);

}  // namespace stonebay
