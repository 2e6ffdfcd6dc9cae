// The TXT record of a service instance (RFC 6763 section 6).
//
// | key     | value                                 | if missing                              |
// | group   | name or number of the group           | the default group; an error without one |
// | zone    | name of the zone (building)           | empty                                   |
// | kind    | machine type                          | empty                                   |
// | weight  | relative machine size, above 0        | 1                                       |
// | state   | active, or leaving (draining)         | active                                  |
// | started | last start, Unix time in milliseconds | see EndpointTracker for the default     |
// | txtvers | 1                                     | 1                                       |
//
// Keys are case-insensitive. If a key occurs more than once, its first value is used. Unknown keys are
// ignored.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"

namespace stonebay {

/// An error in a TXT record.
struct TxtError {
  std::string key;
  std::string message;  ///< for operators; starts with the key
};

/// Parses the strings of a TXT record into the instance. Returns the first error, which leaves the instance
/// partly filled, or std::nullopt. Pure.
std::optional<TxtError> parseTxt(const std::vector<std::string>& strings,
                                 const std::vector<GroupName>& groups, std::optional<GroupId> defaultGroup,
                                 Instance& instance);

}  // namespace stonebay
