#include "simulator/proxy_instance.hpp"

#include <algorithm>
#include <chrono>

#include "simulator/settings_parser.hpp"
#include "simulator/wire_format.hpp"

namespace stonebay::simulator {
namespace {

constexpr int kMaxGossipInFlight = 255;  // larger counts do not fit in a u8 and are sent as this
constexpr std::uint8_t kSubscribe = 1;

}  // namespace

ProxyInstance::ProxyInstance(std::uint16_t number, const std::string& settings, std::uint64_t seed,
                             FrameWriter& reply)
    : number_(number), reply_(reply) {
  try {
    const Settings parsed = parseSettings(settings);
    positionEpoch_ = parsed.positionEpoch;
    balancer_ = std::make_unique<LoadBalancer>(parsed, seed, *this);
  } catch (const std::exception& e) {
    reportFailure(e.what());
  }
}

void ProxyInstance::send(RequestId id, EndpointId endpoint, const AttemptLimits& limits) {
  beginRequestAction(ActionCode::Send, id);
  reply_.put(static_cast<std::uint64_t>(limits.response.time_since_epoch().count()));
  reply_.putEndpointId(endpoint);
}

void ProxyInstance::reject(RequestId id, Duration retryAfter, EndReason /*reason*/) {
  beginRequestAction(ActionCode::Reject, id);
  reply_.put(static_cast<std::uint32_t>(retryAfter.count()));
}

void ProxyInstance::fail(RequestId id, EndReason /*reason*/) { beginRequestAction(ActionCode::Fail, id); }

void ProxyInstance::cancel(RequestId id, int attempt) {
  beginRequestAction(ActionCode::Cancel, id);
  reply_.put(static_cast<std::uint8_t>(attempt));
}

void ProxyInstance::scheduleTimer(Duration delay, TimerToken token) {
  reply_.beginRecord(ActionCode::ScheduleTimer, number_);
  reply_.put(static_cast<std::uint32_t>(delay.count()));
  reply_.put(token.encoded());
}

void ProxyInstance::checkHealth(EndpointId endpoint) {
  reply_.beginRecord(ActionCode::CheckHealth, number_);
  reply_.putEndpointId(endpoint);
}

void ProxyInstance::broadcast(const GossipMessage& message) {
  const auto position =
      std::chrono::duration_cast<std::chrono::milliseconds>(message.position - positionEpoch_);
  reply_.beginRecord(ActionCode::Broadcast, number_);
  reply_.put(kAllPeers);
  reply_.put(kGossipBytes);
  reply_.putEndpointId(message.endpoint);
  reply_.put(static_cast<std::uint32_t>(position.count()));
  reply_.put(static_cast<std::uint8_t>(message.primary));
  reply_.put(static_cast<std::uint8_t>(std::clamp(message.inFlight, 0, kMaxGossipInFlight)));
}

void ProxyInstance::pollDiscovery() {
  reply_.beginRecord(ActionCode::PollDiscovery, number_);
  reply_.put(kSubscribe);
}

void ProxyInstance::log(const std::string& line) {
  reply_.beginRecord(ActionCode::Log, number_);
  reply_.putText(line);
}

// In the records of actions on a request, the request's id follows the instance number.
void ProxyInstance::beginRequestAction(ActionCode code, RequestId id) {
  reply_.beginRecord(code, number_);
  reply_.put(static_cast<std::uint32_t>(id));
}

void ProxyInstance::reportFailure(const std::string& reason) {
  balancer_.reset();
  reply_.beginRecord(ActionCode::InstanceFailed, number_);
  reply_.putText(reason);
}

}  // namespace stonebay::simulator
