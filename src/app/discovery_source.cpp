#include "app/discovery_source.hpp"

#include "discovery/registry/registry_watch.hpp"
#include "log/log.hpp"
#ifdef STONEBAY_DNSSD
#include "discovery/dnssd/dnssd_client.hpp"
#endif

namespace stonebay {
namespace {

// The type of discovery cannot change while the process runs. Logs a warning and returns false if the new
// configuration has another type.
bool checkTypeUnchanged(const Config& config, DiscoveryType current) {
  if (config.discoveryType == current) return true;
  logEvent(LogLevel::Warning, "settings_need_restart", {{"key", "[discovery] source"}});
  return false;
}

class RegistrySource final : public DiscoverySource {
 public:
  RegistrySource(event_base* base, EndpointFeed& feed, const Config& config)
      : watch_(base, feed, config.discovery) {}
  void watch(std::uint64_t after) override { watch_.watch(after); }
  std::chrono::microseconds sinceContact() const override { return watch_.sinceContact(); }
  void reconfigure(const Config& config) override {
    if (checkTypeUnchanged(config, DiscoveryType::Registry)) watch_.setAddress(config.discovery);
  }

 private:
  RegistryWatch watch_;
};

// A fixed endpoint list, which the configuration file contains.
class FixedSource final : public DiscoverySource {
 public:
  void watch(std::uint64_t /*after*/) override {}
  void reconfigure(const Config& config) override { checkTypeUnchanged(config, DiscoveryType::Fixed); }
};

#ifdef STONEBAY_DNSSD
class DnsSdSource final : public DiscoverySource {
 public:
  DnsSdSource(event_base* base, const Clock& clock, EndpointFeed& feed, const Config& config)
      : feed_(feed), client_(base, clock, feed, config) {}
  void watch(std::uint64_t /*after*/) override {}  // DnsSdClient schedules its queries itself
  void reconfigure(const Config& config) override {
    if (!checkTypeUnchanged(config, DiscoveryType::DnsSd)) return;
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
  if (config.discoveryType != DiscoveryType::DnsSd) {
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
  switch (config.discoveryType) {
    case DiscoveryType::Fixed:
      return std::make_unique<FixedSource>();
    case DiscoveryType::DnsSd:
#ifdef STONEBAY_DNSSD
      return std::make_unique<DnsSdSource>(base, clock, feed, config);
#else
      (void)clock;
      throw InvalidInput(
          "key [discovery] source: this build does not support DNS-SD; build it with -DSTONEBAY_DNSSD=ON");
#endif
    case DiscoveryType::Registry:
      break;
  }
  return std::make_unique<RegistrySource>(base, feed, config);
}

}  // namespace stonebay
