// The calls that an endpoint feed makes to its handler, and their order.
#include "discovery/endpoint_feed.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace stonebay {
namespace {

struct RecordingListHandler : EndpointListHandler {
  std::vector<std::string> calls;
  void onEndpointList(EndpointListUpdate list) override {
    calls.push_back("list of " + std::to_string(list.instances.size()));
  }
  void onListFailure(const std::string& reason) override { calls.push_back("failure: " + reason); }
  std::uint64_t generation() const override { return 0; }
};

struct EndpointFeedTest : testing::Test {
  EventBase base{event_base_new()};
  Clock clock;
  RecordingListHandler handler;
  EndpointFeed feed{base.get(), clock, handler, {}};

  static EndpointListUpdate makeList(int count) {
    EndpointListUpdate list{7, true, {}};
    for (int k = 1; k <= count; ++k) {
      Instance instance;
      instance.name = "s-" + std::to_string(k);
      instance.address = *Address::parse("10.0.0.1:" + std::to_string(k));
      list.instances.push_back(instance);
    }
    return list;
  }
};

TEST_F(EndpointFeedTest, PublishesOnePartOfALongListPerPass) {
  feed.onEndpointList(makeList(250));
  EXPECT_EQ(handler.calls, std::vector<std::string>{"list of 100"});
  event_base_loop(base.get(), EVLOOP_ONCE);
  event_base_loop(base.get(), EVLOOP_ONCE);
  EXPECT_EQ(handler.calls, (std::vector<std::string>{"list of 100", "list of 100", "list of 50"}));
}

// Guards against a lost failure: the balancer takes any list as the end of a failure, so a part of an older
// list that arrived after the failure would keep it from starting a new watch.
TEST_F(EndpointFeedTest, ReportsAFailureAfterTheListThatWasReceivedBeforeIt) {
  feed.onEndpointList(makeList(150));
  feed.onListFailure("reset");
  for (int pass = 0; pass < 3; ++pass) event_base_loop(base.get(), EVLOOP_NONBLOCK);
  EXPECT_EQ(handler.calls, (std::vector<std::string>{"list of 100", "list of 50", "failure: reset"}));
}

TEST_F(EndpointFeedTest, ReportsAFailureImmediatelyIfNoUpdateIsPending) {
  feed.onListFailure("reset");
  EXPECT_EQ(handler.calls, std::vector<std::string>{"failure: reset"});
}

}  // namespace
}  // namespace stonebay
