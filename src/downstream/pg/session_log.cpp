#include "downstream/pg/session_log.hpp"

#include <array>

#include "log/log.hpp"

namespace stonebay {
namespace {

constexpr auto kSessionActivityCount = static_cast<std::size_t>(SessionActivity::Other) + 1;

const char* closeReasonName(CloseReason reason) {
  switch (reason) {
    case CloseReason::Disconnected:
      return "disconnected";
    case CloseReason::Finished:
      return "finished";
    case CloseReason::NoRequest:
      return "no_request";
    case CloseReason::IncompleteMessage:
      return "incomplete_message";
    case CloseReason::PeerClosed:
      return "peer_closed";
    case CloseReason::TooMuchInput:
      return "too_much_input";
    case CloseReason::Evicted:
      return "evicted";
  }
  return "unknown";
}

}  // namespace

void logSessionClosed(const ClientSession& session, CloseReason reason) {
  const bool isExpected = reason == CloseReason::Disconnected || reason == CloseReason::Finished;
  if (isExpected && session.clientRequestId().empty()) return;
  logEvent(LogLevel::Info, "session_closed",
           {{"reason", closeReasonName(reason)}, {"request", session.clientRequestId()}});
}

void logSessionsFull(const ClientSessions& sessions, std::size_t limit) {
  std::array<std::size_t, kSessionActivityCount> count{};
  for (const auto& [session, owned] : sessions) ++count[static_cast<std::size_t>(session->activity())];
  const auto countOf = [&](SessionActivity activity) { return count[static_cast<std::size_t>(activity)]; };
  logEvent(LogLevel::Warning, "client_connections_full",
           {{"max", limit},
            {"in_flight", countOf(SessionActivity::RequestInFlight)},
            {"throttled", countOf(SessionActivity::Throttled)},
            {"incomplete_message", countOf(SessionActivity::IncompleteMessage)},
            {"unread_output", countOf(SessionActivity::UnreadOutput)},
            {"other", countOf(SessionActivity::Other)}});
}

}  // namespace stonebay
