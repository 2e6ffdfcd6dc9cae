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

  ClientSystem clients(proxy.port(), deployment.sockets / 3);
  std::atomic<bool> stop{false};
  std::vector<std::thread> bad;
  std::vector<std::thread> threads;
  std::vector<std::unique_ptr<std::vector<Request>>> requests;
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
    Request request;
    request.requestClass = "parts-lookup";
    request.deadlineMs = 1200;
    request.cluster = 2;
    requests.push_back(std::make_unique<std::vector<Request>>());
    threads.emplace_back(
        [&clients, request, tries = requests.back().get()] { clients.run(request, 0, *tries); });
  }
  for (std::thread& thread : threads) thread.join();
  stop = true;
  proxy.kill();
  for (std::thread& thread : bad) thread.join();
  Outcomes outcomes;
  for (const auto& tries : requests)
    for (const Request& request : *tries) outcomes.add(request);
  return verdict(outcomes.lost > 0, outcomes.text() + "; at most " + std::to_string(clients.mostOpen()) +
                                        " connections of usual clients");
}
