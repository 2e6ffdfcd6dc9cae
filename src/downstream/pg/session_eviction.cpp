#include "downstream/pg/session_eviction.hpp"

namespace stonebay {
namespace {

// Whether a session of this priority would process input that has arrived but has not been read yet. Evicting
// it would lose a request.
bool isWaitingForInput(EvictionPriority priority) {
  return priority == EvictionPriority::Idle || priority == EvictionPriority::IncompleteMessage ||
         priority == EvictionPriority::NeverActive;
}

bool isInactiveLonger(const ClientSession& session, const ClientSession* than) {
  return than == nullptr || session.lastActiveAt() < than->lastActiveAt();
}

}  // namespace

ClientSession* selectForEviction(const ClientSessions& sessions, EvictionPriority minPriority,
                                 TimePoint now) {
  ClientSession* selected = nullptr;
  EvictionPriority selectedPriority = minPriority;
  for (const auto& [session, owned] : sessions) {
    if (session->refused()) continue;
    const EvictionPriority priority = session->evictionPriority(now);
    if (priority == EvictionPriority::Never || priority < selectedPriority) continue;
    if (priority == selectedPriority && !isInactiveLonger(*session, selected)) continue;
    if (isWaitingForInput(priority) && session->hasPendingInput()) continue;
    selected = session;
    selectedPriority = priority;
  }
  return selected;
}

ClientSession* selectLongestIdle(const ClientSessions& sessions, const ClientSession& except, TimePoint now) {
  ClientSession* selected = nullptr;
  for (const auto& [session, owned] : sessions) {
    if (session == &except || session->evictionPriority(now) != EvictionPriority::Idle) continue;
    if (isInactiveLonger(*session, selected) && session->idle()) selected = session;
  }
  return selected;
}

ClientSession* selectLongestRefused(const ClientSessions& sessions) {
  ClientSession* selected = nullptr;
  for (const auto& [session, owned] : sessions)
    if (session->refused() && isInactiveLonger(*session, selected)) selected = session;
  return selected;
}

ClientSession* selectLargestBuffers(const ClientSessions& sessions) {
  ClientSession* selected = nullptr;
  for (const auto& [session, owned] : sessions) {
    if (session->hasRequestInFlight() || session->bufferedBytes() == 0) continue;
    if (selected == nullptr || session->bufferedBytes() > selected->bufferedBytes()) selected = session;
  }
  return selected;
}

}  // namespace stonebay
