// Selects the client sessions that have to make room for others.
#pragma once

#include <memory>
#include <unordered_map>

#include "downstream/pg/client_session.hpp"

namespace stonebay {

/// All open sessions of a listener.
using ClientSessions = std::unordered_map<ClientSession*, std::unique_ptr<ClientSession>>;

/// Returns the session with the highest eviction priority, which is at least `minPriority`, and of several
/// the one that has been inactive longest, so that unused connections do not keep out clients with requests.
/// Sessions with input that has not been read yet and refused sessions are not selected. Returns null if
/// there is none.
ClientSession* selectForEviction(const ClientSessions& sessions, EvictionPriority minPriority, TimePoint now);

/// Returns the session other than `except` that has been idle longest; null if none is idle.
ClientSession* selectLongestIdle(const ClientSessions& sessions, const ClientSession& except, TimePoint now);

/// Returns the refused session that has been open longest; null if none was refused.
ClientSession* selectLongestRefused(const ClientSessions& sessions);

/// Returns the session without a request in flight whose buffers contain most; null if all of their buffers
/// are empty.
ClientSession* selectLargestBuffers(const ClientSessions& sessions);

}  // namespace stonebay
