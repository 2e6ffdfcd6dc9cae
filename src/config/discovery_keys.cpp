// The settings of endpoint discovery.
#include "config/setting_keys.hpp"

namespace stonebay {
namespace {

constexpr Choice<DiscoveryType> kDiscoveryTypes[] = {
    {"registry", DiscoveryType::Registry}, {"dnssd", DiscoveryType::DnsSd}, {"fixed", DiscoveryType::Fixed}};

}  // namespace

std::vector<SettingKey> discoveryKeys() {
  return {
      {"source", oneOf(kDiscoveryTypes), "registry", assign(&Config::discoveryType, kDiscoveryTypes),
       "Where the list comes from: the HTTP registry, DNS-SD service records, or only the `[member]` "
       "sections of this file."},
      {"registry", ValueKind::Address, "", assign(&Config::discovery),
       "Address of the HTTP registry; required with `source = registry`. A new value takes effect on SIGHUP, "
       "without a restart."},
      {"ask_within",
       {ValueKind::TimeSpan, kSecond, kHour},
       "10s",
       assign(&Settings::maxPollInterval),
       "The longest time between two polls of the registry. A proxy that has neither watched nor polled the "
       "registry for this long is treated as if it had just received the current list."},
  };
}

std::vector<SettingKey> dnssdKeys() {
  return {
      {"domain", ValueKind::Domain, "", assign(&DnsSdSettings::domain),
       "The domain whose zone contains the service records, such as `ruwi.example.org`."},
      {"service", ValueKind::Domain, "_postgresql._tcp", assign(&DnsSdSettings::service),
       "The name of the service in that domain."},
      {"name_servers", ValueKind::Addresses, "", assign(&DnsSdSettings::servers),
       "Addresses of the name servers, separated by commas. Queries go to the first one until it fails, then "
       "to the next. All must serve the same zone."},
      {"refresh_least",
       {ValueKind::TimeSpan, 100 * kMillisecond, kHour},
       "1s",
       assign(&DnsSdSettings::minRefresh),
       "The shortest refresh interval. Records are queried again after their TTL, but not sooner than this. "
       "Each refresh costs one query per proxy."},
      {"refresh_most",
       {ValueKind::TimeSpan, 100 * kMillisecond, 24 * kHour},
       "10s",
       assign(&DnsSdSettings::maxRefresh),
       "The longest refresh interval, whatever the TTL. A withdrawn server may receive requests for up to "
       "this long."},
      {"jitter",
       {ValueKind::Share, 0, 0.9},
       "10%",
       assign(&DnsSdSettings::jitter),
       "Each refresh interval is shortened by a random share of up to this, so that proxies that were "
       "started together do not query at the same time."},
      {"try_timeout",
       {ValueKind::TimeSpan, 10 * kMillisecond, 30 * kSecond},
       "400ms",
       assign(&DnsSdSettings::queryTimeout),
       "A query that a name server has not answered within this time is sent to the next name server."},
      {"queries_per_s",
       {ValueKind::Number, 1, 100000},
       "50",
       assign(&DnsSdSettings::queriesPerSecond),
       "The limit on queries per second about single instances, which are needed if a zone has more "
       "instances than fit in one answer. Queries for the list of instances are not limited."},
      {"udp_payload",
       {ValueKind::Count, 512, 4096},
       "1232",
       assign(&DnsSdSettings::udpPayload),
       "The largest UDP answer that is accepted (EDNS0), in bytes. Answers above 1232 bytes may be "
       "fragmented and lost."},
      {"group", ValueKind::Text, "", assign(&DnsSdSettings::defaultGroupName),
       "The group, by name or number, of instances whose TXT record does not specify one. If this is not "
       "set, such instances are left out."},
      {"keep_for",
       {ValueKind::TimeSpan, 0, 8760 * kHour},
       "24h",
       assign(&DnsSdSettings::maxListAge),
       "How long the last list is used while no name server answers; 0 means forever."},
      {"flap_half_life",
       {ValueKind::TimeSpan, kSecond, kHour},
       "15s",
       assign(&DnsSdSettings::flapHalfLife),
       "Flap damping: each withdrawal of an instance adds 1 to its penalty, and the penalty halves in this "
       "time."},
      {"flap_suppress",
       {ValueKind::Number, 0.5, 1000},
       "1.5",
       assign(&DnsSdSettings::flapSuppress),
       "An instance that returns while its penalty is at or above this is left out."},
      {"flap_reuse",
       {ValueKind::Number, 0.1, 1000},
       "0.75",
       assign(&DnsSdSettings::flapReuse),
       "An instance that was left out is used again once its penalty has fallen to this."},
      {"flap_most",
       {ValueKind::TimeSpan, 0, 24 * kHour},
       "60s",
       assign(&DnsSdSettings::maxSuppression),
       "The longest time that an instance is left out after its return."},
  };
}

}  // namespace stonebay
