// A client's request as it is forwarded to an endpoint.
#pragma once

#include <string>

#include "util/event.hpp"

namespace stonebay {

/// The statement, which is forwarded byte by byte as the client sent it, except for its deadline: if it has
/// one, the remaining time in milliseconds, which differs for each attempt, is written in its place.
struct ForwardedRequest {
  Buffer beforeRemainingTime;     ///< the statement up to its deadline; empty if it has none
  Buffer afterRemainingTime;      ///< the rest of the statement
  bool hasRemainingTime = false;  ///< whether the remaining time is written between the two parts
  std::string id;                 ///< the client's id for the request; used in the log
};

}  // namespace stonebay
