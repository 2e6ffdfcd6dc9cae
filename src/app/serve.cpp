#include "app/serve.hpp"

#include <exception>

#include "app/discovery_source.hpp"
#include "app/signals.hpp"
#include "app/statistics_log.hpp"
#include "discovery/endpoint_feed.hpp"
#include "dispatch/dispatcher.hpp"
#include "downstream/pg/client_listener.hpp"
#include "gossip/gossip_socket.hpp"
#include "log/log.hpp"
#include "upstream/pg/connection_pool.hpp"
#include "util/event_loop.hpp"

namespace stonebay {
namespace {

// Applies the discovery settings of the reloaded configuration; all other settings require a restart. If the
// file has errors, nothing changes. Reading it blocks the event loop, which is acceptable for a small local
// file.
void reloadDiscovery(DiscoverySource& source, const std::function<Config()>& reloadConfig) {
  try {
    source.reconfigure(reloadConfig());
    logEvent(LogLevel::Info, "settings_read_again");
  } catch (const std::exception& e) {
    logEvent(LogLevel::Error, "settings_unchanged", {{"why", e.what()}});
  }
}

}  // namespace

int serve(const Config& config, const std::function<Config()>& reloadConfig) {
  configureLog(config.logFormat, config.logLevel);
  const EventBase base = newEventBase();
  Dispatcher dispatcher(base.get(), config);
  ConnectionPool upstream(base.get(), dispatcher, config);
  EndpointFeed feed(base.get(), dispatcher.clock(), dispatcher, trackerPolicy(config));
  if (config.discoveryType == DiscoveryType::Registry)
    feed.assumePublished(config.initialEndpoints.instances);
  const std::unique_ptr<DiscoverySource> source =
      openDiscoverySource(base.get(), dispatcher.clock(), feed, config);
  ClientListener clients(base.get(), dispatcher, config);
  GossipSocket gossip(base.get(), dispatcher, config);
  const StatisticsLog statistics(base.get(), dispatcher, upstream, clients);

  bool running = true;
  const auto shutDown = [&] {
    logEvent(LogLevel::Info, "drain_started");
    clients.drain([&running, &base] {
      running = false;
      event_base_loopbreak(base.get());
    });
  };
  const auto reload = [&] { reloadDiscovery(*source, reloadConfig); };
  const SignalHandlers signals(base.get(), shutDown, reload);

  dispatcher.start(upstream, *source, &gossip);
  logEvent(LogLevel::Info, "listening", {{"name", config.name}, {"port", clients.port()}});
  while (running) {
    event_base_loop(base.get(), EVLOOP_ONCE | (dispatcher.hasPendingEvents() ? EVLOOP_NONBLOCK : 0));
    dispatcher.processEvents();
  }
  return 0;
}

}  // namespace stonebay
