// A data server sends a second copy right behind some answers, in a segment of its own.
#include <random>

#include "../rig-2/rig.hpp"

using namespace rig;

namespace {

constexpr int kClients = 12;
constexpr int kMeanPauseMs = 40;  // about 300 requests a second together
constexpr int kCopyEvery = 10;    // one answer in ten has a second copy behind it
constexpr int kGapUs = 200;       // between the answer and its copy, as between two segments
constexpr int kNetworkUs = 200;   // each way between the proxy and a data server
constexpr int kSeconds = 30;

bool nothingWaits(int fd) {
  pollfd poller{fd, POLLIN, 0};
  return poll(&poller, 1, 0) == 0;
}

}  // namespace

int main(int argc, char** argv) {
  Case c(argc, argv);
  GroupLog log;
  std::atomic<int> answers{0};
  std::atomic<int> copies{0};
  const auto onStatement = [&](Member& member, int fd, const std::string& sql) {
    sleepMs(3);
    const std::string id = commentOf(sql)["id"];
    const bool isWrite = sql.compare(0, 6, "INSERT") == 0;
    if (isWrite && !member.primary())
      return sendAll(fd, error("25006", "not the primary") + member.self() + ready()) ? 1 : -1;
    const std::string tag = isWrite ? "INSERT 0 1" : "SELECT 1";
    const std::string answer =
        row("blob", "made for " + id, tag) + member.self(isWrite ? nowMs() + 1 : 0) + ready();
    c.record.line("%s runs %s", member.name().c_str(), id.c_str());
    if (!sendAll(fd, answer)) return -1;
    if (!c.trouble || ++answers % kCopyEvery != 0) return 1;
    std::this_thread::sleep_for(std::chrono::microseconds(kGapUs));
    if (!nothingWaits(fd)) return 1;  // the page allows a copy only then
    ++copies;
    c.record.line("%s sends a second copy of the answer to %s", member.name().c_str(), id.c_str());
    return sendAll(fd, answer) ? 1 : -1;
  };
  std::vector<std::unique_ptr<Member>> members;
  std::vector<std::unique_ptr<Relay>> network;
  std::vector<Entry> entries;
  for (int i = 0; i < 3; ++i) {
    members.push_back(
        std::make_unique<Member>(c.record, "s-" + std::to_string(i), 1, log, i == 0, onStatement));
    network.push_back(std::make_unique<Relay>(members.back()->server().port(), kNetworkUs));
    entries.push_back(members.back()->entry());
    entries.back().port = network.back()->port();
  }
  Registry registry(c.record, entries);
  ProxySettings settings;
  ClassOf read;
  read.name = "parts-lookup";
  read.deadlineMs = 1200;
  ClassOf fresh;
  fresh.name = "gate-check";
  fresh.consistency = "fresh";
  fresh.deadlineMs = 3000;
  fresh.promiseMs = 800;
  ClassOf write;
  write.name = "ticket-write";
  write.consistency = "write";
  write.effect = "keyed";
  write.group = "cell";
  write.promiseMs = 1000;
  write.deadlineMs = 5000;
  settings.classes = {read, fresh, write};
  Proxy proxy(c.temporary, settings);
  proxy.writeConfig(registry.port(), listJson(41, true, entries));
  proxy.start(registry.port());
  if (!proxy.waitUntilReady()) return c.cannotRun("the proxy is not ready");

  std::atomic<int> served{0};
  std::atomic<int> foreignReads{0};
  std::atomic<int> foreignWrites{0};
  const std::int64_t until = nowMs() + kSeconds * 1000;
  std::vector<std::thread> clients;
  for (int k = 0; k < kClients; ++k) {
    clients.emplace_back([&, k] {
      std::mt19937 random(static_cast<unsigned>(k));
      std::exponential_distribution<double> pause(1.0 / kMeanPauseMs);
      int count = 0;
      while (nowMs() < until) {
        Client client(proxy.port());
        bool usable = client.startUp();
        if (!usable) sleepMs(20);
        while (usable && nowMs() < until) {
          std::this_thread::sleep_for(std::chrono::microseconds(static_cast<int>(pause(random) * 1000)));
          const bool isWrite = ++count % 6 == 0;
          const bool isFresh = count % 6 == 2 || count % 6 == 4;
          const std::string id = "c" + std::to_string(k) + "-" + std::to_string(count);
          const std::string key = "'handle" + std::to_string(k) + "'";
          const Answer answer =
              isWrite ? client.query("INSERT INTO rows (handle, blob) VALUES (" + key +
                                         ", '\\x9f') RETURNING blob /* id=" + id +
                                         ",c=ticket-write,d=5000,k=" + id + ",cluster=1 */",
                                     6000)
                      : client.query("SELECT blob FROM rows WHERE handle = " + key + " /* id=" + id +
                                         (isFresh ? ",c=gate-check,d=3000" : ",c=parts-lookup,d=1200") +
                                         ",cluster=1 */",
                                     4500);
          usable = answer.kind != Answer::Kind::None;
          const bool isServed = answer.kind == Answer::Kind::Served;
          if (isServed) ++served;
          const bool isForeign = isServed && answer.value != "made for " + id;
          if (isForeign) ++(isWrite ? foreignWrites : foreignReads);
          c.record.line("client %d: %s is %s %s%s", k, id.c_str(), answer.name(), answer.value.c_str(),
                        isForeign ? " FOREIGN" : "");
        }
      }
    });
  }
  for (std::thread& client : clients) client.join();
  const int foreign = foreignReads + foreignWrites;
  return c.verdict(foreign > 0, std::to_string(served) + " served, " + std::to_string(copies) +
                                    " second copies, foreign values to " + std::to_string(foreignReads) +
                                    " reads and " + std::to_string(foreignWrites) + " writes");
}
