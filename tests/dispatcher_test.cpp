// Tests the dispatcher with fakes of its interfaces. Only the gossip test uses sockets.
#include "dispatch/dispatcher.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "app/signals.hpp"
#include "gossip/gossip_socket.hpp"
#include "scenario.hpp"
#include "util/event_loop.hpp"

namespace stonebay {
namespace {

struct FakeEndpointPool : EndpointPool {
  struct Attempt {
    RequestId id;
    int attempt;
    EndpointId endpoint;
  };
  std::vector<Attempt> sent;
  std::vector<Attempt> cancelled;
  std::vector<Attempt> withdrawn;
  std::vector<EndpointId> healthChecks;
  std::vector<std::pair<int, bool>> resumed;  // attempt, whether it was still eligible
  std::map<EndpointId, bool> ready;
  std::vector<EndpointId> removed;

  void updateEndpoint(EndpointId id, const Address&, bool isReady) override { ready[id] = isReady; }
  void send(RequestId id, int attempt, EndpointId endpoint, const AttemptLimits&,
            std::shared_ptr<const ForwardedRequest>) override {
    sent.push_back({id, attempt, endpoint});
  }
  void resumeAttempt(RequestId, int attempt, bool eligible) override {
    resumed.emplace_back(attempt, eligible);
  }
  void cancel(RequestId id, int attempt) override { cancelled.push_back({id, attempt, 0}); }
  void withdraw(RequestId id, int attempt) override { withdrawn.push_back({id, attempt, 0}); }
  void checkHealth(EndpointId id) override { healthChecks.push_back(id); }
  void removeEndpoint(EndpointId id) override { removed.push_back(id); }
};

struct FakeEndpointWatcher : EndpointWatcher {
  std::vector<std::uint64_t> watches;
  void watch(std::uint64_t afterGeneration) override { watches.push_back(afterGeneration); }
};

struct RecordingHandler : ResponseHandler {
  std::string calls;
  void onResponse(Buffer response) override {
    calls += "response ";
    calls.append(reinterpret_cast<const char*>(evbuffer_pullup(response.get(), -1)),
                 evbuffer_get_length(response.get()));
  }
  void onRejected(Duration) override { calls += "rejected"; }
  void onFailed() override { calls += "failed"; }
  bool clientHasLeft() const override { return hasLeft; }
  bool hasLeft = false;
};

// Indexes of the request classes in the tests' configuration.
constexpr int kReadClass = 0;
constexpr int kWriteClass = 1;

Request requestOf(const Dispatcher& dispatcher, int classIndex = kReadClass) {
  Request request;
  request.classIndex = classIndex;
  request.group = 3;
  request.deadline = dispatcher.now() + std::chrono::seconds(5);
  return request;
}

ForwardedRequest emptyMessage(const std::string& id = {}) {
  return ForwardedRequest{newBuffer(), newBuffer(), false, id};
}

double unixSeconds(TimePoint position) {
  return static_cast<double>(position.time_since_epoch().count()) / 1e6;
}

struct DispatcherTest : testing::Test {
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));  // endpoints 1 and 2
  Dispatcher dispatcher{base.get(), config};
  FakeEndpointPool endpoints;
  FakeEndpointWatcher watcher;
  RecordingHandler handler;

  void SetUp() override {
    dispatcher.start(endpoints, watcher);
    dispatcher.processEvents();
    reportHealth(1, true, dispatcher.now());
    reportHealth(2, false, dispatcher.now());
  }
  void reportHealth(EndpointId id, bool primary, TimePoint position) {
    dispatcher.onHealthCheck(id, true, {unixSeconds(position), primary ? 1.0 : 0.0, 0.0});
    dispatcher.processEvents();
  }
  RequestId submitRead() {
    const RequestId id = dispatcher.submit(handler, requestOf(dispatcher), emptyMessage("c1"));
    dispatcher.processEvents();
    return id;
  }
  void endAttempt(RequestId id, int attempt, EndpointId endpoint, AttemptStatus status) {
    AttemptResult result;
    result.status = status;
    result.response = newBuffer();
    append(result.response.get(), "v");
    dispatcher.onAttemptEnded(id, attempt, endpoint, std::move(result));
  }
};

TEST_F(DispatcherTest, WatchesFromTheGenerationOfTheConfiguredList) {
  EXPECT_EQ(watcher.watches, std::vector<std::uint64_t>{5});
  EXPECT_TRUE(endpoints.ready[1] && endpoints.ready[2]);
}

TEST_F(DispatcherTest, RecordsEventsUntilTheyAreProcessed) {
  dispatcher.submit(handler, requestOf(dispatcher), emptyMessage());
  EXPECT_TRUE(endpoints.sent.empty());
  EXPECT_TRUE(dispatcher.hasPendingEvents());
  dispatcher.processEvents();
  ASSERT_EQ(endpoints.sent.size(), 1u);
  EXPECT_EQ(endpoints.sent[0].endpoint, 2u);
}

TEST_F(DispatcherTest, DoesNotWriteAnAttemptWhoseRequestHasEnded) {
  const RequestId id = submitRead();
  EXPECT_TRUE(dispatcher.mayBeWritten(id));
  handler.hasLeft = true;
  EXPECT_FALSE(dispatcher.mayBeWritten(id)) << "its client has closed the connection";
  handler.hasLeft = false;
  dispatcher.onClientLeft(id);
  EXPECT_FALSE(dispatcher.mayBeWritten(id));
  Request late = requestOf(dispatcher);
  late.deadline = dispatcher.now();
  EXPECT_FALSE(dispatcher.mayBeWritten(dispatcher.submit(handler, late, emptyMessage())));
  EXPECT_FALSE(dispatcher.mayBeWritten(99));
}

// By this machine's clock, the replica's data is from the future.
TEST_F(DispatcherTest, SendsReadsToTheReplicaWhenTheWallClockIsBehind) {
  const Duration error = std::chrono::hours(1);
  reportHealth(1, true, dispatcher.now() + error);
  reportHealth(2, false, dispatcher.now() + error);
  submitRead();
  ASSERT_FALSE(endpoints.sent.empty());
  EXPECT_EQ(endpoints.sent.back().endpoint, 2u);
}

TEST_F(DispatcherTest, SendsNoReadToAStaleReplicaWhenTheWallClockIsBehind) {
  const Duration error = std::chrono::hours(1);
  reportHealth(2, false, dispatcher.now());  // an hour old by the other machines' clock
  reportHealth(1, true, dispatcher.now() + error);
  submitRead();
  reportHealth(2, false, dispatcher.now());  // the request waits for this result
  ASSERT_FALSE(endpoints.sent.empty());
  EXPECT_EQ(endpoints.sent.back().endpoint, 1u);
}

TEST_F(DispatcherTest, GivesOneFinalResponseAndReportsEveryOutcome) {
  const RequestId id = submitRead();
  endAttempt(id, 0, 2, AttemptStatus::Reset);
  dispatcher.processEvents();
  ASSERT_EQ(endpoints.sent.size(), 2u);  // a retry, on the other endpoint
  EXPECT_EQ(endpoints.sent[1].attempt, 1);
  endAttempt(id, 1, 1, AttemptStatus::Ok);
  endAttempt(id, 1, 1, AttemptStatus::Ok);  // no longer in flight: gives no second response
  dispatcher.processEvents();
  EXPECT_EQ(handler.calls, "response v");
}

TEST_F(DispatcherTest, DropsTheResponseIfTheClientHasLeft) {
  const RequestId id = submitRead();
  endAttempt(id, 0, 2, AttemptStatus::Ok);
  dispatcher.onClientLeft(id);
  dispatcher.processEvents();
  EXPECT_EQ(handler.calls, "");
  const RequestId other = submitRead();
  dispatcher.onClientLeft(other);
  dispatcher.processEvents();
  ASSERT_EQ(endpoints.cancelled.size(), 1u);
  EXPECT_EQ(endpoints.cancelled[0].id, other);
}

// While an attempt waits for a connection, its endpoint may start to drain or its data may become too old.
// Both rules apply at the time when the attempt is written.
TEST_F(DispatcherTest, ChecksEligibilityAgainOnceAConnectionIsEstablished) {
  const RequestId id = submitRead();
  dispatcher.onConnected(id, 0);
  dispatcher.processEvents();
  EXPECT_EQ(endpoints.resumed.back(), std::make_pair(0, true));
  EndpointListUpdate change{6, false, {config.initialEndpoints.instances[1]}};
  change.instances[0].state = Lifecycle::Draining;
  dispatcher.onEndpointList(change);
  dispatcher.onConnected(id, 0);
  dispatcher.processEvents();
  EXPECT_EQ(endpoints.resumed.back(), std::make_pair(0, false));
  EXPECT_FALSE(endpoints.ready[2]);
  endAttempt(id, 0, 2, AttemptStatus::NotSent);
  dispatcher.processEvents();
  EXPECT_EQ(endpoints.sent.back().endpoint, 1u);
}

TEST_F(DispatcherTest, MarksEndpointsMissingFromACompleteListNotReady) {
  dispatcher.onEndpointList({7, true, {config.initialEndpoints.instances[0]}});
  dispatcher.processEvents();
  EXPECT_TRUE(endpoints.ready[1]);
  EXPECT_FALSE(endpoints.ready[2]);
  dispatcher.onListFailure("down");
  dispatcher.processEvents();
  EXPECT_TRUE(endpoints.ready[1]);
}

// Endpoints are replaced over time by new ones with new names, so the old ones must be removed. Late events
// about them must not be taken for events of a new endpoint.
TEST_F(DispatcherTest, RemovesDepartedEndpointsWithoutReusingTheirIds) {
  const RequestId id = submitRead();  // in flight at endpoint 2
  dispatcher.onEndpointList({7, true, {config.initialEndpoints.instances[0]}});
  dispatcher.processEvents();
  dispatcher.removeDeparted(dispatcher.now() + std::chrono::seconds(30));
  dispatcher.processEvents();
  EXPECT_TRUE(endpoints.removed.empty()) << "its attempt is still in flight";
  endAttempt(id, 0, 2, AttemptStatus::Reset);
  for (const EndpointId checked : std::vector<EndpointId>(endpoints.healthChecks))
    dispatcher.onHealthCheck(checked, false, {});
  dispatcher.processEvents();
  dispatcher.removeDeparted(dispatcher.now() + std::chrono::seconds(31));
  dispatcher.processEvents();
  EXPECT_EQ(endpoints.removed, std::vector<EndpointId>{2});
  endAttempt(id, 0, 2, AttemptStatus::Ok);  // late, from an endpoint that has been removed
  dispatcher.onHealthCheck(2, true, {1, 0, 0});
  dispatcher.processEvents();
  dispatcher.onEndpointList({8, true, config.initialEndpoints.instances});
  dispatcher.processEvents();
  EXPECT_TRUE(endpoints.ready[3]);
  EXPECT_FALSE(endpoints.ready[2]);
}

TEST_F(DispatcherTest, SendsNoReadToAnEndpointBeyondTheStalenessBound) {
  Dispatcher freshDispatcher(base.get(), config);
  freshDispatcher.start(endpoints, watcher);
  freshDispatcher.processEvents();
  const TimePoint tooOld = freshDispatcher.now() - std::chrono::seconds(6);  // the bound is 5 s
  freshDispatcher.onHealthCheck(2, true, {unixSeconds(tooOld), 0.0, 0.0});
  freshDispatcher.processEvents();
  freshDispatcher.submit(handler, requestOf(freshDispatcher), emptyMessage());
  freshDispatcher.processEvents();
  EXPECT_TRUE(endpoints.sent.empty());
  freshDispatcher.onHealthCheck(1, false, {});
  freshDispatcher.onHealthCheck(2, true, {unixSeconds(freshDispatcher.now()), 0.0, 0.0});
  freshDispatcher.processEvents();
  ASSERT_EQ(endpoints.sent.size(), 1u);
  EXPECT_EQ(endpoints.sent[0].endpoint, 2u);
}

// Guards against incident event4996: a load report that arrives with a response must be used like that of a
// health check. Here it lets the waiting read be sent.
TEST_F(DispatcherTest, UsesLoadReportsFromResponses) {
  Dispatcher freshDispatcher(base.get(), config);
  FakeEndpointPool pool;
  freshDispatcher.start(pool, watcher);
  freshDispatcher.processEvents();
  freshDispatcher.submit(handler, requestOf(freshDispatcher), emptyMessage());
  const RequestId id =
      freshDispatcher.submit(handler, requestOf(freshDispatcher, kWriteClass), emptyMessage());
  freshDispatcher.processEvents();
  ASSERT_EQ(pool.sent.size(), 1u);  // the write, to find the primary; the read waits for a known position
  const EndpointId tried = pool.sent[0].endpoint;
  AttemptResult result;
  result.status = AttemptStatus::TooStale;
  result.role = Role::Replica;
  result.report = {unixSeconds(freshDispatcher.now()), 0.0, 1.0};
  freshDispatcher.onAttemptEnded(id, 0, tried, std::move(result));
  freshDispatcher.processEvents();
  ASSERT_EQ(pool.sent.size(), 3u);
  EXPECT_TRUE(pool.sent[1].endpoint == tried || pool.sent[2].endpoint == tried);
}

TEST_F(DispatcherTest, BroadcastsGossipAndAcceptsItFromPeersOnly) {
  const auto openSocket = [](Address& address) {
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const Address any = *Address::parse("127.0.0.1:0");
    EXPECT_EQ(bind(fd, any.data(), any.size()), 0);
    sockaddr_storage bound{};
    socklen_t size = sizeof bound;
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    address = Address::fromSocket(reinterpret_cast<const sockaddr*>(&bound));
    return fd;
  };
  Address peer;
  Address stranger;
  const int peerFd = openSocket(peer);
  const int strangerFd = openSocket(stranger);
  config.settings.gossipAllowed = true;
  config.gossipListen = *Address::parse("127.0.0.1:0");
  config.gossipBroadcast = peer;
  config.gossipPeers = {peer};
  Dispatcher gossipingDispatcher(base.get(), config);
  GossipSocket gossipSocket(base.get(), gossipingDispatcher, config);
  FakeEndpointPool pool;
  gossipingDispatcher.start(pool, watcher, &gossipSocket);
  gossipingDispatcher.processEvents();
  gossipingDispatcher.onHealthCheck(2, true, {unixSeconds(gossipingDispatcher.now()), 0.0, 3.0});
  gossipingDispatcher.processEvents();
  char bytes[512];
  sockaddr_storage from{};
  socklen_t length = sizeof from;
  const ssize_t n = recvfrom(peerFd, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &length);
  ASSERT_EQ(n, 13);
  // Send the same message, with endpoint 2 as the primary, first from a stranger and then from the peer.
  usleep(2000);  // a newer position than the one that endpoint 2 reported
  const auto nowMs = gossipingDispatcher.now().time_since_epoch().count() / 1000;
  gossip::Message message = gossip::parse({bytes, 13}, nowMs).at(0);
  EXPECT_EQ(message.inFlight, 3);
  EXPECT_FALSE(message.primary);
  message.primary = true;
  message.positionMs = nowMs;
  const std::string datagram = gossip::encode({message})[0];
  const Request write = requestOf(gossipingDispatcher, kWriteClass);
  for (const int fd : {strangerFd, peerFd}) {
    sendto(fd, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&from), length);
    sendto(fd, "nonsense", 8, 0, reinterpret_cast<const sockaddr*>(&from), length);
    event_base_loop(base.get(), EVLOOP_ONCE);
    EXPECT_EQ(gossipingDispatcher.hasPendingEvents(), fd == peerFd);
  }
  gossipingDispatcher.processEvents();
  gossipingDispatcher.submit(handler, write, emptyMessage());
  gossipingDispatcher.processEvents();
  ASSERT_EQ(pool.sent.size(), 1u);
  EXPECT_EQ(pool.sent[0].endpoint, 2u);
  close(peerFd);
  close(strangerFd);
}

// Callbacks that keep each other active for as long as a flood lasts, as the deferred reads of busy sessions
// do.
struct ReactivatingCallbacks {
  explicit ReactivatingCallbacks(event_base* base, int count) {
    for (int k = 0; k < count; ++k) {
      events_.emplace_back(event_new(base, -1, 0, run, this));
      event_priority_set(events_.back().get(), kNormalPriority);
      event_active(events_.back().get(), EV_TIMEOUT, 0);
    }
  }
  void stop() { active_ = false; }
  std::function<void()> onCallback;

 private:
  static void run(evutil_socket_t /*fd*/, short /*what*/, void* context) {
    auto& self = *static_cast<ReactivatingCallbacks*>(context);
    if (self.onCallback) self.onCallback();
    Event& current = self.events_[self.next_++ % self.events_.size()];
    const bool flooding = self.active_ && std::chrono::steady_clock::now() < self.end_;
    if (flooding) event_active(current.get(), EV_TIMEOUT, 0);
  }
  std::vector<Event> events_;
  std::size_t next_ = 0;
  bool active_ = true;
  const std::chrono::steady_clock::time_point end_ =
      std::chrono::steady_clock::now() + std::chrono::seconds(2);
};

Duration elapsedSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
}

// A pass ends by this time, with the time that a busy machine may take away.
constexpr Duration kPassBound =
    Dispatcher::kMaxCallbackTime + kMaxDispatchTime + std::chrono::milliseconds(150);

// Guards against a proxy that reads but never answers: while callbacks kept each other active, the event loop
// did not return, and no request, answer or timer was processed.
TEST(EventLoop, RequestsAreProcessedWhileCallbacksKeepEachOtherActive) {
  for (const int count : {1, 40, 400}) {
    const EventBase base = newEventBase();
    const Config config = parseConfig(test::configuration({}, 1, {11, 12}));
    Dispatcher dispatcher(base.get(), config);
    RecordingHandler handler;
    ReactivatingCallbacks flood(base.get(), count);
    bool submitted = false;
    flood.onCallback = [&] {
      if (!std::exchange(submitted, true)) dispatcher.submit(handler, requestOf(dispatcher), emptyMessage());
    };
    const auto start = std::chrono::steady_clock::now();
    event_base_loop(base.get(), EVLOOP_ONCE);
    EXPECT_TRUE(dispatcher.hasPendingEvents());
    EXPECT_LT(elapsedSince(start), kPassBound) << count << " callbacks";
    EXPECT_EQ(dispatcher.takeLoopStatistics().interrupted, 1u);
  }
}

// Guards against timers of decisions that never run for the same reason.
TEST(EventLoop, TimersRunWhileCallbacksKeepEachOtherActive) {
  const EventBase base = newEventBase();
  const Config config = parseConfig(test::configuration({}, 1, {11, 12}));
  Dispatcher dispatcher(base.get(), config);
  FakeEndpointPool endpoints;
  FakeEndpointWatcher watcher;
  RecordingHandler handler;
  dispatcher.start(endpoints, watcher);
  dispatcher.processEvents();
  Request request = requestOf(dispatcher);
  request.deadline = dispatcher.now() + std::chrono::milliseconds(200);
  dispatcher.submit(handler, request, emptyMessage());
  dispatcher.processEvents();  // no endpoint answers, so the request waits until a timer ends it
  ASSERT_EQ(handler.calls, "");
  ReactivatingCallbacks flood(base.get(), 40);
  const auto start = std::chrono::steady_clock::now();
  while (handler.calls.empty() && elapsedSince(start) < std::chrono::seconds(1)) {
    event_base_loop(base.get(), EVLOOP_ONCE);
    dispatcher.processEvents();
  }
  EXPECT_NE(handler.calls, "");
  EXPECT_LT(elapsedSince(start), std::chrono::milliseconds(200) + kPassBound);
}

// Guards against signals that wait for the end of a flood.
TEST(EventLoop, SignalsAreHandledWhileCallbacksKeepEachOtherActive) {
  const EventBase base = newEventBase();
  const auto start = std::chrono::steady_clock::now();
  std::optional<Duration> handledAfter;
  ReactivatingCallbacks flood(base.get(), 40);
  int callbacks = 0;
  flood.onCallback = [&] {
    if (++callbacks == 100) raise(SIGHUP);
  };
  const SignalHandlers signals(
      base.get(), [] {},
      [&] {
        handledAfter = elapsedSince(start);
        flood.stop();
      });
  event_base_loop(base.get(), EVLOOP_ONCE);
  ASSERT_TRUE(handledAfter.has_value());
  EXPECT_LT(*handledAfter, kPassBound);
}

}  // namespace
}  // namespace stonebay
