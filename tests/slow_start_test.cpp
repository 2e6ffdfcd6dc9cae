// Tests of the share of requests that an endpoint receives while it warms up.
#include "balancer_fixture.hpp"

namespace stonebay::test {
namespace {

constexpr int kProxies = 300;

// Guards against overloading an endpoint that has just started: hundreds of proxies each sent it only one
// request at a time, which was too much in total.
TEST(SlowStart, ManyProxiesTogetherStayWithinTheCapacityOfAWarmingEndpoint) {
  int sentToWarming = 0;
  int submitted = 0;
  for (std::uint64_t seed = 1; seed <= kProxies; ++seed) {
    BalancerFixture fixture(defaultSettings(), 3, seed);
    fixture.nextRequestId = 1000 * seed;
    fixture.updateEndpoints({BalancerFixture::endpointUpdate(1, Lifecycle::Ready, fixture.now)});
    for (int k = 0; k < 3; ++k) {
      ++submitted;
      const RequestId id = fixture.serve(kEventualRead);
      if (fixture.lastEndpoint(id) == 1) ++sentToWarming;
    }
  }
  // A warm endpoint serves a third of the requests. A warming one has at least a fifth of that capacity, and
  // may receive half as many requests as that.
  EXPECT_GT(sentToWarming, 0);
  EXPECT_LE(sentToWarming, submitted / 3 / 5);
}

TEST(SlowStart, ShareIsThatOfTheLargestKnownGroupAfterOtherEndpointsAreRemoved) {
  BalancerFixture fixture;
  fixture.balancer.onEndpointList(fixture.now, EndpointListKind::Full,
                                  {BalancerFixture::endpointUpdate(1, Lifecycle::Ready, fixture.now)});
  int sent = 0;
  for (int k = 0; k < 300; ++k)
    if (!fixture.sends(fixture.submit(kEventualRead)).empty()) ++sent;
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent, 300 / 3 / 5);
}

// Guards against primary discovery overloading warming replicas with writes (incident i4914d4).
TEST(SlowStart, MisroutedWritesCountTowardsTheShareOfAWarmingEndpoint) {
  int sentToWarming = 0;
  for (std::uint64_t seed = 1; seed <= kProxies; ++seed) {
    BalancerFixture fixture(defaultSettings(), 3, seed);
    fixture.nextRequestId = 1000 * seed;
    fixture.updateEndpoints({BalancerFixture::endpointUpdate(1, Lifecycle::Ready, fixture.now)});
    const RequestId id = fixture.submit(kWrite);
    if (fixture.lastEndpoint(id) == 1) ++sentToWarming;  // the primary is unknown, and 1 is the lowest id
  }
  EXPECT_LE(sentToWarming, kProxies / 3 / 5);
}

// Returns the share of the reads of 300 proxies that is sent to a warming endpoint.
double shareOfWarmingEndpoint(const Settings& settings, bool loadIsReported) {
  constexpr int kReadsPerProxy = 4;
  int sentToWarming = 0;
  for (std::uint64_t seed = 1; seed <= kProxies; ++seed) {
    BalancerFixture fixture(settings, 3, seed);
    fixture.nextRequestId = 1000 * seed;
    fixture.updateEndpoints({BalancerFixture::endpointUpdate(2, Lifecycle::Ready, fixture.now - 5s)});
    for (EndpointId endpoint = 1; endpoint <= 3; ++endpoint) {
      const bool isPrimary = endpoint == 1;
      if (loadIsReported)
        fixture.reportLoad(endpoint, isPrimary, endpoint == 2 ? 0 : 9);
      else
        fixture.reportPosition(endpoint, 0ms, isPrimary);
    }
    for (int k = 0; k < kReadsPerProxy; ++k)
      if (fixture.lastEndpoint(fixture.submit(kEventualRead)) == 2) ++sentToWarming;
  }
  return sentToWarming / static_cast<double>(kProxies * kReadsPerProxy);
}

// Guards against leaving warming endpoints idle: after a release, two warm replicas of a group of six were
// overloaded and reads were rejected, while the four warming ones received almost none although their reports
// showed that they were idle.
TEST(SlowStart, ReportedLoadAdmitsReadsUpToTheCapacityOfAWarmingEndpoint) {
  Settings settings = defaultSettings();
  settings.reportFields = {ReportField::Position, ReportField::Primary, ReportField::InFlight};
  settings.overloadFactor = 4;
  const double withoutReports = shareOfWarmingEndpoint(settings, false);
  const double withReports = shareOfWarmingEndpoint(settings, true);
  const double capacity = 0.2 + 0.8 * 5 / 10;
  EXPECT_GT(withReports, 2 * withoutReports);
  EXPECT_LT(withReports, 1.6 * capacity / 3)
      << "it must not exceed its share by much more than half, whatever it reports";
}

}  // namespace
}  // namespace stonebay::test
