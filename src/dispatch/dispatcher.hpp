// Connects the network to the LoadBalancer: collects events, passes them to the LoadBalancer in batches, and
// carries out its decisions at the end of each batch. Independent of the wire protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "codec/gossip/message.hpp"
#include "config/config.hpp"
#include "discovery/endpoint_list.hpp"
#include "dispatch/attempt_result.hpp"
#include "dispatch/endpoint_ids.hpp"
#include "dispatch/endpoint_pool.hpp"
#include "dispatch/endpoint_watcher.hpp"
#include "dispatch/events.hpp"
#include "dispatch/forwarded_request.hpp"
#include "dispatch/gossip_channel.hpp"
#include "dispatch/in_flight_request.hpp"
#include "dispatch/loop_monitor.hpp"
#include "dispatch/position.hpp"
#include "dispatch/request_log.hpp"
#include "dispatch/response_handler.hpp"
#include "dispatch/timer_queue.hpp"
#include "dispatch/wall_clock_correction.hpp"
#include "stonebay/load_balancer.hpp"
#include "util/clock.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Owns the LoadBalancer and the requests that have no final response yet.
///
/// submit() and the on...() functions only record what happened and never call the LoadBalancer. They may
/// therefore be called at any time, including from within the dispatcher's own calls to EndpointPool,
/// EndpointWatcher, GossipChannel and ResponseHandler. processEvents() handles the recorded events and must
/// be called after each pass of the event loop. The dispatcher ends a pass kMaxCallbackTime after its first
/// event or due timer, even if callbacks keep each other active. Not thread-safe.
class Dispatcher final : public EndpointListHandler, ActionSink {
 public:
  /// How long the callbacks of a pass may run after the first event was recorded or a timer became due. The
  /// event loop adds at most its kMaxDispatchTime and one callback.
  static constexpr Duration kMaxCallbackTime = std::chrono::milliseconds(20);

  /// The configuration must outlive the dispatcher.
  Dispatcher(event_base* base, const Config& config);
  ~Dispatcher() override;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Must be called once, before the first processEvents(). Records the endpoint list of the configuration as
  /// the first event. The arguments must remain valid for as long as processEvents() is called. If `gossip`
  /// is null, nothing is broadcast to the other proxies.
  void start(EndpointPool& endpoints, EndpointWatcher& watcher, GossipChannel* gossip = nullptr);

  /// Records a request and returns the id assigned to it. `handler` must stay valid until it has received the
  /// final response or onClientLeft() has been called.
  RequestId submit(ResponseHandler& handler, Request request, ForwardedRequest message);
  void onClientLeft(RequestId id);
  /// Returns whether an attempt of this request has been decided, so that it may have been executed.
  bool hasAttempts(RequestId id) const;
  /// Returns whether an attempt of this request may still be written to its endpoint. Returns false if the
  /// request has ended, its deadline has passed or its client has left since the attempt was decided.
  bool mayBeWritten(RequestId id) const;
  /// A connection is ready for an attempt that had to wait for one. Answered by EndpointPool::resumeAttempt.
  void onConnected(RequestId id, int attempt);
  void onAttemptEnded(RequestId id, int attempt, EndpointId endpoint, AttemptResult result);
  /// Positions in the load report are Unix times in seconds.
  void onHealthCheck(EndpointId endpoint, bool ok, const std::vector<double>& report);
  void onGossip(const gossip::Message& message);
  void onEndpointList(EndpointListUpdate list) override;
  void onListFailure(const std::string& why) override;
  /// Starts the measurement of the pass, so that it includes the time for parsing the list.
  void onListInput() override { monitor_->onCallback(TimePoint(clock_.now())); }

  /// Returns the generation of the last endpoint list that has been processed.
  std::uint64_t generation() const override { return generation_; }
  bool hasPendingEvents() const { return !events_.empty(); }
  /// Passes the recorded events and the due timers to the LoadBalancer, then carries out its decisions.
  void processEvents();
  /// Removes the endpoints that were removed from the list some time ago and have nothing in flight.
  /// processEvents() calls this about once per second.
  void removeDeparted(TimePoint now);
  /// Returns the current time by this process's clock. The first call in a pass of the event loop starts the
  /// measurement of the pass.
  TimePoint now() const;
  /// Returns the current time by the clock of all other machines. It differs from now() by the correction of
  /// this machine's wall clock; see WallClockCorrection.
  TimePoint unixNow() const { return now() + wallClockCorrection_.value(); }
  /// See LoopMonitor::earliestArrival.
  TimePoint earliestArrival() const { return monitor_->earliestArrival(now()); }
  std::size_t requestsInFlight() const { return inFlight_.size(); }
  std::size_t endpointCount() const { return ids_.count(); }
  /// Returns the statistics of the passes since the last call.
  LoopStatistics takeLoopStatistics() { return monitor_->takeStatistics(); }
  const Clock& clock() const { return clock_; }

 private:
  using InFlightRequests = std::unordered_map<RequestId, InFlightRequest>;

  // Handlers of the recorded events and the due timers, called by processEvents().
  void deliver(const RequestArrived& event);
  void deliver(const ClientLeft& event);
  void deliver(const AttemptConnected& event);
  void deliver(AttemptEnded& event);
  void deliver(HealthCheckEnded& event);
  void deliver(const EndpointListReceived& event);
  void deliver(const EndpointListFailed& event);
  void deliver(GossipReceived& event);
  void deliverDueTimers();

  void finish(RequestId id, RequestEnd end, EndReason reason, std::function<void(ResponseHandler&)> notify);
  void respond(InFlightRequests::iterator entry, AttemptResult& result);
  EndpointListKind listKind(const EndpointListUpdate& list) const;
  void markUnlistedNotReady(const std::vector<EndpointUpdate>& listed);
  /// Applies the wall clock correction to the position in a load report. Clears the report if its position is
  /// still too far in the future.
  void correctReport(std::vector<double>& report);
  void updateWallClockCorrection(TimePoint position, bool isPrimary);
  void runActions();
  /// Records an event for the next call of processEvents().
  void record(DispatchEvent event);
  void scheduleWakeUp();
  /// Ends the pass of the event loop at this time, unless it ends earlier by itself.
  void limitPass(TimePoint end);
  void interruptPass();

  // Decisions of the LoadBalancer. They are recorded, and carried out at the end of the batch.
  void send(RequestId id, EndpointId endpoint, const AttemptLimits& limits) override;
  void reject(RequestId id, Duration retryAfter, EndReason reason) override;
  void fail(RequestId id, EndReason reason) override;
  void cancel(RequestId id, int attempt) override;
  void scheduleTimer(Duration delay, TimerToken token) override;
  void checkHealth(EndpointId endpoint) override;
  void broadcast(const GossipMessage& message) override;
  void pollDiscovery() override;
  void log(const std::string& line) override;

  event_base* const base_;
  const Config& config_;
  Clock clock_;
  const std::unique_ptr<LoopMonitor> monitor_ = std::make_unique<LoopMonitor>();
  TimePoint now_;  // time of the current batch
  PositionEpoch positionEpoch_;
  WallClockCorrection wallClockCorrection_;
  EndpointPool* endpoints_ = nullptr;
  EndpointWatcher* watcher_ = nullptr;
  GossipChannel* gossip_ = nullptr;
  std::vector<DispatchEvent> events_;
  std::vector<std::function<void()>> actions_;  // in the order in which they take effect
  std::vector<gossip::Message> gossipMessages_;
  InFlightRequests inFlight_;
  EndpointIds ids_;
  std::uint64_t generation_ = 0;
  RequestId lastRequestId_ = 0;
  TimePoint departedRemovedAt_{};
  TimerQueue timers_;
  Event wakeUp_;     // wakes up the event loop when the next timer is due
  Event passLimit_;  // makes the event loop return although callbacks are active
  std::optional<TimePoint> passLimitAt_;
  std::unique_ptr<LoadBalancer> balancer_;
};

}  // namespace stonebay
