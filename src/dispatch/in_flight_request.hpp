// A request that has no final response yet.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "dispatch/forwarded_request.hpp"
#include "dispatch/response_handler.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// One attempt of a request, as it appears in the request's log line.
struct AttemptRecord {
  EndpointId endpoint = 0;
  TimePoint sentAt{};  ///< when the send was decided
  /// When the connection was ready that the attempt waited for; std::nullopt if it did not wait for one.
  std::optional<TimePoint> connectedAt{};
  TimePoint endedAt{};
  std::optional<AttemptStatus> status{};  ///< std::nullopt until the attempt has ended
};

struct InFlightRequest {
  ResponseHandler* handler = nullptr;  ///< null once the client has left
  std::shared_ptr<const ForwardedRequest> message;
  Request request;
  TimePoint arrivedAt{};
  std::vector<AttemptRecord> attempts{};  ///< indexed by attempt number
};

}  // namespace stonebay
