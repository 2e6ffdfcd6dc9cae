// The DNS-SD client with name servers on the loopback interface.
#include "discovery/dnssd/dnssd_client.hpp"

#include <gtest/gtest.h>

#include "discovery/endpoint_feed.hpp"
#include "dnssd_fixture.hpp"
#include "testbed/name_server.hpp"

namespace stonebay {
namespace {

using dns::Type;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct DnsSdClientTest : testing::Test, EndpointListHandler {
  EventBase base{event_base_new()};
  Clock clock;
  testbed::NameServer first{base.get(), kDomain, kService};
  testbed::NameServer second{base.get(), kDomain, kService};
  Config config;
  std::unique_ptr<EndpointFeed> feed;
  std::unique_ptr<DnsSdClient> client;
  std::map<std::string, Instance> instances;  // as published by the feed
  std::uint64_t listCount = 0;
  std::uint64_t failureCount = 0;
  std::string failureReason;

  DnsSdClientTest() {
    DnsSdSettings& settings = config.dnssd;
    settings.domain = kDomain;
    settings.service = kService;
    for (const auto* server : {&first, &second})
      settings.servers.push_back(*Address::parse("127.0.0.1:" + std::to_string(server->port())));
    settings.minRefresh = milliseconds(100);
    settings.maxRefresh = milliseconds(200);
    settings.queryTimeout = milliseconds(150);
    settings.udpPayload = 1232;
    settings.defaultGroup = 3;
    settings.flapHalfLife = seconds(15);
    settings.maxSuppression = seconds(60);
    settings.flapSuppress = 1.5;
    settings.flapReuse = 0.75;
    for (int k = 1; k <= 3; ++k) publish("s-" + std::to_string(k), 6000 + k);
  }
  void publish(const std::string& label, int port) {
    testbed::ServiceInstance service;
    service.label = label;
    service.addresses = {"127.0.0.1"};
    service.port = static_cast<std::uint16_t>(port);
    for (auto* server : {&first, &second}) server->publish(service);
  }
  void onEndpointList(EndpointListUpdate list) override {
    ++listCount;
    if (list.isComplete) instances.clear();
    for (const Instance& instance : list.instances)
      if (instance.state == Lifecycle::Removed)
        instances.erase(instance.name);
      else
        instances[instance.name] = instance;
  }
  void onListFailure(const std::string& reason) override {
    ++failureCount;
    failureReason = reason;
  }
  std::uint64_t generation() const override { return 0; }
  void start() {
    feed = std::make_unique<EndpointFeed>(base.get(), clock, *this, EndpointTrackerPolicy());
    client = std::make_unique<DnsSdClient>(base.get(), clock, *feed, config);
  }
  // Runs the event loop until `done` returns true. Fails after 20 s.
  template <typename Done>
  void waitUntil(Done done) {
    const Time end = clock.now() + seconds(20);
    while (!done()) {
      ASSERT_LT(clock.now(), end) << "timed out; the last failure: " << failureReason;
      event_base_loop(base.get(), EVLOOP_ONCE);
    }
  }
};

TEST_F(DnsSdClientTest, DiscoversInstancesAndFollowsTheZone) {
  start();
  waitUntil([&] { return instances.size() == 3; });
  EXPECT_EQ(listCount, 1u);  // the first published list is complete
  EXPECT_EQ(instances["s-1"].address.text(), "127.0.0.1:6001");
  EXPECT_EQ(instances["s-1"].startedMs, 0);
  first.withdraw("s-2");
  waitUntil([&] { return instances.size() == 2; });
  EXPECT_EQ(instances.count("s-2"), 0u);
  publish("s-2", 6002);
  waitUntil([&] { return instances.size() == 3; });
  EXPECT_GT(instances["s-2"].startedMs, 0);
  first.clear();
  waitUntil([&] { return instances.empty(); });
  EXPECT_EQ(second.counts().udp, 0u);                                 // the second server was not needed
  EXPECT_EQ(first.counts().udp, first.counts().types.at(Type::Ptr));  // one query per refresh
}

TEST_F(DnsSdClientTest, OnlyANegativeResponseWithdraws) {
  start();
  waitUntil([&] { return instances.size() == 3; });
  for (const char* name : {"silent", "servfail", "refused", "lame", "noise", "loop", "counts", "wrong-id",
                           "wrong-question", "wrong-port"}) {
    testbed::NameServer::Behavior behavior{};
    ASSERT_TRUE(testbed::NameServer::findBehavior(name, behavior)) << name;
    first.setBehavior(behavior);
    second.setBehavior(behavior);
    const auto failuresBefore = failureCount;
    waitUntil([&] { return failureCount > failuresBefore; });
    EXPECT_EQ(instances.size(), 3u) << name;
    first.setBehavior(testbed::NameServer::Behavior::Good);
    second.setBehavior(testbed::NameServer::Behavior::Good);
    const auto queriesBefore = first.counts().udp + second.counts().udp;
    waitUntil([&] { return first.counts().udp + second.counts().udp > queriesBefore + 1; });
  }
  EXPECT_EQ(instances.size(), 3u);
  EXPECT_EQ(listCount, 1u);
}

TEST_F(DnsSdClientTest, FailsOverAndStaysWithTheNewServer) {
  first.setBehavior(testbed::NameServer::Behavior::Silent);
  start();
  waitUntil([&] { return instances.size() == 3; });
  EXPECT_EQ(failureCount, 0u);
  first.setBehavior(testbed::NameServer::Behavior::Good);
  const auto queriesToFirst = first.counts().udp;
  const auto queriesToSecond = second.counts().udp;
  waitUntil([&] { return second.counts().udp > queriesToSecond + 4; });
  EXPECT_EQ(first.counts().udp, queriesToFirst);
}

TEST_F(DnsSdClientTest, UsesTcpAfterTruncationAndKeepsTheListIfTcpIsRefused) {
  first.setBehavior(testbed::NameServer::Behavior::Truncated);
  start();
  waitUntil([&] { return instances.size() == 3; });
  EXPECT_GT(first.counts().tcp, 0u);
  first.setBehavior(testbed::NameServer::Behavior::TruncatedOnly);
  second.setBehavior(testbed::NameServer::Behavior::TruncatedOnly);
  waitUntil([&] { return failureCount >= 2; });
  EXPECT_EQ(instances.size(), 3u);
  second.setBehavior(testbed::NameServer::Behavior::Good);
  second.withdraw("s-3");
  waitUntil([&] { return instances.size() == 2; });
}

TEST_F(DnsSdClientTest, RetriesWithoutEdnsIfItIsRejected) {
  first.setBehavior(testbed::NameServer::Behavior::NoEdns);
  second.setBehavior(testbed::NameServer::Behavior::Silent);
  start();
  waitUntil([&] { return instances.size() == 3; });
  EXPECT_EQ(failureCount, 0u);
}

TEST_F(DnsSdClientTest, ManyInstancesCostOneConnectionPerRefreshNotAQueryEach) {
  for (int k = 4; k <= 60; ++k) publish("s-" + std::to_string(k), 6000 + k);
  start();
  waitUntil([&] { return instances.size() == 60; });
  const auto udpBefore = first.counts().udp, tcpBefore = first.counts().tcp;
  waitUntil([&] { return first.counts().tcp >= tcpBefore + 3; });
  EXPECT_LE(first.counts().udp - udpBefore, 1u);
}

TEST_F(DnsSdClientTest, AnInstanceIsPublishedOnceItHasAnAddress) {
  testbed::ServiceInstance service;
  service.label = "s-9";
  service.port = 6009;
  first.publish(service);
  start();
  waitUntil([&] { return instances.size() == 3 && client->faults().size() == 1; });
  EXPECT_EQ(instances.count("s-9"), 0u);
  service.addresses = {"127.0.0.1"};
  first.publish(service);
  waitUntil([&] { return instances.count("s-9") == 1; });
  // An instance that loses its address is withdrawn.
  service.addresses.clear();
  first.publish(service);
  waitUntil([&] { return instances.count("s-9") == 0; });
}

// After a reload with another domain, the old list is kept until the list of the new domain is complete.
TEST_F(DnsSdClientTest, ChangesTheDomainWithoutAGap) {
  start();
  waitUntil([&] { return instances.size() == 3; });
  testbed::NameServer other(base.get(), "seeb.example.org", kService);
  testbed::ServiceInstance service;
  service.addresses = {"127.0.0.1"};
  service.label = "s-1";
  service.port = 6001;
  other.publish(service);
  service.label = "t-1";
  service.port = 6100;
  other.publish(service);
  other.setBehavior(testbed::NameServer::Behavior::Silent);
  config.dnssd.domain = "seeb.example.org";
  config.dnssd.servers = {*Address::parse("127.0.0.1:" + std::to_string(other.port()))};
  const auto listsBefore = listCount;
  client->reconfigure(config);
  waitUntil([&] { return failureCount > 0; });
  EXPECT_EQ(instances.size(), 3u);
  EXPECT_EQ(listCount, listsBefore);
  other.setBehavior(testbed::NameServer::Behavior::Good);
  waitUntil([&] { return instances.size() == 2; });
  EXPECT_EQ(listCount, listsBefore + 1);
  EXPECT_EQ(instances.count("s-1") + instances.count("t-1"), 2u);
  EXPECT_EQ(instances["t-1"].startedMs, 0);  // it may have started long ago
}

}  // namespace
}  // namespace stonebay
