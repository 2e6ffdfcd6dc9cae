// The TXT record of a service instance (RFC 6763 section 6).
//
// | key     | value                                      | when missing                              |
// | group   | a group's name or number                   | the default group, or an error            |
// | zone    | the building                               | none                                      |
// | kind    | the machine type                           | none                                      |
// | weight  | size of the machine, above 0               | 1                                         |
// | state   | active, or leaving: it is draining         | active                                    |
// | started | last start, Unix time in milliseconds      | unknown: a return counts as a start       |
// | txtvers | 1                                          | 1                                         |
//
// Keys are compared without regard to case; of a key that occurs twice the first counts; unknown keys are
// ignored.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/config.hpp"

namespace stonebay {

/// What is wrong with a TXT record.
struct TxtError {
  std::string key;
  std::string message;  ///< for operators; begins with the key
};

/// Parses the strings of a TXT record into the instance. After an error the instance is partly filled. Pure.
std::optional<TxtError> parseTxt(const std::vector<std::string>& strings,
                                 const std::vector<GroupName>& groups, std::optional<GroupId> defaultGroup,
                                 Instance& instance);

}  // namespace stonebay
