// Accepts client connections up to the limits on their number, until the graceful shutdown.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "downstream/pg/backlog_monitor.hpp"
#include "downstream/pg/client_session.hpp"
#include "downstream/pg/session_context.hpp"
#include "downstream/pg/session_eviction.hpp"
#include "util/descriptor_reserve.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Counts of clients since the last call of ClientListener::takeStatistics.
struct ClientStatistics {
  std::uint64_t evicted = 0;
  std::uint64_t refused = 0;
};

/// Owns the client sessions. If there is no room for a new one, evicts a session without a request in flight,
/// see EvictionPriority. If there is no such session, new connections wait in the listener's backlog for a
/// short time. After that they are accepted and refused: a client that gets no room gets an answer.
class ClientListener final : private ClientSessionOwner {
 public:
  /// Starts listening. Throws std::runtime_error if that fails.
  ClientListener(event_base* base, Dispatcher& dispatcher, const Config& config);
  ~ClientListener();
  ClientListener(const ClientListener& other) = delete;
  ClientListener& operator=(const ClientListener& other) = delete;

  /// Starts the graceful shutdown. New connections are still accepted for some time. Then accepting stops,
  /// idle sessions are closed and requests in flight are finished. Calls `done` when no session is left or,
  /// at the latest, when the longest deadline and a grace period have passed since then.
  void drain(std::function<void()> done);
  /// The port of the listening socket.
  int port() const;
  std::size_t sessionCount() const { return sessions_.size(); }
  /// Returns the statistics since the last call.
  ClientStatistics takeStatistics() { return std::exchange(statistics_, ClientStatistics()); }

 private:
  void onSessionClosed(ClientSession& session, CloseReason reason) override;
  void onFirstRequest(ClientSession& session) override;
  std::optional<TimePoint> stoppedAcceptingAt() const override { return stoppedAcceptingAt_; }

  void onAccepted(evutil_socket_t fd);
  void onAcceptFailed();
  void resumeAccepting();
  void onAcceptTimer();
  void pauseAccepting(Duration delay);
  bool acceptBacklog();
  ClientSession& addSession(evutil_socket_t fd);
  void admitSession(evutil_socket_t fd);
  void refuseSession(evutil_socket_t fd);
  void refuseWithReserve();
  void updateReserve();
  void removeSession(ClientSession& session, CloseReason reason);
  bool isBelowLimit() const { return sessions_.size() - refusedSessions_ < config_.maxClientConnections; }
  bool hasRoom(bool clientWaits);
  bool mayAccept();
  bool hasRoomToRefuse();
  bool backlogIsEmpty() const;
  bool evictSession(bool clientWaits);
  bool evictRefusedSession();
  void evict(ClientSession& session);
  void evictLongestIdle(const ClientSession& except);
  void checkSessionTimeouts();
  void freeBufferMemory();
  void onShutdownTimer();
  void stopAccepting();

  const Config& config_;
  Dispatcher& dispatcher_;
  SessionContext context_;
  std::size_t activeSessions_ = 0;   // sessions that have sent a request
  std::size_t refusedSessions_ = 0;  // sessions that were refused and are still open
  ClientStatistics statistics_;
  BacklogMonitor backlog_;
  DescriptorReserve reserve_;  // for clients that are refused while no descriptor can be opened
  Listener listener_;
  Event acceptTimer_;        // resumes accepting after a pause
  int acceptsInRow_ = 0;     // since the last pause
  Event timeoutCheckTimer_;  // periodic, for the timeouts of all sessions
  Event shutdownTimer_;      // stops accepting, then limits the wait for the last sessions
  bool draining_ = false;
  std::optional<TimePoint> backlogRetryDeadline_;  // set when accepting should stop for the first time
  std::optional<TimePoint> stoppedAcceptingAt_;
  std::function<void()> done_;
  ClientSessions sessions_;
};

}  // namespace stonebay
