// A proxy that discovers its endpoints through DNS-SD. scenario.hpp explains the script language.
#include "scenario.hpp"

namespace stonebay::test {
namespace {

Setting dnsSdSetting(int servers = 2) {
  Setting setting;
  setting.dnssd = true;
  setting.servers = servers;
  return setting;
}
TEST(DnsSdProxy, FinishesRequestsAtAnEndpointWhoseRecordIsWithdrawn) {
  Scenario scenario(dnsSdSetting(2));
  scenario.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    dns withdraw s2
    proxy expect log event=member name=s-2 state=left
    c2 send query SELECT 2 /* id=2,c=read,d=7000,cluster=3 */
    s1 expect query id=2
    s1 send row other
    c2 expect row other
    s2 send row late
    c1 expect row late
    c2 send query SELECT 3 /* id=3,c=read,d=7000,cluster=3 */
    s1 expect query id=3
    s1 send row again
    c2 expect row again
  )");
}
// The record is withdrawn while an attempt waits for its connection. The attempt must not be sent on it.
TEST(DnsSdProxy, SendsNothingOnAConnectionReadyAfterTheWithdrawal) {
  Scenario scenario(dnsSdSetting(2));
  scenario.run(R"(
    s1 wait idle 2
    s2 wait idle 2
    s2 wait silent
    s2 close idle
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    dns withdraw s2
    proxy expect log event=member name=s-2 state=left
    s2 wait speak
    s1 expect query id=1
    s1 send row primary
    c1 expect row primary
  )");
}
TEST(DnsSdProxy, KeepsItsListWhileNameServersFail) {
  Scenario scenario(dnsSdSetting());
  scenario.run(R"(
    dns behavior silent
    proxy expect log event=discovery_failed
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
    dns behavior servfail
    dns withdraw s2
    dns behavior good
    proxy expect log event=member name=s-2 state=left
  )");
}
TEST(DnsSdProxy, ExcludesAnInstanceWithAnInvalidRecord) {
  Scenario scenario(dnsSdSetting(3));
  scenario.run(R"(
    dns publish s3 group=nowhere
    proxy expect log event=instance_left_out name=s-3
    proxy expect log event=member name=s-3 state=left
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
  )");
}
TEST(DnsSdProxy, SighupMovesToAnotherDomain) {
  Scenario scenario(dnsSdSetting(3));
  scenario.run(R"(
    dns move seeb.example.org
    dns publish s1
    dns publish s3
    proxy expect log event=settings_read_again
    proxy expect log event=member name=s-2 state=left
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s3 expect query id=1
    s3 send row v
    c1 expect row v
    proxy send TERM
    proxy expect exit 0
  )");
}

}  // namespace
}  // namespace stonebay::test
