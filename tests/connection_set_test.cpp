// Which endpoints ConnectionSet::maintainMinIdle visits. A change of one endpoint must not visit the others.
#include "upstream/pg/connection_set.hpp"

#include <gtest/gtest.h>

#include "proxy_process.hpp"

namespace stonebay::test {
namespace {

class IgnoringHandler final : public UpstreamConnectionHandler {
 public:
  void onConnected(UpstreamConnection& /*connection*/) override {}
  bool onReady(UpstreamConnection& /*connection*/) override { return true; }
  void onResponse(UpstreamRequest& /*request*/, const ServerResponse& /*response*/,
                  Buffer /*messages*/) override {}
  void onConnectionLost(UpstreamConnection& /*connection*/, AttemptStatus /*status*/) override {}
  void onMalformedResponse(UpstreamConnection& /*connection*/, ProtocolError /*error*/) override {}
  bool onSynchronized(UpstreamConnection& /*connection*/) override { return true; }
  void onNotReusable(UpstreamConnection& /*connection*/) override {}
};

struct ConnectionSetTest : testing::Test {
  static constexpr EndpointId kEndpoints = 3000;
  EventBase base{event_base_new()};
  Config config = parseConfig(configuration({}, 1, {11, 12}));
  IgnoringHandler handler;
  ConnectionSet connections{base.get(), handler, config};
  const TimePoint now{Duration(1)};
};

TEST_F(ConnectionSetTest, ChangingOneEndpointVisitsNoOther) {
  for (EndpointId id = 1; id <= kEndpoints; ++id) {
    connections.at(id).ready = false;
    connections.maintainMinIdle(id, now);
  }
  EXPECT_EQ(connections.endpointsVisited(), kEndpoints);
}

TEST_F(ConnectionSetTest, MaintenanceVisitsOnlyEndpointsThatHaveChanged) {
  for (EndpointId id = 1; id <= kEndpoints; ++id) connections.at(id).ready = false;
  connections.maintainMinIdle(now);
  connections.at(7).ready = false;
  const std::uint64_t before = connections.endpointsVisited();
  connections.maintainMinIdle(now);
  EXPECT_EQ(connections.endpointsVisited() - before, 1u);
}

}  // namespace
}  // namespace stonebay::test
