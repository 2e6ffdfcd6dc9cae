// The engine between a fake way to the members and a fake asker: no sockets.
#include "dispatch/dispatcher.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>

#include "gossip/gossip_socket.hpp"
#include "scenario.hpp"

namespace stonebay {
namespace {

struct FakeEndpointPool : EndpointPool {
  struct Sent {
    RequestId id;
    int attempt;
    EndpointId member;
  };
  std::vector<Sent> sent, cancelled;
  std::vector<EndpointId> probes;
  std::vector<std::pair<int, bool>> started;  // attempt, fit
  std::map<EndpointId, bool> ready;
  void updateEndpoint(EndpointId m, const Address&, bool isReady) override { ready[m] = isReady; }
  void send(RequestId id, int attempt, EndpointId m, Time, std::shared_ptr<const ForwardedRequest>) override {
    sent.push_back({id, attempt, m});
  }
  void resumeAttempt(RequestId, int attempt, bool fit) override { started.emplace_back(attempt, fit); }
  void cancel(RequestId id, int attempt) override { cancelled.push_back({id, attempt, 0}); }
  void checkHealth(EndpointId m) override { probes.push_back(m); }
  std::vector<EndpointId> forgotten;
  void removeEndpoint(EndpointId m) override { forgotten.push_back(m); }
};
struct FakeEndpointWatcher : EndpointWatcher {
  std::vector<std::uint64_t> watches;
  void watch(std::uint64_t after) override { watches.push_back(after); }
};
struct RecordingHandler : ResponseHandler {
  std::string got;
  void onResponse(Buffer answer) override {
    got += "served ";
    got.append(reinterpret_cast<const char*>(evbuffer_pullup(answer.get(), -1)),
               evbuffer_get_length(answer.get()));
  }
  void onRejected(Time) override { got += "refused"; }
  void onFailed() override { got += "failed"; }
};

struct DispatcherTest : testing::Test {
  EventBase base{event_base_new()};
  Config config = parseConfig(test::configuration({}, 1, {11, 12}));  // member 1 and member 2
  Dispatcher dispatcher{base.get(), config};
  FakeEndpointPool members;
  FakeEndpointWatcher lists;
  RecordingHandler handler;

  void SetUp() override {
    dispatcher.start(members, lists);
    dispatcher.processEvents();
    report(1, true, dispatcher.now());
    report(2, false, dispatcher.now());
  }
  void report(EndpointId m, bool primary, Time position) {
    dispatcher.onHealthCheck(m, true,
                             {static_cast<double>(position.count()) / 1e6, primary ? 1.0 : 0.0, 0.0});
    dispatcher.processEvents();
  }
  RequestId ask(int cls = 0) {
    Request q;
    q.classIndex = cls;
    q.group = 3;
    q.deadline = dispatcher.now() + std::chrono::seconds(5);
    const RequestId id = dispatcher.submit(handler, q, ForwardedRequest{newBuffer(), newBuffer(), "c1"});
    dispatcher.processEvents();
    return id;
  }
  void end(RequestId id, int attempt, EndpointId m, AttemptStatus result) {
    AttemptResult e;
    e.status = result;
    e.response = newBuffer();
    append(e.response.get(), "v");
    dispatcher.onAttemptEnded(id, attempt, m, std::move(e));
  }
};

TEST_F(DispatcherTest, WatchesFromTheGenerationThatItKnows) {
  EXPECT_EQ(lists.watches, std::vector<std::uint64_t>{5});
  EXPECT_TRUE(members.ready[1] && members.ready[2]);
}
TEST_F(DispatcherTest, WhatIsGatheredWaitsForTheTurn) {
  Request q;
  q.group = 3;
  q.deadline = dispatcher.now() + std::chrono::seconds(5);
  dispatcher.submit(handler, q, ForwardedRequest{newBuffer(), newBuffer(), {}});
  EXPECT_TRUE(members.sent.empty());
  EXPECT_TRUE(dispatcher.hasPendingEvents());
  dispatcher.processEvents();
  ASSERT_EQ(members.sent.size(), 1u);
  EXPECT_EQ(members.sent[0].member, 2u);
}
TEST_F(DispatcherTest, OneFinalAnswerAndAnOutcomeForEachSend) {
  const RequestId id = ask();
  end(id, 0, 2, AttemptStatus::Reset);
  dispatcher.processEvents();
  ASSERT_EQ(members.sent.size(), 2u);  // the module's decision, on the other member
  EXPECT_EQ(members.sent[1].attempt, 1);
  end(id, 1, 1, AttemptStatus::Ok);
  end(id, 1, 1, AttemptStatus::Ok);  // nobody's: it is told to the module as closed and goes no further
  dispatcher.processEvents();
  EXPECT_EQ(handler.got, "served v");
}
TEST_F(DispatcherTest, AnAnswerThatCrossesItsClientsLeavingGoesNowhere) {
  const RequestId id = ask();
  end(id, 0, 2, AttemptStatus::Ok);
  dispatcher.onClientLeft(id);
  dispatcher.processEvents();
  EXPECT_EQ(handler.got, "");
  const RequestId other = ask();
  dispatcher.onClientLeft(other);
  dispatcher.processEvents();
  ASSERT_EQ(members.cancelled.size(), 1u);
  EXPECT_EQ(members.cancelled[0].id, other);
}
// A slow dial must not let a drain or the data's age slip past: both count from the bytes sent.
TEST_F(DispatcherTest, ASendThatWaitedForItsConnectionIsLookedAtAgain) {
  const RequestId id = ask();
  dispatcher.onConnected(id, 0);
  dispatcher.processEvents();
  EXPECT_EQ(members.started.back(), std::make_pair(0, true));
  InstanceList change{6, false, {config.knownEndpoints.instances[1]}};
  change.instances[0].state = Lifecycle::Draining;
  dispatcher.onEndpointList(change);
  dispatcher.onConnected(id, 0);
  dispatcher.processEvents();
  EXPECT_EQ(members.started.back(), std::make_pair(0, false));
  EXPECT_FALSE(members.ready[2]);
  end(id, 0, 2, AttemptStatus::NotSent);
  dispatcher.processEvents();
  EXPECT_EQ(members.sent.back().member, 1u);
}
TEST_F(DispatcherTest, AWholeListTakesAwayWhatItDoesNotName) {
  dispatcher.onEndpointList({7, true, {config.knownEndpoints.instances[0]}});
  dispatcher.processEvents();
  EXPECT_TRUE(members.ready[1]);
  EXPECT_FALSE(members.ready[2]);
  dispatcher.onListFailure("down");
  dispatcher.processEvents();
  EXPECT_TRUE(members.ready[1]);
}
// On a long day every data server is replaced by a new one with a new name.
TEST_F(DispatcherTest, ForgetsWhatIsGoneAndQuietAndGivesNoIdTwice) {
  const RequestId id = ask();  // out at member 2
  dispatcher.onEndpointList({7, true, {config.knownEndpoints.instances[0]}});
  dispatcher.processEvents();
  dispatcher.removeDeparted(dispatcher.now() + std::chrono::seconds(30));
  dispatcher.processEvents();
  EXPECT_TRUE(members.forgotten.empty()) << "its attempt is still out";
  end(id, 0, 2, AttemptStatus::Reset);
  for (const EndpointId m : std::vector<EndpointId>(members.probes)) dispatcher.onHealthCheck(m, false, {});
  dispatcher.processEvents();
  dispatcher.removeDeparted(dispatcher.now() + std::chrono::seconds(31));
  dispatcher.processEvents();
  EXPECT_EQ(members.forgotten, std::vector<EndpointId>{2});
  end(id, 0, 2, AttemptStatus::Ok);  // late, of a member that is not known any more
  dispatcher.onHealthCheck(2, true, {1, 0, 0});
  dispatcher.processEvents();
  dispatcher.onEndpointList({8, true, config.knownEndpoints.instances});
  dispatcher.processEvents();
  EXPECT_TRUE(members.ready[3]);
  EXPECT_FALSE(members.ready[2]);
}
TEST_F(DispatcherTest, DataOlderThanTheBoundIsNotRead) {
  Dispatcher fresh(base.get(), config);
  fresh.start(members, lists);
  fresh.processEvents();
  const double old =
      static_cast<double>((fresh.now() - std::chrono::seconds(6)).count()) / 1e6;  // bound: 5 s
  fresh.onHealthCheck(2, true, {old, 0.0, 0.0});
  fresh.processEvents();
  Request q;
  q.group = 3;
  q.deadline = fresh.now() + std::chrono::seconds(5);
  fresh.submit(handler, q, ForwardedRequest{newBuffer(), newBuffer(), {}});
  fresh.processEvents();
  EXPECT_TRUE(members.sent.empty());
  fresh.onHealthCheck(1, false, {});
  fresh.onHealthCheck(2, true, {static_cast<double>(fresh.now().count()) / 1e6, 0.0, 0.0});
  fresh.processEvents();
  ASSERT_EQ(members.sent.size(), 1u);
  EXPECT_EQ(members.sent[0].member, 2u);
}

// Incident event4996: what an answer tells of its member counts as much as what a probe brings.
TEST_F(DispatcherTest, AReportInAnAnswerIsToldToTheModule) {
  Dispatcher fresh(base.get(), config);
  FakeEndpointPool its;
  fresh.start(its, lists);
  fresh.processEvents();
  Request read, write;
  read.group = write.group = 3;
  read.deadline = write.deadline = fresh.now() + std::chrono::seconds(5);
  write.classIndex = 1;
  fresh.submit(handler, read, ForwardedRequest{newBuffer(), newBuffer(), {}});
  const RequestId id = fresh.submit(handler, write, ForwardedRequest{newBuffer(), newBuffer(), {}});
  fresh.processEvents();
  ASSERT_EQ(its.sent.size(), 1u);  // the write looks for the primary; of no member's data is anything known
  const EndpointId asked = its.sent[0].member;
  AttemptResult e;
  e.status = AttemptStatus::TooStale;
  e.role = Role::Replica;
  e.report = {static_cast<double>(fresh.now().count()) / 1e6, 0.0, 1.0};
  fresh.onAttemptEnded(id, 0, asked, std::move(e));
  fresh.processEvents();
  ASSERT_EQ(its.sent.size(), 3u);
  EXPECT_TRUE(its.sent[1].member == asked || its.sent[2].member == asked);
}

// Datagrams go to all and are believed of the proxies of the tier alone.
TEST_F(DispatcherTest, PeersTellOneAnotherAndNobodyElseIsBelieved) {
  const auto open = [](Address& at) {
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const Address any = *Address::parse("127.0.0.1:0");
    EXPECT_EQ(bind(fd, any.data(), any.size()), 0);
    sockaddr_storage a{};
    socklen_t n = sizeof a;
    getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
    at = Address::fromSocket(reinterpret_cast<const sockaddr*>(&a));
    return fd;
  };
  Address peerAt, strangerAt;
  const int peerFd = open(peerAt), strangerFd = open(strangerAt);
  config.settings.gossipAllowed = true;
  config.gossipListen = *Address::parse("127.0.0.1:0");
  config.gossipBroadcast = peerAt;
  config.gossipPeers = {peerAt};
  Dispatcher one(base.get(), config);
  GossipSocket sockets(base.get(), one, config);
  FakeEndpointPool its;
  one.start(its, lists, &sockets);
  one.processEvents();
  one.onHealthCheck(2, true, {static_cast<double>(one.now().count()) / 1e6, 0.0, 3.0});
  one.processEvents();
  char bytes[512];
  sockaddr_storage from{};
  socklen_t length = sizeof from;
  const ssize_t n = recvfrom(peerFd, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &length);
  ASSERT_EQ(n, 13);
  // The same word of member 1 as the primary, from a stranger and then from the peer.
  usleep(2000);  // a newer position than the one that member 2 reported
  const auto nowMs = one.now().count() / 1000;
  gossip::Message word = gossip::parse({bytes, 13}, nowMs).at(0);
  EXPECT_EQ(word.inFlight, 3);
  EXPECT_FALSE(word.primary);
  word.primary = true;
  word.positionMs = nowMs;
  const std::string said = gossip::encode({word})[0];
  Request write;
  write.classIndex = 1;
  write.group = 3;
  write.deadline = one.now() + std::chrono::seconds(5);
  for (const int fd : {strangerFd, peerFd}) {
    sendto(fd, said.data(), said.size(), 0, reinterpret_cast<const sockaddr*>(&from), length);
    sendto(fd, "nonsense", 8, 0, reinterpret_cast<const sockaddr*>(&from), length);
    event_base_loop(base.get(), EVLOOP_ONCE);
    EXPECT_EQ(one.hasPendingEvents(), fd == peerFd);
  }
  one.processEvents();
  one.submit(handler, write, ForwardedRequest{newBuffer(), newBuffer(), {}});
  one.processEvents();
  ASSERT_EQ(its.sent.size(), 1u);
  EXPECT_EQ(its.sent[0].member, 2u);
  close(peerFd);
  close(strangerFd);
}

// Positions as the module takes them: never newer than they were told, on a short uptime and a long one.
TEST(Positions, AreRoundedDownAndStayPreciseUpToTheRebase) {
  const Time zero = std::chrono::seconds(1767225600);
  for (const std::int64_t ms : {1, 999, 59999, 60001, 3600123, 7199999}) {
    const double told = static_cast<double>(zero.count()) / 1e6 + static_cast<double>(ms) / 1e3;
    const double got = static_cast<double>(secondsSince(zero, told));
    EXPECT_LE(got, static_cast<double>(ms) / 1e3 + 1e-6) << ms;
    EXPECT_GE(got, static_cast<double>(ms) / 1e3 - 0.001) << ms;
    EXPECT_EQ(millisecondsSince(zero, zero.count() / 1000 + ms), static_cast<std::uint32_t>(ms));
  }
  EXPECT_EQ(secondsSince(zero, 1767225599.0), 0.0f);
  EXPECT_EQ(millisecondsSince(zero, zero.count() / 1000 - 1), 0u);
  EXPECT_EQ(millisecondsSince(zero, 0), 0u);
  // 4 x milliseconds must fit into 32 bits.
  EXPECT_EQ(millisecondsSince(zero, zero.count() / 1000 + (std::int64_t{1} << 30)), 0u);
}

}  // namespace
}  // namespace stonebay
