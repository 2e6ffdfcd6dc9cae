// Converts between the network's representation of events and the types of the LoadBalancer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "codec/gossip/message.hpp"
#include "discovery/endpoint_list.hpp"
#include "dispatch/events.hpp"
#include "dispatch/position.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Converts a load report, whose values are in the order of `fields`: positions become seconds after the
/// epoch. Values beyond the last field are dropped.
std::vector<float> toLoadReport(const std::vector<double>& report, const std::vector<ReportField>& fields,
                                const PositionEpoch& epoch);

/// `requestFinished` is true if the request was no longer in flight when the attempt ended.
AttemptOutcome toAttemptOutcome(const AttemptEnded& event, bool requestFinished,
                                const std::vector<ReportField>& fields, const PositionEpoch& epoch);

HealthCheckResult toHealthCheckResult(const HealthCheckEnded& event, const std::vector<ReportField>& fields,
                                      const PositionEpoch& epoch);

/// Converts the zone's name to its index in `zones`, or to zones.size() if it is not listed there.
EndpointUpdate toEndpointUpdate(const Instance& instance, EndpointId id,
                                const std::vector<std::string>& zones);

GossipMessage fromGossip(const gossip::Message& message, EndpointId endpoint);
gossip::Message toGossip(const GossipMessage& message, std::uint64_t key);

}  // namespace stonebay
