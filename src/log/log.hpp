// The log of the process, based on spdlog. Each event is one line on standard error. The log is rate-limited.
//
// An event has a name and fields. The name is in lower case with words joined by "_", and begins with the
// subject, as in "watch_ended". Values may contain arbitrary bytes, such as input from the network:
// characters that would break the line or its format are escaped, and text longer than kMaxLoggedValueBytes
// is truncated. Never log secrets. Not thread-safe: only the event loop thread logs, and other threads pass
// their events to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace stonebay {

enum class LogFormat { Logfmt, Json };
enum class LogLevel { Debug, Info, Warning, Error };

/// A named value of a log event. It refers to text that it does not own, so it must not outlive the log call.
/// The constructors are implicit, so that fields can be written as {"name", value}.
struct LogField {
  template <typename T, std::enable_if_t<std::is_integral_v<T> && !std::is_same_v<T, bool>, int> = 0>
  LogField(std::string_view field, T number) : name(field), value(static_cast<std::int64_t>(number)) {}
  LogField(std::string_view field, bool flag) : name(field), value(flag) {}
  LogField(std::string_view field, double number) : name(field), value(number) {}
  LogField(std::string_view field, std::string_view text) : name(field), value(text) {}
  LogField(std::string_view field, const char* text) : name(field), value(std::string_view(text)) {}
  LogField(std::string_view field, const std::string& text) : name(field), value(std::string_view(text)) {}

  std::string_view name;
  std::variant<std::int64_t, double, bool, std::string_view> value;
};

/// Maximum number of bytes of a text value that are logged.
constexpr std::size_t kMaxLoggedValueBytes = 400;

/// Sets the format and the lowest level that is logged. The defaults are logfmt and Info. May be called
/// again.
void configureLog(LogFormat format, LogLevel minLevel);

/// Logs an event as one line. The lines of each event name are limited to a burst of 50 and a rate of 10 per
/// second, so that a failure that affects every request cannot flood the log. Lines beyond the limit are
/// dropped, and their number is logged ("lines_left_out") before the next line of that event. Each event name
/// has its own limit: for example, thousands of events about members do not suppress those about requests.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Returns the line that logEvent writes in the given format, without time and level. For tests and tools.
std::string formatEvent(LogFormat format, std::string_view event, std::initializer_list<LogField> fields);

}  // namespace stonebay
