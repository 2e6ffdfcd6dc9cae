#include "downstream/pg/client_session.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "codec/pg/pg.hpp"

namespace stonebay {
namespace {

// A session is closed if its first request or the rest of a message does not arrive within these times.
constexpr Duration kFirstRequestTimeout = std::chrono::milliseconds(2000);
constexpr Duration kIncompleteMessageTimeout = std::chrono::milliseconds(1500);
// A new client cannot be evicted within this time, so that it can send its startup message however many
// others connect.
constexpr Duration kMinStartupTime = std::chrono::milliseconds(25);
// A throttled client stays at least this long, so that it cannot come again at the full speed of the event
// loop.
constexpr Duration kMinThrottledTime = std::chrono::milliseconds(50);
// A client that sends a message in pieces, or reads slowly, is not evicted within these times.
constexpr Duration kMinMessageTime = std::chrono::milliseconds(75);
constexpr Duration kMinReadTime = std::chrono::milliseconds(1000);
constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kMaxLingerBytes = 1 << 20;
// When a client for which there is no room may come again.
constexpr Duration kNoRoomRetryAfter = std::chrono::milliseconds(100);

// The field of an error that says when to come again, in milliseconds rounded up; empty if it does not say.
std::string retryAfterDetail(Duration retryAfter) {
  constexpr Duration kAlmostAMillisecond = std::chrono::microseconds(999);
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter + kAlmostAMillisecond);
  return time.count() > 0 ? std::to_string(time.count()) : std::string();
}

std::string noRoomResponse(const char* text, const Config& config) {
  const Duration retryAfter = std::min(kNoRoomRetryAfter, config.settings.maxRetryAfter);
  return pg::errorResponse("FATAL", "53300", text, retryAfterDetail(retryAfter));
}

}  // namespace

ClientSession::ClientSession(SessionContext& context, ClientSessionOwner& owner, evutil_socket_t fd)
    : context_(context),
      owner_(owner),
      connection_(context.base, fd, *this, context.bufferMemory),
      lastActiveAt_(context.dispatcher.now()) {}

ClientSession::~ClientSession() {
  if (inFlightRequest_ != 0) endRequestOfAbsentClient();
  context_.cancelKeys.remove(cancelKey_);
  releaseClientRequestId();
  releaseMemory();
}

// ---- responses -------------------------------------------------------------------------------------------
void ClientSession::onResponse(Buffer response) {
  inFlightRequest_ = 0;
  evbuffer_add_buffer(connection_.output(), response.get());
  finishResponse();
}

void ClientSession::onRejected(Duration retryAfter) {
  mayRunOnlyOnce_ = false;  // it has not run
  failRequest(pg::errorResponse("ERROR", "53300", "no data server can take this request now",
                                retryAfterDetail(retryAfter)));
}

void ClientSession::onFailed() {
  failRequest(pg::errorResponse("ERROR", "40003", "the request may have run; its outcome is unknown"));
}

void ClientSession::cancelRequest() {
  if (inFlightRequest_ == 0) return;
  endRequestOfAbsentClient();
  failRequest(pg::errorResponse("ERROR", "57014", "canceled by its client"));
}

// The attempts are cancelled, but an endpoint may be working on one already.
void ClientSession::endRequestOfAbsentClient() {
  if (!context_.dispatcher.hasAttempts(inFlightRequest_)) mayRunOnlyOnce_ = false;
  context_.dispatcher.onClientLeft(inFlightRequest_);
}

void ClientSession::failRequest(const std::string& errorResponse) {
  inFlightRequest_ = 0;
  append(connection_.output(), errorResponse);
  finishResponse();
}

void ClientSession::finishResponse() {
  releaseClientRequestId();
  releaseMemory();
  lastActiveAt_ = context_.dispatcher.now();
  incompleteSince_ = TimePoint();  // restarts the timeout of input that is left
  append(connection_.output(), pg::readyForQuery());
  if (active_ && owner_.stoppedAcceptingAt() && idle()) {
    startLingeringClose();
  } else if (connection_.unread() > 0) {
    connection_.scheduleRead();  // deferred: the dispatcher's batch or this message is still being processed
  }
}

// A fatal error closes the session, because the message is not read to its end.
void ClientSession::rejectMessage(const ClientError& error) {
  const bool fatal = error.severity == Severity::Fatal;
  append(connection_.output(), pg::errorResponse(fatal ? "FATAL" : "ERROR", error.code, error.text));
  if (!fatal) {
    throttle_.onInvalidMessage(context_.dispatcher.now());
    finishResponse();
    return;
  }
  releaseMemory();
  state_ = State::LingeringClose;
  lastActiveAt_ = context_.dispatcher.now();
  connection_.resumeReading();
  discardInput();
}

void ClientSession::releaseClientRequestId() {
  if (clientRequestId_.empty()) return;
  context_.requestIds.end(clientRequestId_, mayRunOnlyOnce_, context_.dispatcher.now());
  clientRequestId_.clear();
}

// Reserves memory for a message longer than kReadAhead, from its header until its response. Returns false if
// the limit on the memory of all such messages is reached.
bool ClientSession::reserveMemory(std::size_t messageLength) {
  if (messageLength <= ClientConnection::kReadAhead || reservedBytes_ > 0) return true;
  if (!context_.statementMemory.reserve(messageLength)) return false;
  reservedBytes_ = messageLength;
  connection_.setInputLimit(messageLength);
  return true;
}

void ClientSession::releaseMemory() {
  if (reservedBytes_ == 0) return;
  context_.statementMemory.release(reservedBytes_);
  reservedBytes_ = 0;
  connection_.setInputLimit(ClientConnection::kReadAhead);
}

// ---- state -----------------------------------------------------------------------------------------------
EvictionPriority ClientSession::evictionPriority(TimePoint now) const {
  if (closing()) return EvictionPriority::Closing;
  if (inFlightRequest_ != 0) return EvictionPriority::Never;
  if (!active_)
    return now - lastActiveAt_ >= kMinStartupTime ? EvictionPriority::NeverActive : EvictionPriority::Never;
  const auto hasPassed = [now](TimePoint since, Duration time) { return now - since >= time; };
  if (connection_.unsent() > 0)
    return hasPassed(lastActiveAt_, kMinReadTime) ? EvictionPriority::UnreadOutput : EvictionPriority::Never;
  if (connection_.unread() == 0) return EvictionPriority::Idle;
  if (const std::optional<TimePoint> since = throttle_.throttledSince())
    return hasPassed(*since, kMinThrottledTime) ? EvictionPriority::Throttled : EvictionPriority::Never;
  const bool incomplete = incompleteSince_ != TimePoint() && hasPassed(incompleteSince_, kMinMessageTime);
  return incomplete ? EvictionPriority::IncompleteMessage : EvictionPriority::Never;
}

// A message that has been read needs an answer even if its session has to make room. The output is written at
// once, because the session is destroyed before the event loop would write it.
void ClientSession::sendEvictionNotice() {
  if (!closing() && connection_.unread() > 0 && connection_.unsent() == 0)
    append(connection_.output(), noRoomResponse("closed to make room for other clients", context_.config));
  connection_.writeOutput();
}

void ClientSession::refuse() {
  refused_ = true;
  append(connection_.output(), noRoomResponse("too many clients", context_.config));
  connection_.writeOutput();
  startLingeringClose();
}

SessionActivity ClientSession::activity() const {
  if (inFlightRequest_ != 0) return SessionActivity::RequestInFlight;
  if (closing()) return SessionActivity::Other;
  if (connection_.unsent() > 0) return SessionActivity::UnreadOutput;
  if (connection_.unread() == 0) return SessionActivity::Other;
  return throttle_.throttledSince() ? SessionActivity::Throttled : SessionActivity::IncompleteMessage;
}

void ClientSession::startLingeringClose() {
  state_ = State::LingeringClose;
  lastActiveAt_ = context_.dispatcher.now();
  connection_.discardInput();
  connection_.resumeReading();
  if (connection_.unsent() == 0) onOutputFlushed();
}

// Clients that occupy a connection without sending requests must be disconnected within 3 s.
std::optional<CloseReason> ClientSession::checkTimeouts(TimePoint now) {
  if (throttle_.throttled() && !closing() && connection_.unread() > 0) connection_.scheduleRead();
  throttle_.startInterval();
  if (closing())
    return now - lastActiveAt_ < kLingerTimeout ? std::nullopt : std::optional(CloseReason::Finished);
  if (!connection_.reading() && connection_.peerClosed()) return CloseReason::PeerClosed;
  if (inFlightRequest_ != 0 || connection_.unsent() > 0) return std::nullopt;
  const bool noRequest = !active_ && now - lastActiveAt_ >= kFirstRequestTimeout;
  const bool incomplete =
      incompleteSince_ != TimePoint() && now - incompleteSince_ >= kIncompleteMessageTimeout;
  if (!noRequest && !incomplete) return std::nullopt;
  // The missing input may have arrived just now. It is read before the timeouts are checked again.
  if (connection_.reading() && connection_.hasPendingInput()) return std::nullopt;
  return noRequest ? CloseReason::NoRequest : CloseReason::IncompleteMessage;
}

// ---- input -----------------------------------------------------------------------------------------------
void ClientSession::onOutputFlushed() {
  if (closing())
    connection_.closeOutput();
  else
    onReadable();  // processes input that was left while too much output was unsent
}

void ClientSession::onReadable() {
  if (closing()) {
    discardInput();
    return;
  }
  arrivals_.record(connection_.unread(), context_.dispatcher.earliestArrival());
  if (!connection_.reading() && connection_.peerClosed()) {
    owner_.onSessionClosed(*this, CloseReason::PeerClosed);
    return;
  }
  // Each call processes one message, or leaves it in the input until the rest has arrived.
  while (canProcessMessage() && (state_ == State::Startup ? processStartupMessage() : processMessage()))
    incompleteSince_ = TimePoint();
  if (closing()) return;
  if (incompleteSince_ == TimePoint() && connection_.unread() > 0)
    incompleteSince_ = context_.dispatcher.now();
  connection_.updateReading();
}

void ClientSession::discardInput() {
  discardedBytes_ += connection_.discardInput();
  if (discardedBytes_ > kMaxLingerBytes) owner_.onSessionClosed(*this, CloseReason::TooMuchInput);
}

// ---- startup ---------------------------------------------------------------------------------------------
// Returns false if no more input can be processed now.
bool ClientSession::processStartupMessage() {
  char start[pg::kCancelRequestSize] = {};
  const std::size_t available = std::min(connection_.unread(), sizeof start);
  evbuffer_copyout(connection_.input(), start, available);
  const StartupMessage message = parseStartupMessage({start, available}, connection_.unread());
  evbuffer_drain(connection_.input(), message.length);
  arrivals_.consume(message.length);
  switch (message.kind) {
    case StartupMessage::Kind::Incomplete:
      return false;
    case StartupMessage::Kind::Malformed:
      rejectMessage({Severity::Fatal, "08P01", "malformed startup message"});
      return false;
    case StartupMessage::Kind::EncryptionRequest:
      append(connection_.output(), "N");
      throttle_.onTrivialMessage(context_.dispatcher.now());
      return true;
    case StartupMessage::Kind::CancelRequest:
      handleCancelRequest(message.cancelKey);
      return false;
    case StartupMessage::Kind::Startup:
      completeStartup();
      return true;
    case StartupMessage::Kind::UnsupportedVersion:
      rejectMessage({Severity::Fatal, "0A000", "only version 3 of the protocol is spoken here"});
      return false;
  }
  return false;
}

void ClientSession::completeStartup() {
  cancelKey_ = context_.cancelKeys.add(*this);
  append(connection_.output(), pg::greeting(cancelKey_.processId, cancelKey_.secret));
  state_ = State::Ready;
  connection_.restartWriteTimeout();
  if (connection_.unread() > 0) connection_.scheduleRead();
}

// A CancelRequest gets no response on its own connection, whether or not its key belongs to a session.
void ClientSession::handleCancelRequest(const std::optional<CancelKey>& key) {
  ClientSession* const session = key ? context_.cancelKeys.find(*key) : nullptr;
  if (session) session->cancelRequest();
  startLingeringClose();
}

// ---- queries ---------------------------------------------------------------------------------------------
// Returns false if no more input can be processed now.
bool ClientSession::processMessage() {
  char bytes[pg::kMessageHeaderSize];
  if (evbuffer_copyout(connection_.input(), bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes))
    return false;
  const auto header = pg::parseMessageHeader(bytes);
  if (!header) {
    rejectMessage({Severity::Fatal, "08P01", "a message's length is out of range"});
    return false;
  }
  if (header->type != 'Q' && header->type != 'X') {
    rejectMessage({Severity::Fatal, "0A000", "only simple queries are spoken here"});
    return false;
  }
  const std::size_t length = pg::kMessageHeaderSize + header->bodySize;
  if (!reserveMemory(length)) {
    rejectMessage({Severity::Fatal, "53200", "too many long statements at once"});
    return false;
  }
  if (connection_.unread() < length) return false;
  evbuffer_drain(connection_.input(), pg::kMessageHeaderSize);
  arrivals_.consume(length);
  if (!active_) owner_.onFirstRequest(*this);
  active_ = true;
  if (header->type == 'X') {
    startLingeringClose();
    return false;
  }
  Buffer body = newBuffer();
  evbuffer_remove_buffer(connection_.input(), body.get(), header->bodySize);
  handleStatement(std::move(body));
  return true;
}

void ClientSession::handleStatement(Buffer body) {
  ClientStatement statement(std::move(body));
  if (const auto error = statement.parse()) {
    rejectMessage(*error);
    return;
  }
  if (statement.empty()) {
    append(connection_.output(), pg::message('I', {}));  // EmptyQueryResponse
    throttle_.onTrivialMessage(context_.dispatcher.now());
    finishResponse();
    return;
  }
  // Endpoints identify a request by this id, and each id gets one final response.
  if (context_.requestIds.contains(statement.id())) {
    rejectMessage({Severity::Error, "42710", "this id is that of another request, open or recent"});
    return;
  }
  const std::optional<int> classIndex = statement.classIndex(context_.config);
  if (!classIndex) {
    rejectMessage({Severity::Error, "42704", "unknown class"});
    return;
  }
  submit(statement, *classIndex);
}

void ClientSession::submit(ClientStatement& statement, int classIndex) {
  throttle_.onRequest();
  const TimePoint arrivedAt = arrivals_.arrivalOfLastConsumedByte();
  // The session cannot be closed while its client keeps sending requests. Requests that arrive after
  // accepting has stopped are rejected with a Retry-After, so that the client repeats them at another proxy.
  const std::optional<TimePoint> stoppedAcceptingAt = owner_.stoppedAcceptingAt();
  if (stoppedAcceptingAt && arrivedAt > *stoppedAcceptingAt) {
    onRejected(std::chrono::milliseconds(1));
    return;
  }
  if (context_.bufferMemory.exhausted()) {
    onRejected(std::min(kNoRoomRetryAfter, context_.config.settings.maxRetryAfter));
    return;
  }
  const Request request =
      statement.toRequest(context_.config, classIndex, arrivedAt, context_.dispatcher.unixNow());
  clientRequestId_ = statement.id();
  context_.requestIds.begin(clientRequestId_);
  const auto index = static_cast<std::size_t>(classIndex);
  mayRunOnlyOnce_ = context_.config.settings.classes[index].idempotency != Idempotency::Idempotent;
  inFlightRequest_ = context_.dispatcher.submit(*this, request, statement.takeForwardedRequest());
}

}  // namespace stonebay
