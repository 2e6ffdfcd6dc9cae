// The log line of a request that ended badly.
#pragma once

#include <string>

#include "config/config.hpp"
#include "dispatch/endpoint_ids.hpp"
#include "dispatch/in_flight_request.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Ends that a client may complain of.
enum class RequestEnd { Late, Rejected, Failed };

/// As the log names it.
const char* requestEndName(RequestEnd end);

/// The attempts of a request in the order of their sends, each as "endpoint@sent:end@ended" with the times in
/// milliseconds after the request arrived, or as "endpoint@sent:in_flight".
std::string attemptsText(const InFlightRequest& request, const EndpointIds& endpoints);

/// Logs "request_ended" with the id that the client and the endpoints know, the times, and the attempts.
void logRequestEnd(const InFlightRequest& request, RequestEnd end, TimePoint now, const Config& config,
                   const EndpointIds& endpoints);

}  // namespace stonebay
