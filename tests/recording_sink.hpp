// An ActionSink that records every action.
#pragma once

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <vector>

#include "stonebay/load_balancer.hpp"

namespace stonebay::test {

/// The calls of ActionSink other than broadcast().
enum class ActionKind { Send, Reject, Fail, Cancel, Timer, HealthCheck, PollDiscovery, Log };

/// One call of an ActionSink. Fields that do not apply to its kind are 0.
struct Action {
  ActionKind kind = ActionKind::Log;
  RequestId request = 0;
  EndpointId endpoint = 0;
  TimePoint until{};    ///< Send: when the attempt times out
  TimePoint arrival{};  ///< Send: when its last byte must have arrived
  Duration time{};      ///< Reject: Retry-After; Timer: the delay
  int attempt = 0;
  EndReason reason{};  ///< Reject and Fail
  TimerToken token;
  TimePoint dueAt{};  ///< Timer: when it expires on the sink's clock
};

/// Records all actions in order; broadcasts are recorded separately.
class RecordingSink : public ActionSink {
 public:
  std::vector<Action> recorded;
  std::vector<GossipMessage> broadcasts;
  const TimePoint* clock = nullptr;  ///< if null, the due times of timers count from 0

  void send(RequestId id, EndpointId endpoint, const AttemptLimits& limits) override {
    Action action = make(ActionKind::Send, id);
    action.endpoint = endpoint;
    action.until = limits.response;
    action.arrival = limits.arrival;
    recorded.push_back(action);
  }
  void reject(RequestId id, Duration retryAfter, EndReason reason) override {
    Action action = make(ActionKind::Reject, id);
    action.time = retryAfter;
    action.reason = reason;
    recorded.push_back(action);
  }
  void fail(RequestId id, EndReason reason) override {
    Action action = make(ActionKind::Fail, id);
    action.reason = reason;
    recorded.push_back(action);
  }
  void cancel(RequestId id, int attempt) override {
    Action action = make(ActionKind::Cancel, id);
    action.attempt = attempt;
    recorded.push_back(action);
  }
  void scheduleTimer(Duration delay, TimerToken token) override {
    Action action = make(ActionKind::Timer);
    action.time = delay;
    action.token = token;
    action.dueAt = clock != nullptr ? *clock + delay : TimePoint(delay);
    recorded.push_back(action);
  }
  void checkHealth(EndpointId endpoint) override {
    Action action = make(ActionKind::HealthCheck);
    action.endpoint = endpoint;
    recorded.push_back(action);
  }
  void broadcast(const GossipMessage& message) override { broadcasts.push_back(message); }
  void pollDiscovery() override { recorded.push_back(make(ActionKind::PollDiscovery)); }
  void log(const std::string& /*line*/) override { recorded.push_back(make(ActionKind::Log)); }

  /// Returns the actions of a kind for one request, or for all requests if `id` is 0.
  std::vector<Action> of(ActionKind kind, RequestId id = 0) const {
    std::vector<Action> found;
    std::copy_if(recorded.begin(), recorded.end(), std::back_inserter(found), [&](const Action& action) {
      return action.kind == kind && (id == 0 || action.request == id);
    });
    return found;
  }
  std::size_t count(ActionKind kind, RequestId id = 0) const { return of(kind, id).size(); }

 private:
  static Action make(ActionKind kind, RequestId id = 0) {
    Action action;
    action.kind = kind;
    action.request = id;
    return action;
  }
};

}  // namespace stonebay::test
