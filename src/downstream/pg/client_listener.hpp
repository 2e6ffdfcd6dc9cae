// Client connections: the startup, queries one at a time, answers in order.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "dispatch/dispatcher.hpp"
#include "util/event.hpp"

namespace stonebay {

class ClientListener {
 public:
  ClientListener(event_base*, Dispatcher&,
                 const Config&);  // throws std::runtime_error where it cannot listen
  ~ClientListener();
  // Serves on while new connections still come, then closes connections between requests and finishes what is
  // taken. `done` follows when no connection is left.
  void drain(std::function<void()> done);
  int port() const;

 private:
  class Session;
  void onAccepted(evutil_socket_t);
  void onAcceptFailed();
  void closeSession(Session&);
  void resumeAccepting();
  bool evictIdleSession();
  void checkSessions();
  void onFirstRequest(const Session& by);
  void stopListening();
  void acceptPending();
  bool acceptingStopped() const { return draining_ && !listener_; }

  event_base* const base_;
  Dispatcher& dispatcher_;
  const Config& config_;
  const std::size_t maxSessions_;  // connections at once
  std::size_t activeClients_ = 0;  // sessions that have asked something
  std::size_t reserved_ = 0;       // bytes of long statements on their way, of Config::largeStatements
  Listener listener_;
  Event acceptRetryTimer_, shutdownTimer_, checkTimer_;
  bool draining_ = false;
  Time stoppedAcceptingAt_{};  // when the listener was closed
  std::function<void()> done_;
  std::unordered_map<std::uint64_t, Session*> byKey_;  // that a client may cancel by
  std::uint32_t lastProcess_ = 0;
  std::unordered_set<std::string> openIds_;  // of the requests that are out
  std::unordered_map<Session*, std::unique_ptr<Session>> sessions_;
};

}  // namespace stonebay
