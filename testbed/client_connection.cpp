#include "testbed/client_connection.hpp"

#include <sys/socket.h>

#include <cstdlib>
#include <utility>

#include "codec/pg/pg.hpp"
#include "testbed/connection_io.hpp"
#include "testbed/socket_address.hpp"
#include "testbed/unique_fd.hpp"

namespace stonebay::testbed {
namespace {

// Length and code of a CancelRequest; the body of the BackendKeyData message follows.
const std::string kCancelRequestPrefix("\0\0\0\x10\x04\xd2\x16\x2e", 8);
constexpr std::string_view kTooManyConnections = "53300";  // SQLSTATE
constexpr std::string_view kCannotConnectNow = "57P03";
constexpr std::string_view kDetailField("\0D", 2);  // in an ErrorResponse

}  // namespace

ClientConnection::ClientConnection(RunContext& context, ClientConnectionHandler& handler,
                                   const sockaddr_in& target, Time answerGrace)
    : context_(context),
      handler_(handler),
      target_(target),
      answerGrace_(answerGrace),
      connection_(bufferevent_socket_new(context.eventBase(), -1, BEV_OPT_CLOSE_ON_FREE)),
      deadline_(context, [this] { onDeadline(); }),
      leave_(context, [this] { onLeaveDue(); }) {
  bufferevent_setcb(
      connection_.get(),
      [](bufferevent* /*connection*/, void* self) { static_cast<ClientConnection*>(self)->onReadable(); },
      nullptr,
      [](bufferevent* /*connection*/, short events, void* self) {
        static_cast<ClientConnection*>(self)->onEvent(events);
      },
      this);
  write(connection_.get(), pg::startupMessage("api", "ledger"));
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  bufferevent_socket_connect(connection_.get(), asSockaddr(target), sizeof target);
}

void ClientConnection::send(ClientRequest request) {
  request_ = std::move(request);
  hasRow_ = false;
  isRejected_ = false;
  value_.clear();
  write(connection_.get(), pg::query(request_->statement));
  deadline_.startIn(request_->deadline + answerGrace_ - context_.now());
  if (request_->leavesAt) leave_.startIn(*request_->leavesAt - context_.now());
}

void ClientConnection::onEvent(short events) {
  if ((events & BEV_EVENT_CONNECTED) != 0) disableNagle(bufferevent_getfd(connection_.get()));
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) close();
}

void ClientConnection::onReadable() {
  evbuffer* const input = bufferevent_get_input(connection_.get());
  PgMessage message;
  for (;;) {
    const ReadStatus status = readMessage(input, message);
    if (status == ReadStatus::Malformed) return close();
    if (status == ReadStatus::Incomplete || !onMessage(message)) return;
  }
}

bool ClientConnection::onMessage(const PgMessage& message) {
  if (message.type == 'D') onRow(message.body);
  if (message.type == 'E') onError(message.body);
  if (message.type == 'K') cancelKey_ = message.body;
  return message.type != 'Z' || onReadyForQuery();
}

void ClientConnection::onRow(std::string_view body) {
  if (hasRow_) handler_.onUnexpectedResponse();
  hasRow_ = true;
  if (const auto value = pg::parseSingleColumn(body)) value_ = std::string(*value);
}

void ClientConnection::onError(std::string_view body) {
  const auto error = pg::parseErrorResponse(body);
  isRejected_ = error.code == kTooManyConnections || error.code == kCannotConnectNow;
  retryAfter_ = Time(0);
  const std::size_t detail = body.find(kDetailField);
  if (detail != std::string_view::npos)
    retryAfter_ = std::chrono::milliseconds(std::atoi(body.data() + detail + kDetailField.size()));
}

bool ClientConnection::onReadyForQuery() {
  if (!isGreeted_) {
    isGreeted_ = true;
    return true;
  }
  if (!request_) {
    handler_.onUnexpectedResponse();
    return true;
  }
  deadline_.stop();
  leave_.stop();
  const ClientRequest request = *std::exchange(request_, std::nullopt);
  ClientResponse response;
  if (hasRow_)
    response.result = RequestResult::Served;
  else if (isRejected_)
    response.result = RequestResult::Rejected;
  response.value = value_;
  response.retryAfter = retryAfter_;
  return handler_.onResponse(*this, request, response);
}

// After a CancelRequest the connection stays open because the server still answers the cancelled request.
void ClientConnection::onLeaveDue() {
  if (!request_) return;
  ClientRequest request = *request_;
  request.cancels = request.cancels && !cancelKey_.empty();
  if (request.cancels)
    sendCancelRequest();
  else
    request_.reset();
  handler_.onLeave(*this, request);
}

void ClientConnection::sendCancelRequest() const {
  const UniqueFd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (fd.get() < 0 || connect(fd.get(), asSockaddr(target_), sizeof target_) != 0) return;
  const std::string message = kCancelRequestPrefix + cancelKey_;
  ::send(fd.get(), message.data(), message.size(), MSG_NOSIGNAL);
}

void ClientConnection::onDeadline() {
  leave_.stop();
  const ClientRequest request = *std::exchange(request_, std::nullopt);
  handler_.onDeadline(*this, request);
}

void ClientConnection::close() {
  const std::optional<ClientRequest> request = std::exchange(request_, std::nullopt);
  handler_.onClosed(*this, request);
}

}  // namespace stonebay::testbed
