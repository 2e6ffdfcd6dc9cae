// Decodes the simulator's events into the types of the LoadBalancer.
//
// If a record starts with an instance number, the adapter has already read it: the functions read the fields
// after it. They throw MalformedFrame.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "simulator/frame_reader.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::simulator {

/// An endpoint list to which later EndpointListEvents refer by its number.
struct EndpointListDefinition {
  std::uint32_t number = 0;
  std::vector<EndpointUpdate> entries;
};

/// An answer from discovery to an instance. Unless discovery has failed, the entries are those of an
/// EndpointListDefinition.
struct EndpointListEvent {
  std::optional<EndpointListKind> kind;  ///< std::nullopt for an unknown kind of a later version
  std::uint32_t definition = 0;          ///< number of the definition; unused with EndpointListKind::Failed
};

EndpointListDefinition decodeEndpointListDefinition(FrameReader& record);
EndpointListEvent decodeEndpointList(FrameReader& record);
Request decodeRequest(FrameReader& record);
/// Unknown outcomes of a later version become AttemptStatus::Error, which leaves open whether the attempt
/// ran.
AttemptOutcome decodeAttemptOutcome(FrameReader& record, TimePoint positionEpoch);
HealthCheckResult decodeHealthCheckResult(FrameReader& record);
/// Returns std::nullopt for a message of a later version, which has a different size.
std::optional<GossipMessage> decodeGossip(FrameReader& record, TimePoint positionEpoch);

}  // namespace stonebay::simulator
