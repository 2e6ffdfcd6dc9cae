// A large fleet: the watch falls silent, a data server begins to drain, and the next two calls to discovery
// fail.
#include "../rig-2/rig.hpp"

using namespace rig;

namespace {

constexpr int kProxies = 300;       // in the settings; one of them runs
constexpr int kToldAfterMs = 6000;  // after the watch fell silent, whether or not the change arrived
constexpr int kDrainGraceMs = 250 + 50;
constexpr int kEndAfterToldMs = 1000;  // the data server ends so long after every proxy counts as told
constexpr int kWorkMs = 60;

}  // namespace

int main(int argc, char** argv) {
  Case c(argc, argv);
  GroupLog log;
  std::atomic<std::int64_t> toldAt{0};
  std::atomic<int> late{0};
  std::atomic<std::int64_t> latest{0};
  const auto onStatement = [&](Member& member, int, const std::string& sql) {
    const std::int64_t told = toldAt;
    const std::int64_t after = told > 0 && member.name() == "s-1" ? nowMs() - told : 0;
    if (after > kDrainGraceMs) {
      ++late;
      latest = std::max(latest.load(), after);
    }
    c.record.line("%s gets %s%s", member.name().c_str(), commentOf(sql)["id"].c_str(),
                  after > kDrainGraceMs ? " LATE" : "");
    return 0;
  };
  std::vector<std::unique_ptr<Member>> members;
  std::vector<Entry> entries;
  for (int i = 0; i < 3; ++i) {
    members.push_back(
        std::make_unique<Member>(c.record, "s-" + std::to_string(i), 1, log, i == 0, onStatement));
    members.back()->setWorkMs(kWorkMs);
    entries.push_back(members.back()->entry());
  }
  Registry registry(c.record, entries);
  ProxySettings settings;
  settings.proxies = kProxies;
  ClassOf read;
  read.name = "parts-lookup";
  read.effect = "unsafe";
  settings.classes = {read};
  Proxy proxy(c.temporary, settings);
  proxy.writeConfig(registry.port(), listJson(registry.generation(), true, entries));
  proxy.start(registry.port());
  if (!proxy.waitUntilReady()) return c.cannotRun("the proxy is not ready");
  for (int i = 0; i < 100 && registry.watches() == 0; ++i) sleepMs(50);
  if (registry.watches() == 0) return c.cannotRun("no watch was opened");

  std::atomic<bool> stop{false};
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> clients;
  for (int k = 0; k < 6; ++k) {
    clients.emplace_back([&, k] {
      Client client(proxy.port());
      client.startUp();
      for (int count = 0; !stop; ++count) {
        const std::string id = "c" + std::to_string(k) + "-" + std::to_string(count);
        const Answer answer = client.query(
            "SELECT blob FROM rows WHERE handle = 'a' /* id=" + id + ",c=parts-lookup,d=1500,cluster=1 */",
            3000);
        c.record.line("client %d: %s is %s", k, id.c_str(), answer.name());
        if (answer.kind == Answer::Kind::Served) ++served;
        if (answer.kind == Answer::Kind::Failed) ++failed;
        sleepMs(30);
      }
    });
  }
  sleepMs(1000);
  const std::int64_t line = registry.lastLineAt();
  while (registry.lastLineAt() == line) sleepMs(5);  // until the next empty line has been written
  const std::int64_t silentAt = nowMs();
  if (c.trouble) {
    registry.silenceOpenWatches();
    registry.failNextCalls(2);
    c.record.line("the watch is silent from now on");
  }
  sleepMs(500);
  registry.set(members[1]->entry("leaving"));
  if (c.trouble) sleepMs(silentAt + kToldAfterMs - nowMs());
  toldAt = nowMs();
  c.record.line("the proxy counts as told");
  sleepMs(kEndAfterToldMs);
  members[1]->server().stop();
  c.record.line("s-1 has ended");
  sleepMs(5000);
  stop = true;
  for (std::thread& client : clients) client.join();
  return c.verdict(late > 0, std::to_string(late) + " sends later than 300 ms after told, the last " +
                                 std::to_string(latest) + " ms; " + std::to_string(served) + " served, " +
                                 std::to_string(failed) + " failed");
}
