// While some data servers hang, the proxy stops accepting; requests on the waiting connections get no answer.
#include <random>

#include "standins.hpp"

using namespace review;

int main(int argc, char** argv) {
  Record::get().open(argv[1]);
  const double rate = argc > 2 ? atof(argv[2]) : 320;  // requests per second
  const int hanging = argc > 3 ? atoi(argv[3]) : 5;
  const double kHangMs = argc > 5 ? atof(argv[5]) : 6000;

  std::vector<std::unique_ptr<DataServer>> servers;
  Registry discovery;
  for (int cell = 1; cell <= 2; ++cell)
    for (int member = 1; member <= 5; ++member) {
      servers.push_back(
          std::make_unique<DataServer>("s-" + std::to_string(cell) + std::to_string(member), cell));
      servers.back()->primary = member == 1;
      servers.back()->onStatement = [](DataServer&, const Arrival& arrival) {
        Reaction reaction;
        reaction.afterMs = arrival.isWrite ? 40 : 25;
        return reaction;
      };
      discovery.set(*servers.back(), "active");
    }
  Deployment deployment;
  deployment.memoryMb = argc > 4 ? atoi(argv[4]) : 32;
  deployment.sockets = 1024;
  Proxy proxy(deployment, "n1", discovery.port(), discovery.list());

  ClientSystem clients(proxy.port(), deployment.sockets / 3);
  std::vector<std::unique_ptr<std::vector<Request>>> requests;
  std::vector<std::thread> threads;
  std::mt19937 random(7);
  const double start = unixMs();
  const double end = start + 4000 + kHangMs + 1000;
  bool hung = false;
  bool back = false;
  for (double at = start; at < end; at += std::exponential_distribution<>(rate / 1000)(random)) {
    sleepUntil(at);
    if (withTrouble() && !hung && at > start + 4000) {
      hung = true;
      for (int i = 0; i < hanging; ++i) servers[static_cast<std::size_t>(i)]->silent = true;
      Record::get().line("%d of 10 data servers hang", hanging);
    }
    if (hung && !back && at > start + 4000 + kHangMs) {
      back = true;
      for (const auto& server : servers) server->silent = false;
      Record::get().line("they go on");
    }
    Request request;
    const double share = std::uniform_real_distribution<>(0, 1)(random);
    request.requestClass = share < 0.39   ? "queue-view"
                           : share < 0.73 ? "own-ticket"
                           : share < 0.92 ? "parts-lookup"
                                          : "ticket-write";
    const int deadline = share < 0.39 ? 1500 : share < 0.73 ? 600 : share < 0.92 ? 1200 : 5000;
    request.deadlineMs = static_cast<int>(deadline * std::uniform_real_distribution<>(0.42, 1)(random));
    request.cluster = std::uniform_int_distribution<>(1, 2)(random);
    requests.push_back(std::make_unique<std::vector<Request>>());
    threads.emplace_back(
        [&clients, request, tries = requests.back().get()] { clients.run(request, 3, *tries); });
  }
  for (std::thread& thread : threads) thread.join();

  Outcomes outcomes;
  for (const auto& tries : requests)
    for (const Request& request : *tries) outcomes.add(request);
  const std::string text = outcomes.text() + "; at most " + std::to_string(clients.mostOpen()) +
                           " client connections; " + std::to_string(outcomes.lostByGroup[2]) +
                           " of the lost ones were for the group in which no data server hangs";
  return verdict(outcomes.lost > 0, text);
}
