// The log line of a request that ended badly.
#pragma once

#include <string>

#include "config/config.hpp"
#include "dispatch/endpoint_ids.hpp"
#include "dispatch/in_flight_request.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Ends that a client may complain of, and its own leaving.
enum class RequestEnd { LatencyObjectiveMissed, Rejected, Failed, ClientLeft };

/// As the log names it.
const char* requestEndName(RequestEnd end);
/// As the log names it.
const char* endReasonName(EndReason reason);

/// The attempts of a request in the order of their sends, each as "endpoint@sent:end@ended" with the times in
/// milliseconds after the request arrived, or as "endpoint@sent:in_flight".
std::string attemptsText(const InFlightRequest& request, const EndpointIds& endpoints);

/// Logs "request_ended" ("client_left" for RequestEnd::ClientLeft) with the id that the client and the
/// endpoints know, the times, and the attempts. `reason`: see endReasonName, or the error's own code.
void logRequestEnd(const InFlightRequest& request, RequestEnd end, const char* reason, TimePoint now,
                   const Config& config, const EndpointIds& endpoints);

}  // namespace stonebay
