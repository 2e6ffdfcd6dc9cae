// What the handler of a feed gets, and in which order.
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
  void onListFailure(const std::string& why) override { calls.push_back("failure: " + why); }
  std::uint64_t generation() const override { return 0; }
};

struct EndpointFeedTest : testing::Test {
  EventBase base{event_base_new()};
  Clock clock;
  RecordingListHandler handler;
  EndpointFeed feed{base.get(), clock, handler, {}};

  static EndpointListUpdate listOf(int count) {
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

TEST_F(EndpointFeedTest, PublishesOnePartOfALongListAPass) {
  feed.onEndpointList(listOf(250));
  EXPECT_EQ(handler.calls, std::vector<std::string>{"list of 100"});
  event_base_loop(base.get(), EVLOOP_ONCE);
  event_base_loop(base.get(), EVLOOP_ONCE);
  EXPECT_EQ(handler.calls, (std::vector<std::string>{"list of 100", "list of 100", "list of 50"}));
}

// A list that came after a failure would end it, and nobody would watch again.
TEST_F(EndpointFeedTest, FailureComesBehindTheListThatWasReceivedBeforeIt) {
  feed.onEndpointList(listOf(150));
  feed.onListFailure("reset");
  for (int pass = 0; pass < 3; ++pass) event_base_loop(base.get(), EVLOOP_NONBLOCK);
  EXPECT_EQ(handler.calls, (std::vector<std::string>{"list of 100", "list of 50", "failure: reset"}));
}

TEST_F(EndpointFeedTest, FailureAloneComesAtOnce) {
  feed.onListFailure("reset");
  EXPECT_EQ(handler.calls, std::vector<std::string>{"failure: reset"});
}

}  // namespace
}  // namespace stonebay
