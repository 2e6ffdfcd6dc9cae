// Joins the network and the LoadBalancer: events are gathered, handed over in one batch, and the decisions
// are carried out at its end. Knows requests, responses and endpoints, but no protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
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
/// The on... functions and submit() only record an event, so they may be called from anywhere, the
/// interfaces' callees included. processEvents() handles what was recorded; it has to be called after each
/// pass of the event loop. Not thread-safe.
class Dispatcher final : public EndpointListHandler, ActionSink {
 public:
  /// The configuration must outlive the dispatcher.
  Dispatcher(event_base* base, const Config& config);
  ~Dispatcher() override;
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  /// Must be called once, before the first processEvents(); the interfaces must outlive the dispatcher's use.
  /// Records the endpoint list that the configuration holds. No gossip: the other proxies are not reached.
  void start(EndpointPool& endpoints, EndpointWatcher& watcher, GossipChannel* gossip = nullptr);

  /// Records a request; returns the id that it gets here. The handler must stay valid until its final
  /// response or onClientLeft().
  RequestId submit(ResponseHandler& handler, Request request, ForwardedRequest message);
  void onClientLeft(RequestId id);
  /// Whether an attempt may be written now. Since it was decided its request may have ended, its time be
  /// over, or its client have left.
  bool mayBeWritten(RequestId id) const;
  /// An attempt has got its new connection; answered by EndpointPool::resumeAttempt.
  void onConnected(RequestId id, int attempt);
  void onAttemptEnded(RequestId id, int attempt, EndpointId endpoint, AttemptResult result);
  /// The load report has its positions in Unix seconds.
  void onHealthCheck(EndpointId endpoint, bool ok, const std::vector<double>& report);
  void onGossip(const gossip::Message& message);
  void onEndpointList(EndpointListUpdate list) override;
  void onListFailure(const std::string& why) override;
  void onListInput() override { monitor_->onCallback(TimePoint(clock_.now())); }

  /// Of the latest endpoint list that has been processed.
  std::uint64_t generation() const override { return generation_; }
  bool hasPendingEvents() const { return !events_.empty(); }
  /// Hands the recorded events and the timers that are due to the LoadBalancer, then carries out its
  /// decisions.
  void processEvents();
  /// Drops the endpoints that have been gone and idle for long. processEvents() does so from time to time.
  void removeDeparted(TimePoint now);
  /// The present. The first reading in a pass of the event loop starts the measurement of the pass.
  TimePoint now() const;
  /// The present by the clock of all other machines: differs from now() where this one's was wrong.
  TimePoint unixNow() const { return now() + wallClock_.value(); }
  /// See LoopMonitor::earliestArrival.
  TimePoint earliestArrival() const { return monitor_->earliestArrival(now()); }
  std::size_t requestsInFlight() const { return inFlight_.size(); }
  std::size_t endpointCount() const { return ids_.count(); }
  /// Of the passes since the last call.
  LoopStatistics takeLoopStatistics() { return monitor_->takeStatistics(); }
  const Clock& clock() const { return clock_; }

 private:
  using InFlightRequests = std::unordered_map<RequestId, InFlightRequest>;

  // Events, during a batch.
  void deliver(const RequestArrived& event);
  void deliver(const ClientLeft& event);
  void deliver(const AttemptConnected& event);
  void deliver(AttemptEnded& event);
  void deliver(HealthCheckEnded& event);
  void deliver(const EndpointListReceived& event);
  void deliver(const EndpointListFailed& event);
  void deliver(GossipReceived& event);
  void deliverTimers();

  void finish(RequestId id, RequestEnd end, EndReason reason, std::function<void(ResponseHandler&)> notify);
  void respond(InFlightRequests::iterator entry, AttemptResult& result);
  EndpointListKind listKind(const EndpointListUpdate& list) const;
  void retireUnlisted(const std::vector<EndpointUpdate>& listed);
  /// Corrects the position in a report; drops the report if it is of the future all the same.
  void correctReport(std::vector<double>& report);
  void observeWallClock(TimePoint position, bool isPrimary);
  void runActions();
  void scheduleWakeUp();

  // Decisions of the LoadBalancer: recorded, and carried out at the end of the batch.
  void send(RequestId id, EndpointId endpoint, TimePoint until) override;
  void reject(RequestId id, Duration retryAfter, EndReason reason) override;
  void fail(RequestId id, EndReason reason) override;
  void cancel(RequestId id, int attempt) override;
  void scheduleTimer(Duration delay, TimerToken token) override;
  void checkHealth(EndpointId endpoint) override;
  void broadcast(const GossipMessage& message) override;
  void pollDiscovery() override;
  void log(const std::string& line) override;

  const Config& config_;
  Clock clock_;
  const std::unique_ptr<LoopMonitor> monitor_ = std::make_unique<LoopMonitor>();
  TimePoint now_;  // of this batch
  PositionEpoch epoch_;
  WallClockCorrection wallClock_;
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
  Event wakeUp_;  // ends a pass of the event loop when the next timer is due
  std::unique_ptr<LoadBalancer> balancer_;
};

}  // namespace stonebay
