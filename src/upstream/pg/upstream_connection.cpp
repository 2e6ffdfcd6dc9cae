#include "upstream/pg/upstream_connection.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string>

#include "log/log.hpp"

namespace stonebay {
namespace {

constexpr std::string_view kUser = "api";
constexpr std::string_view kDatabase = "ledger";
constexpr std::string_view kHealthCheckStatement = "SHOW load";
// Time from the first byte of a response to its end. An endpoint writes a response in one piece, so a longer
// wait means that a message is shorter than its length field says.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(250);
// An endpoint answers an empty query at once.
constexpr Duration kSynchronizationTimeout = std::chrono::milliseconds(100);
// SQLSTATE internal_error: a failure of the endpoint itself. It is not logged here, because the log line of
// the request shows the attempt.
constexpr std::string_view kInternalError = "XX000";

// Returns the size of a part of the socket's send queue: SIOCOUTQ, the bytes that the peer has not
// acknowledged, or SIOCOUTQNSD, those of them that have not been sent. 0 if the system does not tell.
std::size_t sendQueueBytes(evutil_socket_t fd, unsigned long part) {
  int bytes = 0;
  return ioctl(fd, part, &bytes) == 0 ? static_cast<std::size_t>(std::max(bytes, 0)) : 0;
}

}  // namespace

UpstreamConnection::UpstreamConnection(event_base* base, UpstreamConnectionHandler& handler,
                                       EndpointId endpoint, const Address& address, Duration connectTimeout)
    : handler_(handler),
      endpoint_(endpoint),
      address_(address),
      bev_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      timer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<UpstreamConnection*>(self)->onTimeout(); },
          this)) {
  append(output(), pg::startupMessage(kUser, kDatabase));
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
  const int result =
      bufferevent_socket_connect(bev_.get(), address_.data(), static_cast<int>(address_.size()));
  // A connect that fails immediately is reported by the timer, so that the handler is not called before this
  // constructor has returned.
  startTimer(timer_.get(), result == 0 ? connectTimeout : Duration(0));
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* self) { static_cast<UpstreamConnection*>(self)->onReadable(); },
      nullptr,
      [](bufferevent*, short events, void* self) { static_cast<UpstreamConnection*>(self)->onEvent(events); },
      this);
}

UpstreamConnection::~UpstreamConnection() {
  const evutil_socket_t fd = bufferevent_getfd(bev_.get());
  if (fd < 0) return;
  // A plain close would still send what is in the socket's buffer, whenever the endpoint reads again.
  if (!isDelivered()) {
    const linger dropUnsent{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &dropUnsent, sizeof dropUnsent);
  }
  // bufferevent_free closes the descriptor only in the next pass of the event loop, but the endpoint has to
  // see the end of an attempt before the next attempt is sent.
  bufferevent_setfd(bev_.get(), -1);
  evutil_closesocket(fd);
}

std::size_t UpstreamConnection::unsentBytes() const {
  return evbuffer_get_length(output()) + sendQueueBytes(bufferevent_getfd(bev_.get()), SIOCOUTQNSD);
}

bool UpstreamConnection::isDelivered() const {
  return flushed() && sendQueueBytes(bufferevent_getfd(bev_.get()), SIOCOUTQ) == 0;
}

// The peek detects data that libevent has not read yet, and also that the endpoint has closed the connection.
bool UpstreamConnection::isReusable() const {
  if (evbuffer_get_length(input()) > 0) return false;
  char byte = 0;
  const ssize_t peeked = recv(bufferevent_getfd(bev_.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void UpstreamConnection::assign(UpstreamRequest& request) {
  request_ = &request;
  request.connection = this;
  event_del(timer_.get());
  responseMessages_ = newBuffer();
  parser_.beginResponse(request.isHealthCheck());
}

void UpstreamConnection::synchronize() {
  synchronizing_ = true;
  parser_.beginSynchronization();
  append(output(), pg::query({}));
  startTimer(timer_.get(), kSynchronizationTimeout);
}

UpstreamRequest* UpstreamConnection::detach() {
  UpstreamRequest* const request = request_;
  if (request) request->connection = nullptr;
  request_ = nullptr;
  return request;
}

void UpstreamConnection::writeRequest(TimePoint now) {
  request_->written = true;
  request_->writtenAt = now;
  if (request_->isHealthCheck()) {
    append(output(), pg::query(kHealthCheckStatement));
    return;
  }
  // The statement is added by reference, without a copy, and its deadline, if any, is replaced by the
  // remaining time.
  const ForwardedRequest& message = *request_->message;
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(request_->limits.response - now);
  std::string digits;
  if (message.hasRemainingTime) digits = std::to_string(std::max<std::int64_t>(remaining.count(), 1));
  const std::size_t length = evbuffer_get_length(message.beforeRemainingTime.get()) + digits.size() +
                             evbuffer_get_length(message.afterRemainingTime.get());
  append(output(), pg::queryHeader(length));
  evbuffer_add_buffer_reference(output(), message.beforeRemainingTime.get());
  append(output(), digits);
  evbuffer_add_buffer_reference(output(), message.afterRemainingTime.get());
}

void UpstreamConnection::startIdleTimer(Duration maxIdleTime) { startTimer(timer_.get(), maxIdleTime); }

// ---- events ----------------------------------------------------------------------------------------------
void UpstreamConnection::onEvent(short events) {
  if (events & BEV_EVENT_CONNECTED) {
    const int enabled = 1;
    setsockopt(bufferevent_getfd(bev_.get()), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  }
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) handler_.onConnectionLost(*this, parser_.statusIfLost());
}

void UpstreamConnection::onTimeout() {
  if (request_ && !synchronizing_)
    handler_.onMalformedResponse(*this, ProtocolError::IncompleteResponse);
  else
    handler_.onConnectionLost(*this, parser_.statusIfLost());
}

void UpstreamConnection::onReadable() {
  ReadStatus status = ReadStatus::Progress;
  while (status == ReadStatus::Progress && evbuffer_get_length(input()) > 0) status = readMessage();
  if (status != ReadStatus::Destroyed) limitResponseTime();
}

// ---- responses -------------------------------------------------------------------------------------------
UpstreamConnection::ReadStatus UpstreamConnection::readMessage() {
  const bool expectsResponse = synchronizing_ || (request_ != nullptr && request_->written);
  const bool responseDue = expectsResponse && flushed();
  if (!connecting() && !responseDue) return fail(ProtocolError::UnsolicitedData);
  char bytes[pg::kMessageHeaderSize];
  if (evbuffer_copyout(input(), bytes, sizeof bytes) < static_cast<ev_ssize_t>(sizeof bytes))
    return ReadStatus::NeedMoreInput;
  const auto header = pg::parseMessageHeader(bytes);
  if (!header || !parser_.accepts(*header)) return fail(ProtocolError::UnexpectedMessage);
  if (evbuffer_get_length(input()) < pg::kMessageHeaderSize + header->bodySize)
    return ReadStatus::NeedMoreInput;
  if (header->type == 'D' && !request_->isHealthCheck()) return moveRow(*header);
  return parseMessage(*header);
}

// Moves the row of a statement's response to the messages for the client without reading its value.
UpstreamConnection::ReadStatus UpstreamConnection::moveRow(const pg::MessageHeader& header) {
  char bytes[pg::kMessageHeaderSize + pg::kRowHeaderSize];
  const bool complete =
      evbuffer_copyout(input(), bytes, sizeof bytes) == static_cast<ev_ssize_t>(sizeof bytes);
  char rowHeader[pg::kRowHeaderSize];
  std::copy(bytes + pg::kMessageHeaderSize, bytes + sizeof bytes, rowHeader);
  if (!complete || !parser_.parseRowHeader(rowHeader, header.bodySize))
    return fail(ProtocolError::MalformedDataRow);
  evbuffer_remove_buffer(input(), responseMessages_.get(), pg::kMessageHeaderSize + header.bodySize);
  return ReadStatus::Progress;
}

UpstreamConnection::ReadStatus UpstreamConnection::parseMessage(const pg::MessageHeader& header) {
  const std::size_t length = pg::kMessageHeaderSize + header.bodySize;
  const bool wasConnecting = connecting();
  const unsigned char* const bytes = evbuffer_pullup(input(), static_cast<ev_ssize_t>(length));
  const std::string_view message(reinterpret_cast<const char*>(bytes), length);
  const ParseStatus status = parser_.parse(header.type, message.substr(pg::kMessageHeaderSize));
  if (status == ParseStatus::Malformed) return fail(parser_.protocolError());
  if (header.type == 'E') logServerError();
  if (status == ParseStatus::AuthenticationRequired)
    logEvent(LogLevel::Warning, "server_requires_authentication");
  if (status == ParseStatus::AuthenticationRequired || status == ParseStatus::Fatal) {
    handler_.onConnectionLost(*this, parser_.statusIfLost());
    return ReadStatus::Destroyed;
  }
  // Of the messages that get here, only RowDescription and CommandComplete are forwarded to the client.
  if (header.type == 'T' || header.type == 'C')
    evbuffer_remove_buffer(input(), responseMessages_.get(), length);
  else
    evbuffer_drain(input(), length);
  return status == ParseStatus::Ready ? onReadyForQuery(wasConnecting) : ReadStatus::Progress;
}

UpstreamConnection::ReadStatus UpstreamConnection::onReadyForQuery(bool startupCompleted) {
  if (synchronizing_) return onSynchronizationCompleted();
  if (startupCompleted) {
    handler_.onConnected(*this);
  } else {
    deliverResponse();
    if (!isReusable()) {
      handler_.onNotReusable(*this);
      return ReadStatus::Destroyed;
    }
  }
  return handler_.onReady(*this) ? ReadStatus::Progress : ReadStatus::Destroyed;
}

UpstreamConnection::ReadStatus UpstreamConnection::onSynchronizationCompleted() {
  if (!isReusable()) return fail(ProtocolError::UnsolicitedData);
  event_del(timer_.get());
  synchronizing_ = false;
  unsettled_ = false;
  if (request_) parser_.beginResponse(request_->isHealthCheck());
  return handler_.onSynchronized(*this) ? ReadStatus::Progress : ReadStatus::Destroyed;
}

UpstreamConnection::ReadStatus UpstreamConnection::fail(ProtocolError error) {
  handler_.onMalformedResponse(*this, error);
  return ReadStatus::Destroyed;
}

void UpstreamConnection::deliverResponse() {
  UpstreamRequest& request = *detach();
  unsettled_ = true;
  event_del(timer_.get());
  handler_.onResponse(request, parser_.response(), std::move(responseMessages_));
}

void UpstreamConnection::limitResponseTime() {
  if (!request_ || !request_->written) return;
  const bool started = parser_.responseStarted() || evbuffer_get_length(input()) > 0;
  if (started && !event_pending(timer_.get(), EV_TIMEOUT, nullptr))
    startTimer(timer_.get(), kResponseTimeout);
}

// Logs errors of statements only. An endpoint that is not ready answers each health check with an error, and
// a log line for each would crowd out those of statements.
void UpstreamConnection::logServerError() const {
  const ServerResponse& response = parser_.response();
  const bool ofStatement = request_ != nullptr && !request_->isHealthCheck();
  if (!ofStatement || response.status != AttemptStatus::Error || response.errorCode == kInternalError) return;
  logEvent(LogLevel::Warning, "server_error", {{"code", response.errorCode}, {"text", response.errorText}});
}

}  // namespace stonebay
