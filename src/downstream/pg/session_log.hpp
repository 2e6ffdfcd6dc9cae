// Log lines about client sessions.
#pragma once

#include <cstddef>

#include "downstream/pg/client_session.hpp"
#include "downstream/pg/session_eviction.hpp"

namespace stonebay {

/// Logs the end of a session, unless it ended as expected and has no request in flight.
void logSessionClosed(const ClientSession& session, CloseReason reason);
/// Logs what the sessions wait for, when none can be evicted and no client can be accepted. `limit`: on the
/// number of sessions.
void logSessionsFull(const ClientSessions& sessions, std::size_t limit);

}  // namespace stonebay
