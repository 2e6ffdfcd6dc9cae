// The settings of the process itself: its name and addresses, its limits and its log.
#include "config/setting_keys.hpp"

namespace stonebay {
namespace {

constexpr Choice<LogFormat> kLogFormats[] = {{"logfmt", LogFormat::Logfmt}, {"json", LogFormat::Json}};

constexpr Choice<LogLevel> kLogLevels[] = {{"debug", LogLevel::Debug},
                                           {"info", LogLevel::Info},
                                           {"warning", LogLevel::Warning},
                                           {"error", LogLevel::Error}};

}  // namespace

std::vector<SettingKey> proxyKeys() {
  return {
      {"name", ValueKind::Text, kRequired, assign(&Config::name),
       "The name of this proxy in the log. It should stay the same after a restart."},
      {"listen", ValueKind::Address, kRequired, assign(&Config::listen),
       "The address on which clients connect. With port 0 the system chooses a port, which is logged."},
      {"proxies",
       {ValueKind::Count, 1, 10000},
       "1",
       assign(&Settings::proxyCount),
       "The number of proxies in front of the same data servers, including this one. Each sends a cold data "
       "server only its share of what the server can take, so a number that is too small can overload it."},
      {"zones", ValueKind::Words, "", assign(&Config::zones),
       "The names of the buildings, separated by commas. Each data server has the name of its building."},
      {"seed", ValueKind::Hex, "random", assign(&Config::seed),
       "The seed of the random numbers: a hexadecimal number, or `random` for a new seed at each start. Set "
       "a number only to reproduce a run."},
  };
}

std::vector<SettingKey> limitsKeys() {
  return {
      {"memory",
       {ValueKind::Size, static_cast<double>(kMinMemoryBytes), static_cast<double>(kMaxMemoryBytes)},
       "64MB",
       assign(&SettingsDraft::memory),
       "The limit on the resident memory of the process."},
      {"descriptors",
       {ValueKind::Count, kMinDescriptors, kMaxDescriptors},
       "1024",
       assign(&SettingsDraft::descriptors),
       "The number of file descriptors that the process may open, at most `ulimit -n`. It keeps 24 for "
       "itself; of the others 45% are for clients and the rest for data servers."},
      {"attempts",
       {ValueKind::Count, 1, 255},
       "8",
       assign(&Settings::maxAttempts),
       "The maximum number of attempts for one request, including the first."},
      {"dial_timeout",
       {ValueKind::TimeSpan, kMillisecond, 60 * kSecond},
       "250ms",
       assign(&Config::connectTimeout),
       "The time limit for connecting to a data server, and for the answer to a probe."},
      {"idle_close",
       {ValueKind::TimeSpan, kSecond, kHour / 2},
       "15s",
       assign(&Config::idleTimeout),
       "The time after which data servers close an idle connection. The proxy closes its idle connections "
       "after 0.7 of this time; if the value is too high, requests are sent on connections that have just "
       "been closed."},
  };
}

std::vector<SettingKey> logKeys() {
  return {
      {"form", oneOf(kLogFormats), "logfmt", assign(&Config::logFormat, kLogFormats),
       "The format of the log: one line per event, as `name=value` pairs or as a JSON object."},
      {"level", oneOf(kLogLevels), "info", assign(&Config::logLevel, kLogLevels),
       "The lowest level that is logged."},
  };
}

}  // namespace stonebay
