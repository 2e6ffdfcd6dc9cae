// Logs requests that ended late, without a successful response, or because the client left.
#pragma once

#include <string>

#include "config/config.hpp"
#include "dispatch/endpoint_ids.hpp"
#include "dispatch/in_flight_request.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// The ends of requests that are logged: those that a client may complain about, and the client leaving.
enum class RequestEnd { LatencyObjectiveMissed, Rejected, Failed, ClientLeft };

/// Returns the name that is written to the log.
const char* requestEndName(RequestEnd end);
/// Returns the name that is written to the log.
const char* endReasonName(EndReason reason);

/// Formats the attempts of a request in the order in which they were sent, separated by blanks. An attempt is
/// written as "endpoint@sent:status@ended", or as "endpoint@sent:in_flight" if it has not ended; times are in
/// milliseconds after the arrival of the request. If the attempt had to wait for a connection, "sent" is the
/// time of the decision, followed by "+wait", the time until a connection was ready.
std::string attemptsText(const InFlightRequest& request, const EndpointIds& endpoints);

/// Logs "request_ended", or "client_left" for RequestEnd::ClientLeft, with the client's id for the request,
/// the times and the attempts. `reason` is a result of endReasonName() or a code of the dispatcher, such as
/// "invalid_statement".
void logRequestEnd(const InFlightRequest& request, RequestEnd end, const char* reason, TimePoint now,
                   const Config& config, const EndpointIds& endpoints);

}  // namespace stonebay
