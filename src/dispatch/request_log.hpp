// The log line of a request that ended badly.
#pragma once

#include "config/config.hpp"
#include "dispatch/endpoint_ids.hpp"
#include "dispatch/in_flight_request.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Ends that a client may complain of.
enum class RequestEnd { Late, Rejected, Failed };

/// Logs "request_ended" with the id that the client and the endpoints know, the times, and each attempt: its
/// endpoint, when it was sent, how and when it ended, in milliseconds after the request arrived.
void logRequestEnd(const InFlightRequest& request, RequestEnd end, Time now, const Config& config,
                   const EndpointIds& endpoints);

}  // namespace stonebay
