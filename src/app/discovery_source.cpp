#include "app/discovery_source.hpp"

#include "discovery/registry/registry_watch.hpp"
#include "log/log.hpp"
#ifdef STONEBAY_DNSSD
#include "discovery/dnssd/dnssd_client.hpp"
#endif

namespace stonebay {
namespace {

// The kind of source is fixed while the program runs.
bool keepsSource(const Config& config, Source current) {
  if (config.source == current) return true;
  logEvent(LogLevel::Warning, "settings_need_restart", {{"key", "[discovery] source"}});
  return false;
}

class RegistrySource final : public DiscoverySource {
 public:
  RegistrySource(event_base* base, EndpointFeed& feed, const Config& config)
      : watch_(base, feed, config.discovery) {}
  void watch(std::uint64_t after) override { watch_.watch(after); }
  void reconfigure(const Config& config) override {
    if (keepsSource(config, Source::Registry)) watch_.setAddress(config.discovery);
  }

 private:
  RegistryWatch watch_;
};

// The endpoints of the configuration itself.
class FixedSource final : public DiscoverySource {
 public:
  void watch(std::uint64_t /*after*/) override {}
  void reconfigure(const Config& config) override { keepsSource(config, Source::Fixed); }
};

#ifdef STONEBAY_DNSSD
class DnsSdSource final : public DiscoverySource {
 public:
  DnsSdSource(event_base* base, const Clock& clock, EndpointFeed& feed, const Config& config)
      : feed_(feed), client_(base, clock, feed, config) {}
  void watch(std::uint64_t /*after*/) override {}  // the client queries on its own schedule
  void reconfigure(const Config& config) override {
    if (!keepsSource(config, Source::DnsSd)) return;
    feed_.setPolicy(trackerPolicy(config));
    client_.reconfigure(config);
  }
  std::map<std::string, std::string> faults() const override { return client_.faults(); }

 private:
  EndpointFeed& feed_;
  DnsSdClient client_;
};
#endif

}  // namespace

EndpointTrackerPolicy trackerPolicy(const Config& config) {
  EndpointTrackerPolicy policy;
  if (config.source != Source::DnsSd) {
    policy.damping.enabled = false;
    return policy;
  }
  const DnsSdSettings& settings = config.dnssd;
  policy.damping.suppressThreshold = settings.flapSuppress;
  policy.damping.reuseThreshold = settings.flapReuse;
  policy.damping.halfLife = settings.flapHalfLife;
  policy.damping.maxSuppression = settings.maxSuppression;
  policy.maxListAge = settings.maxListAge;
  return policy;
}

std::unique_ptr<DiscoverySource> openDiscoverySource(event_base* base, const Clock& clock, EndpointFeed& feed,
                                                     const Config& config) {
  switch (config.source) {
    case Source::Fixed:
      return std::make_unique<FixedSource>();
    case Source::DnsSd:
#ifdef STONEBAY_DNSSD
      return std::make_unique<DnsSdSource>(base, clock, feed, config);
#else
      (void)clock;
      throw InvalidInput(
          "key [discovery] source: this build has no DNS-SD; build it with -DSTONEBAY_DNSSD=ON");
#endif
    case Source::Registry:
      break;
  }
  return std::make_unique<RegistrySource>(base, feed, config);
}

}  // namespace stonebay
