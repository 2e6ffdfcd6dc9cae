// One proxy instance in the simulator.
#pragma once

#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <utility>

#include "simulator/frame_writer.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay::simulator {

/// Owns the LoadBalancer of one instance and writes its actions to the reply.
///
/// An exception from the LoadBalancer stops this instance, but no other one. It is reported in the reply, and
/// later events for the instance are ignored.
class ProxyInstance final : public ActionSink {
 public:
  /// `reply` must outlive the instance. A failure to create the LoadBalancer is reported in the reply.
  ProxyInstance(std::uint16_t number, const std::string& settings, std::uint64_t seed, FrameWriter& reply);

  /// Returns the time from which positions on the wire are measured.
  TimePoint positionEpoch() const { return positionEpoch_; }

  /// Calls `event` with the LoadBalancer. Does nothing if the instance has failed.
  template <typename Event>
  void deliver(Event&& event) {
    if (!balancer_) return;
    try {
      std::forward<Event>(event)(*balancer_);
    } catch (const std::exception& e) {
      reportFailure(e.what());
    }
  }

 private:
  void send(RequestId id, EndpointId endpoint, const AttemptLimits& limits) override;
  void reject(RequestId id, Duration retryAfter, EndReason reason) override;
  void fail(RequestId id, EndReason reason) override;
  void cancel(RequestId id, int attempt) override;
  void scheduleTimer(Duration delay, TimerToken token) override;
  void checkHealth(EndpointId endpoint) override;
  void broadcast(const GossipMessage& message) override;
  void pollDiscovery() override;
  void log(const std::string& line) override;

  void beginRequestAction(ActionCode code, RequestId id);
  void reportFailure(const std::string& reason);

  const std::uint16_t number_;
  FrameWriter& reply_;
  TimePoint positionEpoch_{};
  std::unique_ptr<LoadBalancer> balancer_;  // null if the instance has failed
};

}  // namespace stonebay::simulator
