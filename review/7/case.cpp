// Discovery pushes its lists (settings `discovery` = `automatic`); the data servers are replaced in steps.
#include "../rig-2/rig.hpp"

using namespace rig;

namespace {

constexpr int kDrainGraceMs = 250 + 50;  // obligations.drainGraceUs and the 50 ms of the page
constexpr int kStepMs = 4000;            // between the changes
constexpr int kEndAfterMs = 3000;        // a leaving data server ends so long after it was told to leave
constexpr int kServers = 3;

}  // namespace

int main(int argc, char** argv) {
  Case c(argc, argv);
  GroupLog log;
  std::mutex mutex;
  std::map<std::string, std::int64_t> leavingSince;
  std::atomic<int> late{0};
  const auto onStatement = [&](Member& member, int, const std::string& sql) {
    const std::lock_guard<std::mutex> lock(mutex);
    const auto it = leavingSince.find(member.name());
    const std::int64_t after = it == leavingSince.end() ? 0 : nowMs() - it->second;
    if (after > kDrainGraceMs) ++late;
    c.record.line("%s gets %s%s", member.name().c_str(), commentOf(sql)["id"].c_str(),
                  after > kDrainGraceMs ? " LATE" : "");
    return 0;
  };
  std::vector<std::unique_ptr<Member>> members;
  const auto addMember = [&](const std::string& name, bool primary) {
    members.push_back(std::make_unique<Member>(c.record, name, 1, log, primary, onStatement));
    return members.back()->entry();
  };
  std::vector<Entry> entries;
  for (int i = 0; i < kServers; ++i) entries.push_back(addMember("s-old" + std::to_string(i), i == 0));
  Registry registry(c.record, entries);
  ProxySettings settings;
  settings.discovery = "automatic";
  ClassOf read;
  read.name = "parts-lookup";
  ClassOf write;
  write.name = "ticket-write";
  write.consistency = "write";
  write.effect = "keyed";
  write.group = "cell";
  write.promiseMs = 1000;
  write.deadlineMs = 5000;
  settings.classes = {read, write};
  Proxy proxy(c.temporary, settings);
  proxy.writeConfig(registry.port(), listJson(registry.generation(), true, registry.entries()));
  proxy.start(registry.port());
  if (!proxy.waitUntilReady()) return c.cannotRun("the proxy is not ready");

  std::atomic<bool> stop{false};
  std::atomic<bool> replaced{false};
  std::atomic<int> served{0};
  std::atomic<int> servedAfter{0};
  std::atomic<int> deniedAfter{0};
  std::vector<std::thread> clients;
  for (int k = 0; k < 4; ++k) {
    clients.emplace_back([&, k] {
      for (int count = 0; !stop;) {
        Client client(proxy.port());
        bool usable = client.startUp();
        if (!usable) sleepMs(50);
        while (usable && !stop) {
          const std::string id = "c" + std::to_string(k) + "-" + std::to_string(++count);
          const bool isWrite = count % 10 == 0;
          const bool after = replaced;
          const Answer answer =
              isWrite
                  ? client.query(
                        "INSERT INTO rows (handle, blob) VALUES ('a', '\\x9f') RETURNING blob /* id=" + id +
                            ",c=ticket-write,d=5000,k=" + id + ",cluster=1 */",
                        6000)
                  : client.query("SELECT blob FROM rows WHERE handle = 'a' /* id=" + id +
                                     ",c=parts-lookup,d=1500,cluster=1 */",
                                 3000);
          const bool isServed = answer.kind == Answer::Kind::Served;
          if (isServed) ++served;
          if (after) ++(isServed ? servedAfter : deniedAfter);
          c.record.line("client %d: %s is %s%s", k, id.c_str(), answer.name(),
                        after ? " (all data servers replaced)" : "");
          usable = answer.kind != Answer::Kind::None;
          sleepMs(40);
        }
      }
    });
  }
  sleepMs(2000);
  for (int i = 0; i < kServers; ++i) {
    if (!c.trouble) break;
    registry.set(addMember("s-new" + std::to_string(i), false));
    sleepMs(500);
    Member& leaving = *members[static_cast<std::size_t>(i)];
    registry.set(leaving.entry("leaving"));
    {
      const std::lock_guard<std::mutex> lock(mutex);
      leavingSince[leaving.name()] = nowMs();
    }
    if (leaving.primary()) {  // a planned hand-over; the site says 0.62 to 0.98 s
      sleepMs(700);
      leaving.setPrimary(false);
      members[kServers]->setPrimary(true);
      c.record.line("%s is the primary now", members[kServers]->name().c_str());
    }
    sleepMs(kEndAfterMs);
    leaving.server().stop();
    registry.set(leaving.entry("left"));
    sleepMs(kStepMs - kEndAfterMs);
  }
  replaced = c.trouble;
  sleepMs(5000);
  stop = true;
  for (std::thread& client : clients) client.join();
  return c.verdict(late > 0, std::to_string(late) +
                                 " sends to leaving data servers later than 300 ms after they were told; " +
                                 std::to_string(registry.watches()) + " watches were opened; " +
                                 std::to_string(served) + " served; with all data servers replaced " +
                                 std::to_string(servedAfter) + " served and " + std::to_string(deniedAfter) +
                                 " not");
}
