// The command `stonebay members`: the endpoints that discovery finds now.
#pragma once

#include <map>
#include <string>

#include "config/config.hpp"
#include "discovery/endpoint_tracker.hpp"
#include "util/clock.hpp"

namespace stonebay {

struct MembersOptions {
  bool json = false;       ///< instead of a table
  double waitSeconds = 5;  ///< for discovery's first answer
};

/// Queries the configured discovery source once and prints its endpoints. Returns the exit status: 0 if the
/// source answered in time; otherwise 1, after the endpoints of the configuration have been printed and the
/// reason on standard error.
int showMembers(const Config& config, const MembersOptions& options);

/// What is printed.
struct MembersView {
  EndpointTracker::View members;
  std::map<std::string, std::string> faults;  ///< instances that cannot be used: name and reason
  Time now{};
};
std::string membersTable(const Config& config, const MembersView& view);
std::string membersJson(const Config& config, const MembersView& view);

}  // namespace stonebay
