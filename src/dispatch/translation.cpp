#include "dispatch/translation.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace stonebay {

std::vector<float> toLoadReport(const std::vector<double>& report, const std::vector<ReportField>& fields,
                                const PositionEpoch& epoch) {
  const std::size_t count = std::min(report.size(), fields.size());
  std::vector<float> values;
  values.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const bool isPosition = fields[i] == ReportField::Position;
    values.push_back(isPosition ? secondsSince(epoch.value(), report[i]) : static_cast<float>(report[i]));
  }
  return values;
}

AttemptOutcome toAttemptOutcome(const AttemptEnded& event, bool requestFinished,
                                const std::vector<ReportField>& fields, const PositionEpoch& epoch) {
  const AttemptResult& result = event.result;
  AttemptOutcome outcome;
  outcome.request = event.id;
  outcome.attempt = event.attempt;
  outcome.endpoint = event.endpoint;
  // An invalid statement is the client's error: it is not retried, and does not count as an endpoint failure.
  outcome.status = result.invalidStatement ? AttemptStatus::Cancelled : result.status;
  outcome.requestFinished = requestFinished || result.invalidStatement || outcome.status == AttemptStatus::Ok;
  outcome.role = result.role;
  outcome.position = epoch.position(result.positionMs);
  outcome.report = toLoadReport(result.report, fields, epoch);
  return outcome;
}

HealthCheckResult toHealthCheckResult(const HealthCheckEnded& event, const std::vector<ReportField>& fields,
                                      const PositionEpoch& epoch) {
  HealthCheckResult result;
  result.endpoint = event.endpoint;
  result.ok = event.ok;
  result.report = toLoadReport(event.report, fields, epoch);
  return result;
}

EndpointUpdate toEndpointUpdate(const Instance& instance, EndpointId id,
                                const std::vector<std::string>& zones) {
  const auto zone = std::find(zones.begin(), zones.end(), instance.zone);
  EndpointUpdate update;
  update.id = id;
  update.group = instance.group;
  update.zone = static_cast<int>(zone - zones.begin());
  update.state = instance.state;
  update.weight = instance.weight;
  update.started = TimePoint(std::chrono::milliseconds(instance.startedMs));
  return update;
}

GossipMessage fromGossip(const gossip::Message& message, EndpointId endpoint) {
  GossipMessage received;
  received.endpoint = endpoint;
  received.position = TimePoint(std::chrono::milliseconds(message.positionMs));
  received.primary = message.primary;
  received.inFlight = message.inFlight;
  return received;
}

gossip::Message toGossip(const GossipMessage& message, std::uint64_t key) {
  gossip::Message outgoing;
  outgoing.key = key;
  const Duration sinceEpoch = message.position.time_since_epoch();
  outgoing.positionMs = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
  outgoing.primary = message.primary;
  outgoing.inFlight = message.inFlight;
  return outgoing;
}

}  // namespace stonebay
