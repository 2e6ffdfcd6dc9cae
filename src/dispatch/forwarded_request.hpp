// A client's request as it is forwarded to an endpoint.
#pragma once

#include <string>

#include "util/event.hpp"

namespace stonebay {

/// The statement in two parts. The remaining time in milliseconds, which differs for each attempt, is
/// inserted between them.
struct ForwardedRequest {
  Buffer beforeRemainingTime;
  Buffer afterRemainingTime;
  std::string id;  ///< the client's id for the request; used in the log
};

}  // namespace stonebay
