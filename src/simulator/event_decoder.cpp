#include "simulator/event_decoder.hpp"

#include <chrono>
#include <cstddef>
#include <iterator>

#include "simulator/wire_format.hpp"

namespace stonebay::simulator {
namespace {

// Indexed by the number of the kind on the wire.
constexpr EndpointListKind kEndpointListKinds[] = {EndpointListKind::Delta, EndpointListKind::Full,
                                                   EndpointListKind::Cached, EndpointListKind::Failed};
// One more than the largest group number.
constexpr float kGroupLimit = 65536;

AttemptStatus attemptStatus(OutcomeCode code) {
  switch (code) {
    case OutcomeCode::Ok:
      return AttemptStatus::Ok;
    case OutcomeCode::Cancelled:
      return AttemptStatus::Cancelled;
    case OutcomeCode::Timeout:
      return AttemptStatus::Timeout;
    case OutcomeCode::TooStale:
      return AttemptStatus::TooStale;
    case OutcomeCode::Rejected:
      return AttemptStatus::Rejected;
    case OutcomeCode::NotSent:
      return AttemptStatus::NotSent;
    case OutcomeCode::Reset:
      return AttemptStatus::Reset;
    case OutcomeCode::Error:
      return AttemptStatus::Error;
    case OutcomeCode::ConnectFailed:
      return AttemptStatus::ConnectFailed;
  }
  return AttemptStatus::Error;
}

Lifecycle lifecycle(std::uint8_t code) {
  constexpr std::uint8_t kReady = 1;
  constexpr std::uint8_t kDraining = 2;
  if (code == kReady) return Lifecycle::Ready;
  if (code == kDraining) return Lifecycle::Draining;
  return Lifecycle::Removed;
}

// What a response reports about its endpoint. Encoded as 4 x the position in ms after the epoch + the role; a
// position of 0 means that none was reported.
struct PositionNote {
  Role role = Role::Unknown;
  std::optional<std::chrono::milliseconds> position;
};

PositionNote decodePositionNote(std::uint32_t note) {
  constexpr std::uint32_t kPositionFactor = 4;
  constexpr std::uint32_t kFromPrimary = 1;
  constexpr std::uint32_t kFromReplica = 2;
  PositionNote decoded;
  const std::uint32_t role = note % kPositionFactor;
  if (role == kFromPrimary) decoded.role = Role::Primary;
  if (role == kFromReplica) decoded.role = Role::Replica;
  const std::uint32_t position = note / kPositionFactor;
  if (position > 0) decoded.position = std::chrono::milliseconds(position);
  return decoded;
}

EndpointUpdate decodeEndpoint(FrameReader& record) {
  EndpointUpdate endpoint;
  endpoint.id = record.readEndpointId();
  endpoint.zone = record.read<std::uint16_t>("zone");
  record.skip<std::uint16_t>("kind");
  endpoint.group = record.read<std::uint16_t>("group");
  endpoint.state = lifecycle(record.read<std::uint8_t>("lifecycle"));
  endpoint.primary = record.read<float>("leader") == 1.0F;
  endpoint.weight = static_cast<double>(record.read<float>("power hint"));
  endpoint.started = record.readTime("start");
  return endpoint;
}

}  // namespace

EndpointListDefinition decodeEndpointListDefinition(FrameReader& record) {
  EndpointListDefinition list;
  list.number = record.read<std::uint32_t>("list number");
  const auto count = record.read<std::uint32_t>("list length");
  // The count is checked before memory is reserved for it, because it may be arbitrarily large.
  if (record.remaining() / kEndpointEntryBytes < count)
    throw MalformedFrame("list is truncated", record.offset());
  list.entries.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) list.entries.push_back(decodeEndpoint(record));
  return list;
}

EndpointListEvent decodeEndpointList(FrameReader& record) {
  EndpointListEvent event;
  const auto kind = record.read<std::uint8_t>("list kind");
  if (kind < std::size(kEndpointListKinds)) event.kind = kEndpointListKinds[kind];
  record.skip<std::uint64_t>("list version");
  event.definition = record.read<std::uint32_t>("list number");
  return event;
}

Request decodeRequest(FrameReader& record) {
  Request request;
  request.id = record.read<std::uint32_t>("request");
  record.skip<std::uint8_t>("bits");
  record.skip<std::uint32_t>("owner");
  request.session = record.read<std::uint64_t>("session");
  request.sessionTokenAgeMs = record.read<float>("token");
  request.deadline = record.readTime("deadline");
  const auto group = record.read<float>("group");
  const bool groupIsValid = group >= 0 && group < kGroupLimit;  // false for NaN
  if (!groupIsValid) throw record.invalid("group out of range");
  request.group = static_cast<GroupId>(group);
  request.classIndex = record.read<std::uint16_t>("class");
  record.skip<std::uint32_t>("effort");
  return request;
}

AttemptOutcome decodeAttemptOutcome(FrameReader& record, TimePoint positionEpoch) {
  AttemptOutcome outcome;
  outcome.request = record.read<std::uint32_t>("request");
  outcome.attempt = record.read<std::uint8_t>("attempt");
  outcome.endpoint = record.readEndpointId();
  outcome.status = attemptStatus(static_cast<OutcomeCode>(record.read<std::uint16_t>("outcome")));
  outcome.latency = Duration(record.read<std::uint32_t>("latency"));
  outcome.requestFinished = record.read<std::uint8_t>("closed") != 0;
  const PositionNote note = decodePositionNote(record.read<std::uint32_t>("note"));
  outcome.role = note.role;
  if (note.position) outcome.position = positionEpoch + *note.position;
  outcome.report = record.readLoadReport();
  return outcome;
}

HealthCheckResult decodeHealthCheckResult(FrameReader& record) {
  HealthCheckResult result;
  result.endpoint = record.readEndpointId();
  result.latency = Duration(record.read<std::uint32_t>("latency"));
  result.ok = static_cast<OutcomeCode>(record.read<std::uint16_t>("outcome")) == OutcomeCode::Ok;
  result.report = record.readLoadReport();
  return result;
}

std::optional<GossipMessage> decodeGossip(FrameReader& record, TimePoint positionEpoch) {
  record.skip<std::uint32_t>("sender");
  if (record.read<std::uint16_t>("message length") != kGossipBytes) return std::nullopt;
  GossipMessage message;
  message.endpoint = record.readEndpointId();
  message.position = positionEpoch + std::chrono::milliseconds(record.read<std::uint32_t>("position"));
  message.primary = record.read<std::uint8_t>("role") != 0;
  message.inFlight = record.read<std::uint8_t>("inflight");
  return message;
}

}  // namespace stonebay::simulator
