#include "dispatch/request_log.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "log/log.hpp"

namespace stonebay {
namespace {

const char* attemptStatusName(AttemptStatus status) {
  switch (status) {
    case AttemptStatus::Ok:
      return "ok";
    case AttemptStatus::Error:
      return "error";
    case AttemptStatus::Rejected:
      return "rejected";
    case AttemptStatus::Timeout:
      return "timeout";
    case AttemptStatus::ConnectFailed:
      return "connect_failed";
    case AttemptStatus::Reset:
      return "reset";
    case AttemptStatus::Cancelled:
      return "cancelled";
    case AttemptStatus::NotSent:
      return "not_sent";
    case AttemptStatus::TooStale:
      return "too_stale";
  }
  return "unknown";
}

// Formats a time in milliseconds with one decimal, rounded towards zero.
std::string millisecondsText(Duration time) {
  constexpr std::int64_t kMicrosecondsPerTenth = 100;
  constexpr std::int64_t kTenthsPerMillisecond = 10;
  const std::int64_t tenths = time.count() / kMicrosecondsPerTenth;
  const std::int64_t absoluteTenths = std::abs(tenths);
  const std::string sign = tenths < 0 ? "-" : "";
  return sign + std::to_string(absoluteTenths / kTenthsPerMillisecond) + "." +
         std::to_string(absoluteTenths % kTenthsPerMillisecond);
}

}  // namespace

const char* requestEndName(RequestEnd end) {
  switch (end) {
    case RequestEnd::LatencyObjectiveMissed:
      return "late";
    case RequestEnd::Rejected:
      return "rejected";
    case RequestEnd::Failed:
      return "failed";
    case RequestEnd::ClientLeft:
      return "client_left";
  }
  return "unknown";
}

const char* endReasonName(EndReason reason) {
  switch (reason) {
    case EndReason::UnknownClass:
      return "unknown_class";
    case EndReason::AttemptsExhausted:
      return "attempts_exhausted";
    case EndReason::NotRetryable:
      return "may_not_be_repeated";
    case EndReason::DeadlineUnreachable:
      return "too_late";
    case EndReason::Overloaded:
      return "overloaded";
    case EndReason::RetryBudgetExhausted:
      return "retry_budget_exhausted";
  }
  return "unknown";
}

std::string attemptsText(const InFlightRequest& request, const EndpointIds& endpoints) {
  std::string text;
  for (const AttemptRecord& attempt : request.attempts) {
    if (!text.empty()) text += ' ';
    text += endpoints.nameOf(attempt.endpoint);
    text += '@';
    text += millisecondsText(attempt.sentAt - request.arrivedAt);
    if (attempt.connectedAt) text += '+' + millisecondsText(*attempt.connectedAt - attempt.sentAt);
    text += ':';
    text += attempt.status ? attemptStatusName(*attempt.status) : "in_flight";
    if (!attempt.status) continue;
    text += '@';
    text += millisecondsText(attempt.endedAt - request.arrivedAt);
  }
  return text;
}

void logRequestEnd(const InFlightRequest& request, RequestEnd end, const char* reason, TimePoint now,
                   const Config& config, const EndpointIds& endpoints) {
  // The log limits the rate of each event separately. On some days many clients leave; a separate event keeps
  // their lines from displacing those of other requests.
  const char* const event = end == RequestEnd::ClientLeft ? "client_left" : "request_ended";
  logEvent(LogLevel::Info, event,
           {{"id", request.message->id},
            {"class", config.classes[static_cast<std::size_t>(request.request.classIndex)]},
            {"group", request.request.group},
            {"how", requestEndName(end)},
            {"after_ms", millisecondsText(now - request.arrivedAt)},
            {"of_ms", millisecondsText(request.request.deadline - request.arrivedAt)},
            {"attempts", attemptsText(request, endpoints)},
            {"reason", reason}});
}

}  // namespace stonebay
