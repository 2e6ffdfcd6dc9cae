// Translates between what the network reports and the types of the LoadBalancer.
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

/// A load report in the order of `fields`, with its positions in seconds after the epoch. Values beyond the
/// fields are dropped.
std::vector<float> toLoadReport(const std::vector<double>& report, const std::vector<ReportField>& fields,
                                const PositionEpoch& epoch);

/// `requestFinished`: whether the client had its final response before this attempt ended.
AttemptOutcome toAttemptOutcome(const AttemptEnded& event, bool requestFinished,
                                const std::vector<ReportField>& fields, const PositionEpoch& epoch);

HealthCheckResult toHealthCheckResult(const HealthCheckEnded& event, const std::vector<ReportField>& fields,
                                      const PositionEpoch& epoch);

/// The zone becomes its index in `zones`, or their number if it is not among them.
EndpointUpdate toEndpointUpdate(const Instance& instance, EndpointId id,
                                const std::vector<std::string>& zones);

GossipMessage fromGossip(const gossip::Message& message, EndpointId endpoint);
gossip::Message toGossip(const GossipMessage& message, std::uint64_t key);

}  // namespace stonebay
