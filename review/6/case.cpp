// Bad clients send what can't be read, and the same thing again as soon as it is turned away.
#include <random>

#include "../rig-2/rig.hpp"

using namespace rig;

namespace {

constexpr int kBadClients = 400;  // one connection each at a time
constexpr int kUsualClients = 40;
constexpr int kMeanPauseMs = 150;  // about 250 requests a second together
constexpr int kDeadlineMs = 1200;
constexpr int kLostAfterMs =
    kDeadlineMs + 500 + 50;  // half a second after its time, and the 50 ms of the page
constexpr int kWaves = 38;
constexpr int kFloodMs = 2300;
constexpr int kPauseMs = 400;

constexpr int kCommands = 300;  // of each bad client, at once

// Queries whose length is negative.
std::string unreadable() {
  std::string bytes;
  for (int i = 0; i < kCommands; ++i) bytes += "Q" + int32(0xfffffff0U);
  return bytes;
}

}  // namespace

int main(int argc, char** argv) {
  Case c(argc, argv);
  GroupLog log;
  std::vector<std::unique_ptr<Member>> members;
  std::vector<Entry> entries;
  for (int i = 0; i < 5; ++i) {
    members.push_back(std::make_unique<Member>(c.record, "s-" + std::to_string(i), 1, log, i == 0));
    members.back()->setWorkMs(20);
    entries.push_back(members.back()->entry());
  }
  Registry registry(c.record, entries);
  ProxySettings settings;
  settings.sockets = 1024;
  settings.memoryMb = 128;
  ClassOf read;
  read.name = "parts-lookup";
  read.promiseMs = 400;
  read.deadlineMs = kDeadlineMs;
  settings.classes = {read};
  Proxy proxy(c.temporary, settings);
  proxy.writeConfig(registry.port(), listJson(registry.generation(), true, entries));
  proxy.start(registry.port());
  if (!proxy.waitUntilReady()) return c.cannotRun("the proxy is not ready");

  std::atomic<bool> stop{false};
  std::atomic<bool> flood{false};
  std::atomic<int> turnedAway{0};
  const std::string sent = Client::startupBytes() + unreadable();
  std::vector<std::thread> threads;
  for (int k = 0; c.trouble && k < kBadClients; ++k) {
    threads.emplace_back([&] {
      while (!stop) {
        if (!flood) {
          sleepMs(10);
          continue;
        }
        Client client(proxy.port());
        const bool sentAll = client.isOpen() && sendAll(client.fd(), sent);
        if (!sentAll) {
          sleepMs(1);
          continue;
        }
        char buffer[4096];
        const std::int64_t until = nowMs() + 3000;
        while (!stop && nowMs() < until) {
          pollfd poller{client.fd(), POLLIN, 0};
          if (poll(&poller, 1, 200) > 0 && recv(client.fd(), buffer, sizeof buffer, 0) <= 0) break;
        }
        ++turnedAway;
      }
    });
  }

  std::atomic<int> answers[4] = {};
  std::atomic<int> lost{0};
  std::atomic<int> closedUnread{0};
  std::atomic<int> ids{0};
  std::mutex mutex;
  std::int64_t lastAnswerAt = nowMs();
  std::int64_t longestSilence = 0;
  for (int k = 0; k < kUsualClients; ++k) {
    threads.emplace_back([&, k] {
      std::mt19937 random(static_cast<unsigned>(k));
      std::exponential_distribution<double> pause(1.0 / kMeanPauseMs);
      while (!stop) {
        Client client(proxy.port());
        if (!client.isOpen()) {
          sleepMs(20);
          continue;
        }
        bool isFirst = true;
        const int uses = 1 + static_cast<int>(random() % 6);
        for (int i = 0; i < uses && !stop; ++i) {
          const std::string id = "u" + std::to_string(ids++);
          const std::string query =
              message('Q', text("SELECT blob FROM rows WHERE handle = 'a' /* id=" + id +
                                ",c=parts-lookup,d=" + std::to_string(kDeadlineMs) + ",cluster=1 */"));
          const std::int64_t sentAt = nowMs();
          if (!sendAll(client.fd(), (isFirst ? Client::startupBytes() : "") + query)) {
            ++closedUnread;
            break;
          }
          Answer answer = client.readAnswer(kLostAfterMs);  // the greeting comes first
          if (isFirst && answer.kind == Answer::Kind::None)
            answer = client.readAnswer(std::max<std::int64_t>(sentAt + kLostAfterMs - nowMs(), 0));
          isFirst = false;
          ++answers[static_cast<int>(answer.kind)];
          if (answer.kind != Answer::Kind::None) {
            const std::lock_guard<std::mutex> lock(mutex);
            longestSilence = std::max(longestSilence, nowMs() - lastAnswerAt);
            lastAnswerAt = nowMs();
          }
          const bool isLost = answer.kind == Answer::Kind::None && nowMs() - sentAt >= kLostAfterMs;
          if (isLost) ++lost;
          c.record.line("usual client %d: %s is %s%s", k, id.c_str(), answer.name(), isLost ? ": LOST" : "");
          if (answer.kind == Answer::Kind::None) {
            if (!isLost) ++closedUnread;
            break;
          }
          std::this_thread::sleep_for(std::chrono::microseconds(static_cast<int>(pause(random) * 1000)));
        }
      }
    });
  }
  sleepMs(2000);
  int waves = 0;
  while (waves < kWaves && lost == 0) {
    ++waves;
    c.record.line(c.trouble ? "the bad clients come" : "no bad clients");
    flood = true;
    sleepMs(kFloodMs);
    flood = false;
    c.record.line("the bad clients have gone; turned away %d times so far", turnedAway.load());
    sleepMs(kPauseMs);
  }
  stop = true;
  for (std::thread& thread : threads) thread.join();
  return c.verdict(lost > 0,
                   std::to_string(lost) + " requests lost, " + std::to_string(answers[0]) + " served, " +
                       std::to_string(answers[1]) + " refused, " + std::to_string(answers[2]) + " failed, " +
                       std::to_string(closedUnread) + " closed unread; no usual client had an answer for " +
                       std::to_string(longestSilence) + " ms; bad clients were turned away " +
                       std::to_string(turnedAway) + " times in " + std::to_string(waves) + " waves");
}
