// The keys of endpoint discovery.
#include "config/setting_keys.hpp"

namespace stonebay {
namespace {

constexpr Choice<Source> kSources[] = {
    {"registry", Source::Registry}, {"dnssd", Source::DnsSd}, {"fixed", Source::Fixed}};

}  // namespace

std::vector<SettingKey> discoveryKeys() {
  return {
      {"source", oneOf(kSources), "registry", assign(&Config::source, kSources),
       "The HTTP registry, service records in the DNS, or the `[member]` sections alone."},
      {"registry", ValueKind::Address, "", assign(&Config::discovery),
       "Where the HTTP registry listens; wanted with `source = registry`. SIGHUP takes a new value while "
       "serving."},
      {"ask_within",
       {ValueKind::TimeSpan, kSecond, kHour},
       "10s",
       assign(&Settings::maxPollInterval),
       "A proxy that has neither watched nor asked for so long counts as told of what was listed then."},
  };
}

std::vector<SettingKey> dnssdKeys() {
  return {
      {"domain", ValueKind::Domain, "", assign(&DnsSdSettings::domain),
       "The domain whose zone holds the records, such as `ruwi.example.org`."},
      {"service", ValueKind::Domain, "_postgresql._tcp", assign(&DnsSdSettings::service),
       "The service's name in that domain."},
      {"name_servers", ValueKind::Addresses, "", assign(&DnsSdSettings::servers),
       "With commas between; the first is asked until it fails, then the next. All must serve the same "
       "zone."},
      {"refresh_least",
       {ValueKind::TimeSpan, 100 * kMillisecond, kHour},
       "1s",
       assign(&DnsSdSettings::minRefresh),
       "Records are asked for again after their TTL, but not sooner than this. The price is a query by each "
       "proxy."},
      {"refresh_most",
       {ValueKind::TimeSpan, 100 * kMillisecond, 24 * kHour},
       "10s",
       assign(&DnsSdSettings::maxRefresh),
       "And not later than this, whatever their TTL: so long a withdrawn server may go on getting work."},
      {"jitter",
       {ValueKind::Share, 0, 0.9},
       "10%",
       assign(&DnsSdSettings::jitter),
       "Each time is shortened by a random part of up to this, so that proxies started together drift "
       "apart."},
      {"try_timeout",
       {ValueKind::TimeSpan, 10 * kMillisecond, 30 * kSecond},
       "400ms",
       assign(&DnsSdSettings::queryTimeout),
       "A name server that has not answered by then is left for the next one."},
      {"queries_per_s",
       {ValueKind::Number, 1, 100000},
       "50",
       assign(&DnsSdSettings::queriesPerSecond),
       "The budget for questions about single records, where a zone has more instances than an answer has "
       "room for. The list of instances is asked for on time whatever this is."},
      {"udp_payload",
       {ValueKind::Count, 512, 4096},
       "1232",
       assign(&DnsSdSettings::udpPayload),
       "The longest datagram that is taken (EDNS0). Above 1232 it may be fragmented and lost."},
      {"group", ValueKind::Text, "", assign(&DnsSdSettings::defaultGroupName),
       "The group, by name or number, of instances whose TXT record names none. Without it they are left "
       "out."},
      {"keep_for",
       {ValueKind::TimeSpan, 0, 8760 * kHour},
       "24h",
       assign(&DnsSdSettings::maxListAge),
       "How long the last list stands when no name server answers; 0 is for ever."},
      {"flap_half_life",
       {ValueKind::TimeSpan, kSecond, kHour},
       "15s",
       assign(&DnsSdSettings::flapHalfLife),
       "Each withdrawal of an instance counts 1, and the count halves in this time."},
      {"flap_suppress",
       {ValueKind::Number, 0.5, 1000},
       "1.5",
       assign(&DnsSdSettings::flapSuppress),
       "An instance that comes back at this count or above is left out,"},
      {"flap_reuse",
       {ValueKind::Number, 0.1, 1000},
       "0.75",
       assign(&DnsSdSettings::flapReuse),
       "until the count has fallen to this,"},
      {"flap_most",
       {ValueKind::TimeSpan, 0, 24 * kHour},
       "60s",
       assign(&DnsSdSettings::maxSuppression),
       "and no longer than this after it came back."},
  };
}

}  // namespace stonebay
