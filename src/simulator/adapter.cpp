#include "simulator/adapter.hpp"

#include <optional>
#include <string>
#include <utility>

#include "simulator/event_decoder.hpp"

namespace stonebay::simulator {

std::vector<std::uint8_t> Adapter::handleBatch(const std::uint8_t* batch, std::size_t size,
                                               std::uint64_t offset) {
  FrameReader reader(batch, size, offset);
  reply_ = FrameWriter();
  now_ = reader.readTime("clock");
  while (reader.remaining() > 0) {
    const auto code = static_cast<EventCode>(reader.read<std::uint8_t>("record code"));
    const auto length = reader.read<std::uint32_t>("record length");
    FrameReader record = reader.readRange(length, "record");
    handleEvent(code, record);
  }
  return reply_.finish();
}

// Ignores records with unknown codes, which later versions of the protocol may add.
void Adapter::handleEvent(EventCode code, FrameReader& record) {
  switch (code) {
    case EventCode::AttemptOutcome:
      return onAttemptOutcome(record);
    case EventCode::ResponseStarted:  // no action needed: no class served here streams its responses
      return record.skip<std::uint16_t>("instance");
    case EventCode::InstanceStarted:
      return onInstanceStarted(record);
    case EventCode::Gossip:
      return onGossip(record);
    case EventCode::EndpointListDefinition:
      return onEndpointListDefinition(record);
    case EventCode::HealthCheckResult:
      return onHealthCheckResult(record);
    case EventCode::Request:
      return onRequest(record);
    case EventCode::ClientLeft:
      return onClientLeft(record);
    case EventCode::Timer:
      return onTimer(record);
    case EventCode::EndpointList:
      return onEndpointList(record);
    case EventCode::InstanceStopped:
      return onInstanceStopped(record);
  }
}

void Adapter::onInstanceStarted(FrameReader& record) {
  const auto number = record.read<std::uint16_t>("instance");
  const auto seed = record.read<std::uint64_t>("seed");
  const auto length = record.read<std::uint32_t>("settings length");
  const std::string settings(record.readText(length, "settings"));
  instances_[number] = std::make_unique<ProxyInstance>(number, settings, seed, reply_);
}

void Adapter::onInstanceStopped(FrameReader& record) {
  instances_.erase(record.read<std::uint16_t>("instance"));
}

void Adapter::onEndpointListDefinition(FrameReader& record) {
  EndpointListDefinition list = decodeEndpointListDefinition(record);
  endpointLists_[list.number] = std::move(list.entries);
}

void Adapter::onEndpointList(FrameReader& record) {
  ProxyInstance* const instance = readInstance(record);
  const EndpointListEvent event = decodeEndpointList(record);
  if (!event.kind) return;
  const std::vector<EndpointUpdate>& entries = endpointEntries(record, *event.kind, event.definition);
  if (!instance) return;
  instance->deliver([&](LoadBalancer& balancer) { balancer.onEndpointList(now_, *event.kind, entries); });
}

void Adapter::onRequest(FrameReader& record) {
  ProxyInstance* const instance = readInstance(record);
  const Request request = decodeRequest(record);
  if (!instance) return;
  instance->deliver([&](LoadBalancer& balancer) { balancer.onRequest(now_, request); });
}

void Adapter::onAttemptOutcome(FrameReader& record) {
  ProxyInstance* const instance = readInstance(record);
  const TimePoint epoch = instance ? instance->positionEpoch() : TimePoint();
  const AttemptOutcome outcome = decodeAttemptOutcome(record, epoch);
  if (!instance) return;
  instance->deliver([&](LoadBalancer& balancer) { balancer.onAttemptOutcome(now_, outcome); });
}

void Adapter::onClientLeft(FrameReader& record) {
  ProxyInstance* const instance = readInstance(record);
  const RequestId request = record.read<std::uint32_t>("request");
  if (!instance) return;
  instance->deliver([&](LoadBalancer& balancer) { balancer.onClientLeft(now_, request); });
}

void Adapter::onTimer(FrameReader& record) {
  ProxyInstance* const instance = readInstance(record);
  const TimerToken token = TimerToken::decode(record.read<std::uint64_t>("token"));
  if (!instance) return;
  instance->deliver([&](LoadBalancer& balancer) { balancer.onTimer(now_, token); });
}

void Adapter::onHealthCheckResult(FrameReader& record) {
  ProxyInstance* const instance = readInstance(record);
  const HealthCheckResult result = decodeHealthCheckResult(record);
  if (!instance) return;
  instance->deliver([&](LoadBalancer& balancer) { balancer.onHealthCheck(now_, result); });
}

void Adapter::onGossip(FrameReader& record) {
  ProxyInstance* const instance = readInstance(record);
  const TimePoint epoch = instance ? instance->positionEpoch() : TimePoint();
  const std::optional<GossipMessage> message = decodeGossip(record, epoch);
  if (!instance || !message) return;
  instance->deliver([&](LoadBalancer& balancer) { balancer.onGossip(now_, *message); });
}

// Reads an instance number. Returns nullptr if there is no such instance.
ProxyInstance* Adapter::readInstance(FrameReader& record) const {
  const auto it = instances_.find(record.read<std::uint16_t>("instance"));
  return it == instances_.end() ? nullptr : it->second.get();
}

const std::vector<EndpointUpdate>& Adapter::endpointEntries(const FrameReader& record, EndpointListKind kind,
                                                            std::uint32_t definition) const {
  static const std::vector<EndpointUpdate> noEntries;
  if (kind == EndpointListKind::Failed) return noEntries;
  const auto it = endpointLists_.find(definition);
  if (it == endpointLists_.end()) throw record.invalid("list number refers to no defined list");
  return it->second;
}

}  // namespace stonebay::simulator
