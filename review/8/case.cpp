// A large keyed write is reset late, and its primary hangs for a moment when the retry is sent.
#include "../rig-2/rig.hpp"

using namespace rig;

namespace {

constexpr int kWindowMs = 3000;      // classes[].memorySpanUs
constexpr int kSlackMs = 50;         // "every time limit is 50 ms longer"
constexpr int kResetAfterMs = 2900;  // the connection is reset so long after the statement arrived
constexpr int kHangBeforeMs = 10;    // the hang begins so long before that
constexpr int kHangMs = 600;
constexpr int kValueBytes = 64 << 10;

}  // namespace

int main(int argc, char** argv) {
  Case c(argc, argv);
  GroupLog log;
  std::mutex mutex;
  std::vector<std::int64_t> arrivals;         // of the write's last byte at the primary
  std::map<std::string, std::int64_t> known;  // the keys that the cluster remembers, and since when
  std::atomic<int> runs{0};
  const auto onStatement = [&](Member& member, int fd, const std::string& sql) {
    const auto fields = commentOf(sql);
    if (sql.compare(0, 6, "INSERT") != 0) return 0;
    if (!member.primary()) return 0;
    const std::int64_t arrivedAt = nowMs();
    bool isFirst = false;
    bool isKnown = false;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      arrivals.push_back(arrivedAt);
      isFirst = arrivals.size() == 1;
      const auto it = known.find(fields.at("k"));
      isKnown = it != known.end() && arrivedAt - it->second <= kWindowMs;
      if (!isKnown) known[fields.at("k")] = arrivedAt;
    }
    if (!isKnown) ++runs;
    c.record.line("%s has the last byte of id=%s k=%s: %s", member.name().c_str(), fields.at("id").c_str(),
                  fields.at("k").c_str(), isKnown ? "a repeat, dropped" : "RUN");
    if (c.trouble && isFirst) {
      sleepMs(kResetAfterMs - kHangBeforeMs);
      member.server().hang(true);
      c.record.line("%s hangs: it reads and answers nothing", member.name().c_str());
      sleepMs(kHangBeforeMs);
      const linger reset{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      c.record.line("the connection of the write is reset");
      return -1;
    }
    return 0;
  };
  std::vector<std::unique_ptr<Member>> members;
  std::vector<Entry> entries;
  for (int i = 0; i < 3; ++i) {
    members.push_back(
        std::make_unique<Member>(c.record, "s-" + std::to_string(i), 1, log, i == 0, onStatement));
    entries.push_back(members.back()->entry());
  }
  Registry registry(c.record, entries);
  ProxySettings settings;
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
  write.memorySpanMs = kWindowMs;
  write.worth = 6;
  settings.classes = {fresh, write};
  Proxy proxy(c.temporary, settings);
  proxy.writeConfig(registry.port(), listJson(registry.generation(), true, entries));
  proxy.start(registry.port());
  if (!proxy.waitUntilReady()) return c.cannotRun("the proxy is not ready");

  std::atomic<bool> stop{false};
  std::atomic<int> servedReads{0};
  std::vector<std::thread> readers;  // other clients, so that the proxy hears of the primary all the time
  for (int k = 0; k < 3; ++k) {
    readers.emplace_back([&, k] {
      Client client(proxy.port());
      client.startUp();
      for (int count = 0; !stop; ++count) {
        const std::string id = "r" + std::to_string(k) + "-" + std::to_string(count);
        const Answer answer = client.query(
            "SELECT blob FROM rows WHERE handle = 'b' /* id=" + id + ",c=gate-check,d=3000,cluster=1 */",
            4000);
        if (answer.kind == Answer::Kind::Served) ++servedReads;
        sleepMs(25);
      }
    });
  }
  sleepMs(1500);
  std::thread end([&] {
    if (!c.trouble) return;
    sleepMs(kResetAfterMs + kHangMs);
    c.record.line("%d bytes of the retry have arrived and wait unread", members[0]->server().unread());
    members[0]->server().hang(false);
    c.record.line("%s goes on", members[0]->name().c_str());
  });
  Client client(proxy.port());
  client.startUp();
  const std::string hex(static_cast<std::size_t>(kValueBytes) * 2, 'a');
  c.record.line("client: sends the write, a value of 64 KiB");
  const Answer answer = client.query("INSERT INTO rows (handle, blob) VALUES ('a', '\\x" + hex +
                                         "') RETURNING blob /* id=w1,c=ticket-write,d=5000,k=k1,cluster=1 */",
                                     6000);
  c.record.line("client: the write is %s %s", answer.name(), answer.code.c_str());
  end.join();
  sleepMs(1500);
  stop = true;
  for (std::thread& reader : readers) reader.join();
  std::int64_t latest = 0;
  for (const std::int64_t at : arrivals) latest = std::max(latest, at - arrivals.front());
  const bool broken = arrivals.size() > 1 && latest > kWindowMs + kSlackMs;
  return c.verdict(broken, std::to_string(arrivals.size()) + " attempts of the write, the last " +
                               std::to_string(latest) + " ms after the first; it ran " +
                               std::to_string(runs) + " times; " + std::to_string(servedReads) +
                               " reads served; the client was told: " + answer.name());
}
