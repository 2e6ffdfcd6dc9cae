// The turn: what has come in is gathered, handed to the LoadBalancer in one go, and what it decided is
// carried out. Knows requests, answers and members; of the protocols on both sides it knows nothing.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "codec/gossip/message.hpp"
#include "config/config.hpp"
#include "stonebay/load_balancer.hpp"
#include "util/clock.hpp"
#include "util/event.hpp"

namespace stonebay {

// A request as it goes on to a member; between the two parts stands what is left of its time, in ms.
struct ForwardedRequest {
  Buffer before, after;
  std::string id;  // as its client named it, for the log
};

// Whoever asked. It says so by Dispatcher::onClientLeft when it goes before it got one of these, once.
class ResponseHandler {
 public:
  virtual ~ResponseHandler() = default;
  virtual void onResponse(Buffer answer) = 0;
  virtual void onRejected(Time retryAfter) = 0;  // 0: no word on when to come back
  virtual void onFailed() = 0;
};

// The way to the members. Each send ends in one Dispatcher::onAttemptEnded, each probe in one
// Dispatcher::onHealthCheck; both come after the call has returned.
class EndpointPool {
 public:
  virtual ~EndpointPool() = default;
  virtual void updateEndpoint(EndpointId, const Address&, bool ready) = 0;
  virtual void send(RequestId, int attempt, EndpointId, Time until,
                    std::shared_ptr<const ForwardedRequest>) = 0;
  virtual void resumeAttempt(RequestId, int attempt, bool eligible) = 0;  // answers Dispatcher::onConnected
  virtual void cancel(RequestId, int attempt) = 0;
  virtual void checkHealth(EndpointId) = 0;
  virtual void removeEndpoint(EndpointId) = 0;  // nothing is out there, and nothing will be sent
};

// Where the list comes from. Each watch brings Dispatcher::onEndpointList time and again, or
// Dispatcher::onListFailure once.
class EndpointWatcher {
 public:
  virtual ~EndpointWatcher() = default;
  virtual void watch(std::uint64_t after) = 0;
};

// The way to the other proxies; what they say comes back through Dispatcher::onGossip.
class GossipChannel {
 public:
  virtual ~GossipChannel() = default;
  virtual void broadcast(const std::vector<gossip::Message>&) = 0;
};

// How an attempt ended.
struct AttemptResult {
  AttemptStatus status = AttemptStatus::Reset;
  Role role = Role::Unknown;
  std::int64_t positionMs = 0;    // Unix time; 0: not told
  bool invalidStatement = false;  // the endpoint turned the statement away for what it says
  std::vector<double> report;     // that came with the answer, positions in Unix seconds; may be empty
  Buffer response;                // AttemptStatus::Ok only
};

// Positions as the module takes them: after a zero that is near, rounded down, 0 where there is none.
float secondsSince(Time zero, double unixSeconds);
std::uint32_t millisecondsSince(Time zero, std::int64_t unixMs);  // below 2^30

class Dispatcher final : public EndpointListHandler, ActionSink {
 public:
  Dispatcher(event_base*, const Config&);
  ~Dispatcher() override;
  void start(EndpointPool&, EndpointWatcher&,
             GossipChannel* = nullptr);  // tells the LoadBalancer the list that the configuration holds

  // What has come in; it waits for the turn.
  RequestId submit(ResponseHandler&, Request, ForwardedRequest);  // its id is given here
  void onClientLeft(RequestId);
  void onConnected(RequestId, int attempt);  // a new connection stands: may the attempt still go out?
  void onAttemptEnded(RequestId, int attempt, EndpointId, AttemptResult);
  void onHealthCheck(EndpointId, bool ok, const std::vector<double>& report);  // positions in Unix seconds
  void onGossip(const gossip::Message&);
  void onEndpointList(InstanceList) override;
  void onListFailure(const std::string& why) override;

  std::uint64_t generation() const override { return generation_; }  // of the list as it is known
  bool hasPendingEvents() const { return !events_.empty(); }
  void processEvents();
  void removeDeparted(Time now);  // forgets what is gone and quiet; the turn does it now and then
  Time now() const { return clock_.now(); }
  const Clock& clock() const { return clock_; }

 private:
  struct Arrived {
    Request request;
  };
  struct Left {
    RequestId id;
  };
  struct Connected {
    RequestId id;
    int attempt;
  };
  struct Ended {
    RequestId id;
    int attempt;
    EndpointId endpoint;
    AttemptResult result;
  };
  struct Probed {
    EndpointId endpoint;
    bool ok;
    std::vector<double> report;
  };
  struct Listed {
    bool failed;
    InstanceList list;
  };
  struct Heard {
    gossip::Message message;
  };
  using Incoming = std::variant<Arrived, Left, Connected, Ended, Probed, Listed, Heard>;
  struct AttemptRecord {
    EndpointId endpoint;
    Time sentAt, endedAt{};
    const char* how = "out";
  };
  struct InFlightRequest {
    ResponseHandler* handler;
    std::shared_ptr<const ForwardedRequest> message;
    Request request;
    Time arrivedAt;
    std::vector<AttemptRecord> attempts{};  // by attempt
  };
  struct Timer {
    Time due;
    std::uint64_t order;
    TimerToken token;
    bool operator>(const Timer& o) const { return due != o.due ? due > o.due : order > o.order; }
  };

  void deliver(Arrived&);
  void deliver(Left&);
  void deliver(Connected&);
  void deliver(Ended&);
  void deliver(Probed&);
  void deliver(Listed&);
  void deliver(Heard&);
  void deliverList(EndpointListKind, const InstanceList&);
  std::vector<float> reportValues(const std::vector<double>& report) const;
  void advanceEpoch();
  EndpointId idOf(const std::string& name);
  const std::string& nameOf(EndpointId) const;
  void logRequestEnd(const InFlightRequest&, const char* how) const;

  void send(RequestId, EndpointId, Time until) override;
  void reject(RequestId, Time retryAfter) override;
  void fail(RequestId) override;
  void cancel(RequestId, int attempt) override;
  void scheduleTimer(Time in, TimerToken) override;
  void checkHealth(EndpointId) override;
  void broadcast(const GossipMessage&) override;
  void pollDiscovery() override;
  void log(const std::string& line) override;

  const Config& config_;
  Clock clock_;
  Time now_;            // of this turn
  Time positionEpoch_;  // positions are told to the LoadBalancer from here on
  EndpointPool* endpoints_ = nullptr;
  EndpointWatcher* watcher_ = nullptr;
  GossipChannel* gossip_ = nullptr;
  std::vector<gossip::Message> gossipMessages_;  // to be broadcast at the end of this batch
  std::vector<Incoming> events_;
  std::vector<std::function<void()>> actions_;  // recorded in the order in which they take effect
  std::unordered_map<RequestId, InFlightRequest> inFlight_;
  std::unordered_map<std::string, EndpointId> ids_;
  std::unordered_map<std::uint64_t, EndpointId> keys_;  // what peers call them; 0: two are called the same
  std::uint64_t generation_ = 0;
  EndpointId lastEndpointId_ = 0;
  RequestId lastRequestId_ = 0;
  Time departedRemovedAt_{};
  std::priority_queue<Timer, std::vector<Timer>, std::greater<Timer>> timers_;
  std::uint64_t timersScheduled_ = 0;
  Event alarm_;  // wakes the loop for the first timer
  std::unique_ptr<LoadBalancer> balancer_;
};

}  // namespace stonebay
