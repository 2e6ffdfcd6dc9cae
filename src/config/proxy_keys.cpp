// The keys of the process itself: its place, its limits, its log.
#include "config/setting_keys.hpp"

namespace stonebay {
namespace {

constexpr Choice<LogForm> kLogForms[] = {{"logfmt", LogForm::Logfmt}, {"json", LogForm::Json}};

constexpr Choice<LogLevel> kLogLevels[] = {{"debug", LogLevel::Debug},
                                           {"info", LogLevel::Info},
                                           {"warning", LogLevel::Warning},
                                           {"error", LogLevel::Error}};

}  // namespace

std::vector<SettingKey> proxyKeys() {
  return {
      {"name", ValueKind::Text, kRequired, assign(&Config::name),
       "Its name in the log, the same after a restart."},
      {"listen", ValueKind::Address, kRequired, assign(&Config::listen),
       "Where clients connect. Port 0 lets the system choose; the log tells which."},
      {"proxies",
       {ValueKind::Count, 1, 10000},
       "1",
       assign(&Settings::proxyCount),
       "How many proxies stand before the same data servers, this one included. Each takes its part of what "
       "a cold server may be sent, so a number that is too small can fell one."},
      {"zones", ValueKind::Words, "", assign(&Config::zones),
       "The buildings, with commas between. Data servers name theirs."},
      {"seed", ValueKind::Hex, "random", assign(&Config::seed),
       "Of its random numbers; hexadecimal, or `random` for a new one at each start. Fix it only to repeat a "
       "run."},
  };
}

std::vector<SettingKey> limitsKeys() {
  return {
      {"memory",
       {ValueKind::Size, static_cast<double>(kMinMemory), static_cast<double>(kMaxMemory)},
       "64MB",
       assign(&SettingsDraft::memory),
       "Resident memory that the process keeps to."},
      {"descriptors",
       {ValueKind::Count, kMinDescriptors, kMaxDescriptors},
       "1024",
       assign(&SettingsDraft::descriptors),
       "Descriptors that it may open. 45% go to clients, the rest to data servers, but for 24 of its own. "
       "Not above `ulimit -n`."},
      {"attempts",
       {ValueKind::Count, 1, 255},
       "8",
       assign(&Settings::maxAttempts),
       "The most attempts for one request, its first included."},
      {"dial_timeout",
       {ValueKind::TimeSpan, kMillisecond, 60 * kSecond},
       "250ms",
       assign(&Config::connectTimeout),
       "A connection to a data server that is not up by then has failed; a probe not answered by then too."},
      {"idle_close",
       {ValueKind::TimeSpan, kSecond, kHour / 2},
       "15s",
       assign(&Config::idleTimeout),
       "Data servers close what stands idle for so long. The proxy retires its connections at 0.7 of it; "
       "with a figure that is too high, requests run into connections that have just been closed."},
  };
}

std::vector<SettingKey> logKeys() {
  return {
      {"form", oneOf(kLogForms), "logfmt", assign(&Config::logForm, kLogForms),
       "A line an event, as `name=value` pairs or as a JSON object."},
      {"level", oneOf(kLogLevels), "info", assign(&Config::logLevel, kLogLevels),
       "The least level that is written."},
  };
}

}  // namespace stonebay
