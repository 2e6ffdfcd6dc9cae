// A client's request as it is forwarded to an endpoint.
#pragma once

#include <string>

#include "util/event.hpp"

namespace stonebay {

/// The statement in two parts: the remaining time in milliseconds, which differs for each attempt, goes
/// between them.
struct ForwardedRequest {
  Buffer beforeRemainingTime;
  Buffer afterRemainingTime;
  std::string id;  ///< as the client gave it, for the log
};

}  // namespace stonebay
