// Decodes the fields of the simulator's events into the field's terms.
//
// The functions read a record from behind its instance number, which the adapter has read. They throw
// MalformedFrame.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "simulator/frame_reader.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::simulator {

/// An endpoint list that later EndpointListEvents refer to by its number.
struct EndpointListDefinition {
  std::uint32_t number = 0;
  std::vector<EndpointUpdate> entries;
};

/// Discovery's answer; the entries stand in an EndpointListDefinition.
struct EndpointListEvent {
  std::optional<EndpointListKind> kind;  ///< nothing for a kind of a later version
  std::uint32_t definition = 0;          ///< means nothing with EndpointListKind::Failed
};

EndpointListDefinition decodeEndpointListDefinition(FrameReader& record);
EndpointListEvent decodeEndpointList(FrameReader& record);
Request decodeRequest(FrameReader& record);
/// Outcomes of a later version become AttemptStatus::Error, which proves nothing.
AttemptOutcome decodeAttemptOutcome(FrameReader& record, TimePoint positionEpoch);
HealthCheckResult decodeHealthCheckResult(FrameReader& record);
/// Nothing for a message of a later version, whose size differs.
std::optional<GossipMessage> decodeGossip(FrameReader& record, TimePoint positionEpoch);

}  // namespace stonebay::simulator
