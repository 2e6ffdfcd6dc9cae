// A keyed write is sent again after the time for which its group drops repeats.
#include "standins.hpp"

using namespace review;

int main(int, char** argv) {
  Record::get().open(argv[1]);
  constexpr double kWindowMs = 3000;  // memorySpanUs of ticket-write
  constexpr double kSlackMs = 50;     // every time limit is 50 ms longer

  DataServer primary("s-1", 2);
  DataServer replica("s-2", 2);
  primary.primary = true;
  const std::string victim = newId();
  primary.onStatement = [&](DataServer&, const Arrival& arrival) {
    Reaction reaction;
    reaction.afterMs = arrival.isWrite ? 20 : 5;
    // The data server hangs in the middle of this one's work; only the first time it arrives.
    static std::atomic<bool> hung{false};
    if (withTrouble() && arrival.id == victim && !hung.exchange(true)) reaction.kind = Reaction::Kind::Hold;
    return reaction;
  };
  Registry discovery;
  discovery.set(primary, "active");
  discovery.set(replica, "active");
  Proxy proxy(Deployment(), "n1", discovery.port(), discovery.list());

  std::atomic<bool> quiet{false};
  std::thread others([&] {  // light traffic of other clients
    Client client(proxy.port());
    while (!quiet) {
      client.query(writeOf(newId(), newId(), newId(), 5000, 2), 6000);
      sleepMs(100);
    }
  });
  sleepMs(2000);
  Client client(proxy.port());
  const double sentAt = unixMs();
  client.sendQuery(writeOf(victim, "7f3a9c21e0b4d655", "5c0f6e1a2b3d4c59", 5000, 2));
  if (withTrouble()) {
    sleepUntil(sentAt + kWindowMs - 400);
    quiet = true;
    others.join();
    sleepUntil(sentAt + kWindowMs - 80);
    // Idle connections are closed early, and new ones come up late, within the dial timeout of 250 ms.
    primary.connectDelayMs = 210;
    primary.closeIdle();
    Record::get().line("s-1 closes its idle connections; new ones come up after 210 ms");
    sleepUntil(sentAt + kWindowMs - 50);
    primary.resetHolding(victim);
  }
  client.readAnswer(6000);
  if (!quiet) {
    quiet = true;
    others.join();
  }
  sleepMs(200);

  double first = 0;
  bool broken = false;
  std::string what = "no attempt began after the window of 3000 ms";
  for (const Arrival& arrival : primary.arrivals()) {
    if (arrival.id != victim) continue;
    if (first == 0) {
      first = arrival.at;
      continue;
    }
    char text[160];
    snprintf(text, sizeof text,
             "attempt %.1f ms after the first one, at the same data server; window %.0f + %.0f ms",
             arrival.at - first, kWindowMs, kSlackMs);
    what = text;
    broken = broken || arrival.at - first > kWindowMs + kSlackMs;
  }
  if (first == 0) cannotRun("the write never arrived");
  return verdict(broken, what);
}
