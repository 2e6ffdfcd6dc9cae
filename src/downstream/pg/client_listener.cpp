#include "downstream/pg/client_listener.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "downstream/pg/session_log.hpp"
#include "log/log.hpp"
#include "util/transient_error.hpp"

namespace stonebay {
namespace {

constexpr int kBacklog = 1024;
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);
// While no client can be evicted, connections wait if at least this share of the clients is replaced in the
// time that the BacklogMonitor allows.
constexpr std::size_t kClientsPerMinAdmission = 8;
// How many connections are accepted before other events of the loop are handled. libevent accepts all that
// wait in one callback, so clients that come again as soon as they are turned away could keep it busy.
constexpr int kMaxAcceptsInRow = 32;
constexpr Duration kNextPass{0};
// How long a refused client can read its error before the next one may take its place.
constexpr Duration kMinRefusalTime = std::chrono::milliseconds(10);
// Clients may open new connections until 0.4 s after SIGTERM.
constexpr Duration kShutdownAcceptPeriod = std::chrono::milliseconds(500);
// How long the shutdown keeps trying to accept the connections that are left in the backlog.
constexpr Duration kBacklogRetryPeriod = std::chrono::milliseconds(100);
// After accepting has stopped, requests in flight get the longest deadline plus this time to finish.
constexpr Duration kShutdownGrace = std::chrono::seconds(1);
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(100);

// Whether an error of accept concerns only one connection or one call, so that the next call may succeed.
bool isPerConnectionError(int error) {
  switch (error) {
    case EINTR:
    case ECONNABORTED:
    case EPROTO:
    case ENETDOWN:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case ETIMEDOUT:
      return true;
    default:
      return false;
  }
}

}  // namespace

ClientListener::ClientListener(event_base* base, Dispatcher& dispatcher, const Config& config)
    : config_(config),
      dispatcher_(dispatcher),
      context_{base, dispatcher, config, StatementMemory(config.maxLargeStatementBytes),
               BufferMemory(config.maxClientBufferBytes)},
      backlog_(config.maxClientConnections / kClientsPerMinAdmission) {
  const auto onAccept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    static_cast<ClientListener*>(self)->onAccepted(fd);
  };
  listener_ = retryWhileTransient([&] {
    return Listener(evconnlistener_new_bind(base, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                            kBacklog, config.listen.data(),
                                            static_cast<int>(config.listen.size())));
  });
  if (!listener_) throw std::runtime_error(std::string("key listen: ") + std::strerror(errno));
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    static_cast<ClientListener*>(self)->onAcceptFailed();
  });
  acceptTimer_.reset(event_new(
      base, -1, 0,
      [](evutil_socket_t, short, void* self) { static_cast<ClientListener*>(self)->onAcceptTimer(); }, this));
  timeoutCheckTimer_.reset(event_new(
      base, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<ClientListener*>(self)->checkSessionTimeouts(); },
      this));
  startTimer(timeoutCheckTimer_.get(), kTimeoutCheckInterval);
  shutdownTimer_.reset(event_new(
      base, -1, 0,
      [](evutil_socket_t, short, void* self) { static_cast<ClientListener*>(self)->onShutdownTimer(); },
      this));
  updateReserve();
}
ClientListener::~ClientListener() = default;

int ClientListener::port() const {
  sockaddr_storage bound{};
  socklen_t length = sizeof bound;
  auto* const address = reinterpret_cast<sockaddr*>(&bound);
  getsockname(evconnlistener_get_fd(listener_.get()), address, &length);
  return Address::fromSocket(address).port();
}

// ---- accepting -------------------------------------------------------------------------------------------
void ClientListener::onAccepted(evutil_socket_t fd) {
  const bool clientWaits = true;
  if (hasRoom(clientWaits))
    admitSession(fd);
  else
    refuseSession(fd);
  if (++acceptsInRow_ < kMaxAcceptsInRow)
    resumeAccepting();
  else
    pauseAccepting(kNextPass);
}

// While the descriptor table is full, the listening socket stays readable but nothing can be accepted, and
// nothing but other clients would end the wait. A session is evicted, and the next pass of the event loop
// accepts with its descriptor. If there is none to evict, the clients that wait are refused, and accepting is
// paused, because retrying immediately would make the event loop spin.
void ClientListener::onAcceptFailed() {
  const int error = EVUTIL_SOCKET_ERROR();
  logEvent(LogLevel::Warning, "accept_failed", {{"why", std::strerror(error)}});
  const bool clientWaits = true;
  const bool isFull = error == EMFILE;
  if (isFull && evictSession(clientWaits)) return;
  if (isFull && backlog_.mustRefuse(dispatcher_.now())) refuseWithReserve();
  pauseAccepting(kAcceptRetryDelay);
}

void ClientListener::onAcceptTimer() {
  acceptsInRow_ = 0;
  resumeAccepting();
}

void ClientListener::resumeAccepting() {
  if (!listener_) return;
  if (mayAccept()) {
    evconnlistener_enable(listener_.get());
  } else {
    logSessionsFull(sessions_, config_.maxClientConnections);
    pauseAccepting(kAcceptRetryDelay);
  }
}

// Returns whether the next client can be accepted, to be admitted or refused. Makes room for it if necessary.
bool ClientListener::mayAccept() {
  if (isBelowLimit() && !backlog_.waiting()) return true;
  const bool clientWaits = !backlogIsEmpty();
  if (!clientWaits) backlog_.onEmpty();
  if (hasRoom(clientWaits)) return true;
  return clientWaits && backlog_.mustRefuse(dispatcher_.now()) && hasRoomToRefuse();
}

bool ClientListener::backlogIsEmpty() const {
  pollfd poller{evconnlistener_get_fd(listener_.get()), POLLIN, 0};
  return poll(&poller, 1, 0) <= 0;
}

void ClientListener::pauseAccepting(Duration delay) {
  evconnlistener_disable(listener_.get());
  startTimer(acceptTimer_.get(), delay);
}

// Returns whether there is room for one more session, and evicts a session if necessary. `clientWaits`:
// whether a client waits to be accepted.
bool ClientListener::hasRoom(bool clientWaits) { return isBelowLimit() || evictSession(clientWaits); }

// Returns whether there is room for one more session that is refused.
bool ClientListener::hasRoomToRefuse() {
  return refusedSessions_ < config_.maxRefusedClients || evictRefusedSession();
}

// Accepts the connections in the backlog, because closing the listener resets them and their clients may have
// sent requests already. Returns false if some may be left that a later call might accept.
bool ClientListener::acceptBacklog() {
  const evutil_socket_t listening = evconnlistener_get_fd(listener_.get());
  for (int calls = 0; calls < kBacklog; ++calls) {
    const bool admits = hasRoom(!backlogIsEmpty());
    if (!admits && !hasRoomToRefuse()) return false;
    const int fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      if (admits)
        admitSession(fd);
      else
        refuseSession(fd);
      continue;
    }
    const int error = errno;
    if (error == EAGAIN || error == EWOULDBLOCK) return true;
    if (error == EMFILE) refuseWithReserve();
    if (!isPerConnectionError(error)) return false;
  }
  return false;
}

// ---- sessions --------------------------------------------------------------------------------------------
ClientSession& ClientListener::addSession(evutil_socket_t fd) {
  ClientSessionOwner& owner = *this;
  auto session = std::make_unique<ClientSession>(context_, owner, fd);
  ClientSession* const key = session.get();
  sessions_.emplace(key, std::move(session));
  return *key;
}

void ClientListener::admitSession(evutil_socket_t fd) {
  backlog_.onAdmitted();
  addSession(fd);
}

void ClientListener::refuseSession(evutil_socket_t fd) {
  ++statistics_.refused;
  ++refusedSessions_;
  updateReserve();
  addSession(fd).refuse();
}

// Refuses clients with the descriptors of the reserve, while the process can open no others.
void ClientListener::refuseWithReserve() {
  const evutil_socket_t listening = evconnlistener_get_fd(listener_.get());
  while (hasRoomToRefuse() && reserve_.release()) {
    const int fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) break;
    refuseSession(fd);
  }
  updateReserve();
}

// Holds a descriptor for each client that may still be refused.
void ClientListener::updateReserve() {
  const std::size_t refused = std::min(refusedSessions_, config_.maxRefusedClients);
  reserve_.hold(config_.maxRefusedClients - refused);
}

void ClientListener::removeSession(ClientSession& session, CloseReason reason) {
  logSessionClosed(session, reason);
  if (session.active()) --activeSessions_;
  if (session.refused()) --refusedSessions_;
  sessions_.erase(&session);
  updateReserve();
}

void ClientListener::onSessionClosed(ClientSession& session, CloseReason reason) {
  removeSession(session, reason);
  resumeAccepting();
  if (stoppedAcceptingAt_ && sessions_.empty()) done_();
}

// Evicts a session to make room for a new client. Returns false if no session can be evicted. While no client
// waits, sessions that may still complete their message or read their output are left alone.
bool ClientListener::evictSession(bool clientWaits) {
  const EvictionPriority minPriority = clientWaits ? EvictionPriority::UnreadOutput : EvictionPriority::Idle;
  ClientSession* const session = selectForEviction(sessions_, minPriority, dispatcher_.now());
  if (session) evict(*session);
  return session != nullptr;
}

// Returns false if the client that was refused first had no time to read the error yet.
bool ClientListener::evictRefusedSession() {
  ClientSession* const session = selectLongestRefused(sessions_);
  const bool hadTime = session != nullptr && dispatcher_.now() - session->lastActiveAt() >= kMinRefusalTime;
  if (hadTime) evict(*session);
  return hadTime;
}

void ClientListener::evict(ClientSession& session) {
  ++statistics_.evicted;
  session.sendEvictionNotice();
  removeSession(session, CloseReason::Evicted);
}

// Clients that keep their connections open after one request may run out of connections on their own side
// while there is still room in this proxy. Above the limit on active sessions, the one that has been idle
// longest is therefore closed for each session that becomes active.
void ClientListener::onFirstRequest(ClientSession& session) {
  ++activeSessions_;
  if (activeSessions_ > config_.maxActiveClients) evictLongestIdle(session);
}

void ClientListener::evictLongestIdle(const ClientSession& except) {
  ClientSession* const session = selectLongestIdle(sessions_, except, dispatcher_.now());
  if (session) onSessionClosed(*session, CloseReason::Evicted);
}

void ClientListener::checkSessionTimeouts() {
  const TimePoint now = dispatcher_.now();
  std::vector<std::pair<ClientSession*, CloseReason>> timedOut;
  for (const auto& [session, owned] : sessions_)
    if (const std::optional<CloseReason> reason = session->checkTimeouts(now))
      timedOut.emplace_back(session, *reason);
  for (const auto& [session, reason] : timedOut) {
    const bool isOpen = sessions_.count(session) > 0;  // the end of another one may have led to its eviction
    if (isOpen) onSessionClosed(*session, reason);
  }
  freeBufferMemory();
}

// Evicts the clients whose buffers contain most until the limit is kept. Until then every request is refused.
void ClientListener::freeBufferMemory() {
  while (context_.bufferMemory.exhausted()) {
    ClientSession* const session = selectLargestBuffers(sessions_);
    if (!session) return;
    ++statistics_.evicted;
    session->sendEvictionNotice();
    onSessionClosed(*session, CloseReason::Evicted);
  }
}

// ---- graceful shutdown -----------------------------------------------------------------------------------
void ClientListener::drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  done_ = std::move(done);
  startTimer(shutdownTimer_.get(), kShutdownAcceptPeriod);
}

void ClientListener::onShutdownTimer() {
  if (stoppedAcceptingAt_)
    done_();
  else
    stopAccepting();
}

void ClientListener::stopAccepting() {
  const bool backlogEmpty = acceptBacklog();
  const TimePoint now = dispatcher_.now();
  if (!backlogRetryDeadline_) backlogRetryDeadline_ = now + kBacklogRetryPeriod;
  if (!backlogEmpty && now < *backlogRetryDeadline_) {
    startTimer(shutdownTimer_.get(), kAcceptRetryDelay);
    return;
  }
  listener_.reset();
  stoppedAcceptingAt_ = dispatcher_.now();
  for (const auto& [session, owned] : sessions_)
    // A client that has connected just now still gets a response, or the time to send its first request.
    if (session->active() && session->idle()) session->startLingeringClose();
  if (sessions_.empty()) {
    done_();
    return;
  }
  Duration longestDeadline{};
  for (const ClassSettings& settings : config_.settings.classes)
    longestDeadline = std::max(longestDeadline, settings.deadline);
  startTimer(shutdownTimer_.get(), longestDeadline + kShutdownGrace);
}

}  // namespace stonebay
