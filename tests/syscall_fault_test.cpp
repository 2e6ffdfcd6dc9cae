// Tests the proxy while system calls fail, are interrupted or transfer fewer bytes than requested, and while
// its wall clock is wrong. scenario.hpp describes the language of the scripts, testbed/syscall_shim.cpp the
// faults.
#include <unistd.h>

#include <cstdlib>
#include <fstream>

#include "scenario.hpp"

namespace stonebay::test {
namespace {

Setting withFaults(const std::string& faults) {
  Setting setting;
  setting.faults = faults;
  return setting;
}

// A connection arrives with its first request while the proxy is stopped and shutting down. In the tests
// below the first two accept4 calls fail: the first is the listener's, the second is made by the proxy for
// the backlog before it closes the listener.
constexpr const char* kConnectWhileAcceptingStops = R"(
    proxy send TERM
    proxy expect log event=drain_started
    proxy send STOP
    c1 open
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    time passes 600
    proxy send CONT
    c1 expect greeted
    c1 expect retry-after
    c1 expect closed
    proxy expect exit 0
)";

TEST(SyscallFaults, ShutdownAcceptsTheConnectionQueuedBehindAnAbortedOne) {
  Scenario scenario(withFaults("accept4:ECONNABORTED:1:2"));
  scenario.run(kConnectWhileAcceptingStops);
}

TEST(SyscallFaults, ShutdownAcceptsTheBacklogOnceDescriptorsAreFreeAgain) {
  Scenario scenario(withFaults("accept4:ENFILE:1:2"));
  scenario.run(kConnectWhileAcceptingStops);
}

TEST(SyscallFaults, ServesThroughShortReadsAndWritesAndInterruptedWaits) {
  Scenario scenario(
      withFaults("readv:SHORT:300,writev:SHORT:300,epoll_wait:EINTR:100,readv:EINTR:100,writev:EAGAIN:50"));
  scenario.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row big
    c1 expect row big
    c1 send query INSERT 2 /* id=2,c=write,d=7000,k=1,cluster=3 */
    s1 expect query id=2
    s1 send row v
    c1 expect row v
  )");
}

TEST(SyscallFaults, ServesAfterSocketAndConnectFailTemporarily) {
  Scenario scenario(withFaults("socket:ENFILE:3:6,connect:EADDRNOTAVAIL:2:6"));
  scenario.run(R"(
    time passes 1500
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
  )");
}

TEST(SyscallFaults, StartsAfterTheListenerSocketFailsAtFirst) {
  Scenario scenario(withFaults("socket:ENFILE:1:3"));
  scenario.run(R"(
    c1 send query
    c1 expect empty
  )");
}

class WallClock : public testing::Test {
 protected:
  void SetUp() override { close(mkstemp(path_)); }
  void TearDown() override { unlink(path_); }
  void setOffset(long offsetMs) const { std::ofstream(path_) << offsetMs; }
  Setting setting() const {
    Setting setting;
    setting.clockFile = path_;
    return setting;
  }

 private:
  char path_[32] = "/tmp/stonebay-clock-XXXXXX";
};

constexpr long kHourMs = 3600L * 1000;

TEST_F(WallClock, StepsDoNotAffectDeadlinesOrReplicas) {
  Scenario scenario(setting());
  for (const long offset : {kHourMs, -kHourMs, 5000L, 0L}) {
    setOffset(offset);
    scenario.run(R"(
      c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
      s2 expect query id=1
      s2 send row v
      c1 expect row v
    )");
  }
}

TEST_F(WallClock, ReplicasServeWhenItStartsAnHourBehind) {
  setOffset(-kHourMs);
  Scenario scenario(setting());
  scenario.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
  )");
}

TEST_F(WallClock, ReplicasServeWhenItStartsAnHourAhead) {
  setOffset(kHourMs);
  Scenario scenario(setting());
  scenario.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
  )");
}

}  // namespace
}  // namespace stonebay::test
