// A request that has no final response yet.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "dispatch/forwarded_request.hpp"
#include "dispatch/response_handler.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// One attempt, for the request's log line.
struct AttemptRecord {
  EndpointId endpoint = 0;
  TimePoint sentAt{};  ///< when the send was decided
  TimePoint endedAt{};
  std::optional<AttemptStatus> status{};  ///< nothing: the attempt has not ended
};

struct InFlightRequest {
  ResponseHandler* handler = nullptr;  ///< none: the client has left
  std::shared_ptr<const ForwardedRequest> message;
  Request request;
  TimePoint arrivedAt{};
  std::vector<AttemptRecord> attempts{};  ///< by the number of the attempt
};

}  // namespace stonebay
