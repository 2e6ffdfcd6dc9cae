#include "downstream/pg/client_connection.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace stonebay {
namespace {

constexpr timeval kWriteTimeout{10, 0};  // 10 s, for a client that does not read its responses
constexpr short kDisconnectEvents = BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT;

ClientConnectionHandler& handlerOf(void* context) { return *static_cast<ClientConnectionHandler*>(context); }

void countBytes(evbuffer* /*buffer*/, const evbuffer_cb_info* change, void* memory) {
  static_cast<BufferMemory*>(memory)->add(change->n_added);
  static_cast<BufferMemory*>(memory)->remove(change->n_deleted);
}

}  // namespace

ClientConnection::ClientConnection(event_base* base, evutil_socket_t fd, ClientConnectionHandler& handler,
                                   BufferMemory& memory)
    : memory_(memory), bev_(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE)) {
  evbuffer_add_cb(input(), countBytes, &memory_);
  evbuffer_add_cb(output(), countBytes, &memory_);
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  bufferevent_setcb(
      bev_.get(), [](bufferevent*, void* context) { handlerOf(context).onReadable(); },
      [](bufferevent*, void* context) { handlerOf(context).onOutputFlushed(); },
      [](bufferevent*, short events, void* context) {
        if (events & kDisconnectEvents) handlerOf(context).onDisconnected();
      },
      &handler);
  setInputLimit(kReadAhead);
  restartWriteTimeout();
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
}

// Freeing the bufferevent would close the socket in the next pass of the event loop only, and its descriptor
// may be needed at once.
ClientConnection::~ClientConnection() {
  memory_.remove(unread() + unsent());
  const evutil_socket_t descriptor = socket();
  bufferevent_setfd(bev_.get(), -1);
  evutil_closesocket(descriptor);
}

bool ClientConnection::hasPendingInput() const {
  char byte = 0;
  const ssize_t peeked = recv(socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return peeked >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool ClientConnection::peerClosed() const {
  pollfd poller{socket(), POLLRDHUP, 0};
  return poll(&poller, 1, 0) > 0;
}

void ClientConnection::setInputLimit(std::size_t bytes) {
  inputLimit_ = bytes;
  bufferevent_setwatermark(bev_.get(), EV_READ, 0, bytes);
}

// Reading is disabled at the limit, because libevent calls the read callback in every pass of the event loop
// while the input is at its high watermark.
void ClientConnection::updateReading() {
  const bool hasRoom = unread() < inputLimit_;
  if (hasRoom == reading_) return;
  reading_ = hasRoom;
  if (hasRoom)
    bufferevent_enable(bev_.get(), EV_READ);
  else
    bufferevent_disable(bev_.get(), EV_READ);
}

void ClientConnection::resumeReading() {
  reading_ = true;
  bufferevent_enable(bev_.get(), EV_READ);
}

void ClientConnection::scheduleRead() {
  bufferevent_trigger(bev_.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

std::size_t ClientConnection::discardInput() const {
  const std::size_t length = unread();
  evbuffer_drain(input(), length);
  return length;
}

// libevent freezes the front of the output, so that only its own write callback removes bytes there.
void ClientConnection::writeOutput() const {
  evbuffer_unfreeze(output(), 1);
  evbuffer_write(output(), socket());
  evbuffer_freeze(output(), 1);
}

void ClientConnection::closeOutput() { shutdown(socket(), SHUT_WR); }

void ClientConnection::restartWriteTimeout() {
  bufferevent_set_timeouts(bev_.get(), nullptr, &kWriteTimeout);
}

}  // namespace stonebay
