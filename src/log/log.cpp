#include "log/log.hpp"

#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>

namespace stonebay {
namespace {

using Fields = std::initializer_list<LogField>;
using Line = fmt::memory_buffer;

constexpr const char* kLogfmtPattern = "ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";
constexpr const char* kJsonPattern = R"({"ts":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})";

bool needsNoQuotes(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char byte) {
    return byte > ' ' && byte < 0x7f && byte != '"' && byte != '=' && byte != '\\';
  });
}

// Both formats use JSON escapes. Bytes outside ASCII may come from untrusted input and need not be valid
// UTF-8, so each is escaped as a Latin-1 code point. The line is thus valid whatever it quotes.
void appendEscaped(Line& line, char character) {
  const auto byte = static_cast<unsigned char>(character);
  if (character == '"' || character == '\\') {
    line.push_back('\\');
    line.push_back(character);
  } else if (character == '\n') {
    fmt::format_to(std::back_inserter(line), "\\n");
  } else if (byte < ' ' || byte >= 0x7f) {
    fmt::format_to(std::back_inserter(line), "\\u{:04x}", byte);
  } else {
    line.push_back(character);
  }
}

void appendQuoted(Line& line, std::string_view text) {
  line.push_back('"');
  for (const char character : text.substr(0, kMaxLoggedValueBytes)) appendEscaped(line, character);
  if (text.size() > kMaxLoggedValueBytes) fmt::format_to(std::back_inserter(line), "...");
  line.push_back('"');
}

// Visitor of LogField::value that writes the value.
struct ValueWriter {
  LogFormat format;
  Line& line;

  void operator()(std::int64_t number) const { fmt::format_to(std::back_inserter(line), "{}", number); }
  void operator()(bool flag) const { fmt::format_to(std::back_inserter(line), "{}", flag); }
  void operator()(double number) const {
    if (std::isfinite(number))
      fmt::format_to(std::back_inserter(line), "{:.6g}", number);
    else
      appendQuoted(line, fmt::format("{}", number));  // JSON cannot represent infinity and NaN as numbers
  }
  void operator()(std::string_view text) const {
    if (format == LogFormat::Logfmt && text.size() <= kMaxLoggedValueBytes && needsNoQuotes(text))
      line.append(text.data(), text.data() + text.size());
    else
      appendQuoted(line, text);
  }
};

void appendEvent(Line& line, LogFormat format, std::string_view event, Fields fields) {
  const bool json = format == LogFormat::Json;
  fmt::format_to(std::back_inserter(line), json ? R"("event":"{}")" : "event={}", event);
  for (const LogField& field : fields) {
    fmt::format_to(std::back_inserter(line), json ? R"(,"{}":)" : " {}=", field.name);
    std::visit(ValueWriter{format, line}, field.value);
  }
}

spdlog::level::level_enum toSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::Debug:
      return spdlog::level::debug;
    case LogLevel::Info:
      return spdlog::level::info;
    case LogLevel::Warning:
      return spdlog::level::warn;
    case LogLevel::Error:
      break;
  }
  return spdlog::level::err;
}

// A token bucket that allows a burst of lines and then a constant rate.
class RateLimiter {
 public:
  bool allow() {
    const Clock::time_point now = Clock::now();
    const double elapsedSeconds = std::chrono::duration<double>(now - refilledAt_).count();
    tokens_ = std::min(kBurstLines, tokens_ + kLinesPerSecond * elapsedSeconds);
    refilledAt_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr double kBurstLines = 50;
  static constexpr double kLinesPerSecond = 10;

  double tokens_ = kBurstLines;
  Clock::time_point refilledAt_ = Clock::now();
};

class Logger {
 public:
  Logger() : logger_("stonebay", std::make_shared<spdlog::sinks::stderr_sink_st>()) {
    logger_.flush_on(spdlog::level::trace);
    configure(LogFormat::Logfmt, LogLevel::Info);
  }

  void configure(LogFormat format, LogLevel minLevel) {
    format_ = format;
    logger_.set_level(toSpdlog(minLevel));
    logger_.set_pattern(format == LogFormat::Json ? kJsonPattern : kLogfmtPattern,
                        spdlog::pattern_time_type::utc);
  }

  void log(LogLevel level, std::string_view event, Fields fields) {
    if (!logger_.should_log(toSpdlog(level))) return;
    EventBudget& budget = findOrAddBudget(event);
    if (!budget.rateLimiter.allow()) {
      ++budget.droppedLines;
      return;
    }
    if (budget.droppedLines > 0) {
      write(LogLevel::Warning, "lines_left_out", {{"of", event}, {"count", budget.droppedLines}});
      budget.droppedLines = 0;
    }
    write(level, event, fields);
  }

 private:
  // The budget of one event name. Each has its own, so that frequent events do not suppress others.
  struct EventBudget {
    RateLimiter rateLimiter;
    std::int64_t droppedLines = 0;
  };

  EventBudget& findOrAddBudget(std::string_view event) {
    const auto it = budgets_.find(event);
    if (it != budgets_.end()) return it->second;
    return budgets_.emplace(std::string(event), EventBudget()).first->second;
  }

  void write(LogLevel level, std::string_view event, Fields fields) {
    Line line;
    appendEvent(line, format_, event, fields);
    logger_.log(toSpdlog(level), spdlog::string_view_t(line.data(), line.size()));
  }

  spdlog::logger logger_;
  LogFormat format_ = LogFormat::Logfmt;
  std::map<std::string, EventBudget, std::less<>> budgets_;  // by event name
};

Logger& processLogger() {
  static Logger logger;
  return logger;
}

}  // namespace

void configureLog(LogFormat format, LogLevel minLevel) { processLogger().configure(format, minLevel); }

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  processLogger().log(level, event, fields);
}

std::string formatEvent(LogFormat format, std::string_view event, std::initializer_list<LogField> fields) {
  Line line;
  appendEvent(line, format, event, fields);
  return fmt::to_string(line);
}

}  // namespace stonebay
