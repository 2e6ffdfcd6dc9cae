#include "app/statistics_log.hpp"

#include <chrono>

#include "log/log.hpp"

namespace stonebay {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

StatisticsLog::StatisticsLog(event_base* base, Dispatcher& dispatcher, const ConnectionPool& upstream,
                             ClientListener& clients)
    : dispatcher_(dispatcher),
      upstream_(upstream),
      clients_(clients),
      timer_(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<StatisticsLog*>(self)->write(); }, this)) {
  startTimer(timer_.get(), kLogInterval);
}

StatisticsLog::~StatisticsLog() { write(); }

void StatisticsLog::write() {
  const LoopStatistics loop = dispatcher_.takeLoopStatistics();
  const ClientStatistics clients = clients_.takeStatistics();
  logEvent(LogLevel::Info, "statistics",
           {{"passes", loop.passes},
            {"stalls", loop.stalls},
            {"interrupted_passes", loop.interrupted},
            {"longest_pass_us", loop.longestPass.count()},
            {"longest_event_queue", loop.longestEventQueue},
            {"list_entries", loop.listEntries},
            {"endpoints", dispatcher_.endpointCount()},
            {"requests_in_flight", dispatcher_.requestsInFlight()},
            {"client_connections", clients_.sessionCount()},
            {"clients_evicted", clients.evicted},
            {"clients_refused", clients.refused},
            {"server_connections", upstream_.connectionCount()}});
}

}  // namespace stonebay
