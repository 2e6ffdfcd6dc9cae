// Bad clients that send hundreds of commands at once keep the proxy from accepting; others get no answer.
#include <random>

#include "standins.hpp"

using namespace review;

namespace {

constexpr int kCommandsAtOnce = 300;

// Sends hundreds of commands at once, of a class that doesn't exist, and reads the errors.
void behaveBadly(int port, const std::atomic<bool>& stop) {
  std::string commands;
  for (int k = 0; k < kCommandsAtOnce; ++k)
    commands += message('Q', zeroTerminated(readOf("no-such-class", newId(), newId(), 500, 2)));
  while (!stop) {
    Client client(port, true);
    sendAll(client.fd(), commands);
    while (!stop) {
      pollfd poller{client.fd(), POLLIN, 0};
      char bytes[4096];
      if (poll(&poller, 1, 10) > 0 && recv(client.fd(), bytes, sizeof bytes, 0) <= 0) break;
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  Record::get().open(argv[1]);
  const int badClients = argc > 2 ? atoi(argv[2]) : 110;
  constexpr double kRate = 200;

  DataServer primary("s-1", 2);
  DataServer replica("s-2", 2);
  DataServer another("s-3", 2);
  primary.primary = true;
  Registry discovery;
  for (DataServer* server : {&primary, &replica, &another}) discovery.set(*server, "active");
  Deployment deployment;
  deployment.sockets = argc > 3 ? atoi(argv[3]) : 256;
  Proxy proxy(deployment, "n1", discovery.port(), discovery.list());

  std::atomic<bool> stop{false};
  std::vector<std::thread> bad;
  std::vector<std::thread> threads;
  std::mutex mutex;
  std::vector<std::unique_ptr<Client>> idle;
  std::map<std::string, int> counts;
  int lost = 0;
  std::mt19937 random(7);
  const double start = unixMs();
  bool begun = false;
  for (double at = start; at < start + 10000; at += std::exponential_distribution<>(kRate / 1000)(random)) {
    sleepUntil(at);
    if (withTrouble() && !begun && at > start + 3000) {
      begun = true;
      Record::get().line("%d bad clients come", badClients);
      for (int k = 0; k < badClients; ++k)
        bad.emplace_back([&proxy, &stop] { behaveBadly(proxy.port(), stop); });
    }
    threads.emplace_back([&] {
      const std::string id = newId();
      const std::string statement = readOf("parts-lookup", id, newId(), 1200, 2);
      Answer answer;
      std::unique_ptr<Client> client;
      const double sentAt = unixMs();
      for (int k = 0; k < 2; ++k) {  // once more on a new connection, if a resting one was closed under it
        client.reset();
        if (k == 0) {
          const std::lock_guard<std::mutex> lock(mutex);
          while (!idle.empty() && !client) {
            client = std::move(idle.back());
            idle.pop_back();
            pollfd poller{client->fd(), POLLIN, 0};
            if (poll(&poller, 1, 0) != 0) client.reset();
          }
        }
        const bool isNew = !client;
        if (isNew) client = std::make_unique<Client>(proxy.port(), true);
        client->sendQuery(statement);
        answer = client->readAnswer(sentAt + 1200 + 550 - unixMs());
        if (isNew || answer.kind != Answer::Kind::Closed) break;
      }
      const std::lock_guard<std::mutex> lock(mutex);
      const bool isLost = answer.kind == Answer::Kind::None;
      if (isLost) ++lost;
      ++counts[isLost ? "lost" : answer.name()];
      if (!isLost && client->connected()) idle.push_back(std::move(client));
    });
  }
  for (std::thread& thread : threads) thread.join();
  stop = true;
  proxy.kill();
  for (std::thread& thread : bad) thread.join();
  std::string text;
  for (const auto& [name, count] : counts) text += name + " " + std::to_string(count) + ", ";
  return verdict(lost > 0,
                 text + std::to_string(lost) + " requests without an answer half a second after their time");
}
