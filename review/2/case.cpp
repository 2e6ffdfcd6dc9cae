// While some data servers hang, the proxy stops accepting; requests on the waiting connections get no answer.
#include <random>

#include "standins.hpp"

using namespace review;

namespace {

struct Request {
  std::string requestClass;
  int deadlineMs = 0;
  int cluster = 0;
  double sentAt = 0;
  Answer answer;
  bool greeted = false;  // the proxy has sent something on its connection
};

// A client system: holds on to its connections, and opens more when every one is busy.
class ClientSystem {
 public:
  ClientSystem(int port, int maxConnections) : port_(port), maxConnections_(maxConnections) {}

  // Sends a request, and up to three times more with a new id if it is refused, within the time of its class.
  void run(const Request& first, std::vector<Request>& tries) {
    const double end = unixMs() + first.deadlineMs;
    double pauseMs = 50;
    for (int k = 0; k < 4; ++k, pauseMs *= 2) {
      Request request = first;
      request.deadlineMs = static_cast<int>(end - unixMs());
      if (request.deadlineMs < 100) return;
      runOnce(request);
      tries.push_back(request);
      if (request.answer.kind != Answer::Kind::Refused) return;
      sleepMs(pauseMs);
    }
  }
  int mostOpen() const { return mostOpen_; }

 private:
  // Sends a request and waits for its answer until half a second after its time. If a connection from the
  // pool was closed under it, sends it once more, on a new connection.
  void runOnce(Request& request) {
    std::unique_ptr<Client> client = takeIdle();
    const bool isPooled = client != nullptr;
    if (!isPooled && !(client = open())) return;  // the system's own limit
    const std::string id = newId();
    const bool isWrite = request.requestClass == "ticket-write";
    const std::string statement =
        isWrite ? writeOf(id, newId(), newId(), request.deadlineMs, request.cluster)
                : readOf(request.requestClass, id, newId(), request.deadlineMs, request.cluster);
    request.sentAt = unixMs();
    client->sendQuery(statement);
    request.answer = client->readAnswer(request.deadlineMs + 550);
    if (isPooled && request.answer.kind == Answer::Kind::Closed) {
      release(nullptr);
      request.answer = Answer();
      client = open();
      if (!client) {
        request.sentAt = 0;
        return;
      }
      client->sendQuery(statement);
      request.answer = client->readAnswer(request.sentAt + request.deadlineMs + 550 - unixMs());
    }
    request.greeted = client->greeted();
    release(client->connected() && request.answer.kind != Answer::Kind::None ? std::move(client) : nullptr);
  }
  std::unique_ptr<Client> takeIdle() {
    const std::lock_guard<std::mutex> lock(mutex_);
    while (!idle_.empty()) {
      std::unique_ptr<Client> client = std::move(idle_.back());
      idle_.pop_back();
      pollfd poller{client->fd(), POLLIN, 0};
      if (poll(&poller, 1, 0) == 0) return client;
      --open_;  // the proxy has closed it
    }
    return nullptr;
  }
  std::unique_ptr<Client> open() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (open_ >= maxConnections_) return nullptr;
      mostOpen_ = std::max(mostOpen_, ++open_);
    }
    return std::make_unique<Client>(port_, true);
  }
  // Puts a connection back into the pool, or counts it as closed.
  void release(std::unique_ptr<Client> client) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (client)
      idle_.push_back(std::move(client));
    else
      --open_;
  }

  const int port_;
  const int maxConnections_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Client>> idle_;
  int open_ = 0;
  int mostOpen_ = 0;
};

}  // namespace

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
        [&clients, request, tries = requests.back().get()] { clients.run(request, *tries); });
  }
  for (std::thread& thread : threads) thread.join();

  std::map<std::string, int> counts;
  int lost = 0;
  int lostOfHealthyGroup = 0;
  int notGreeted = 0;
  for (const auto& tries : requests)
    for (const Request& request : *tries) {
      if (request.sentAt == 0) {
        ++counts["not sent by the clients"];
        continue;
      }
      const bool isLate = request.answer.at > request.sentAt + request.deadlineMs + 500 + 50;
      const bool isLost = request.answer.kind == Answer::Kind::None || isLate;
      ++counts[isLost ? "lost" : request.answer.name()];
      if (!isLost) continue;
      ++lost;
      if (request.cluster == 2) ++lostOfHealthyGroup;
      if (!request.greeted) ++notGreeted;
    }
  std::string text;
  for (const auto& [name, count] : counts) text += name + " " + std::to_string(count) + ", ";
  text += "at most " + std::to_string(clients.mostOpen()) + " client connections; " + std::to_string(lost) +
          " requests without an answer half a second after their time: on " + std::to_string(notGreeted) +
          " of their connections the proxy sent no byte; " + std::to_string(lostOfHealthyGroup) +
          " were for the group in which no data server hangs";
  return verdict(lost > 0, text);
}
