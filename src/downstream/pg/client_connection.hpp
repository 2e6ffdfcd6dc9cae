// The socket of a client: input, which is bounded, and output.
#pragma once

#include <cstddef>

#include "downstream/pg/buffer_memory.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Receives the events of a ClientConnection. Called from the event loop, never from within a call of the
/// connection.
class ClientConnectionHandler {
 public:
  virtual void onReadable() = 0;
  virtual void onOutputFlushed() = 0;
  /// The client has closed or reset the connection, or has not read its output within the write timeout. May
  /// destroy the connection.
  virtual void onDisconnected() = 0;

 protected:
  ~ClientConnectionHandler() = default;
};

class ClientConnection {
 public:
  /// Default limit of unread input in bytes. A longer message needs a higher limit, see setInputLimit.
  static constexpr std::size_t kReadAhead = 16 << 10;

  /// Takes ownership of an accepted descriptor. `memory` counts the bytes of its buffers.
  ClientConnection(event_base* base, evutil_socket_t fd, ClientConnectionHandler& handler,
                   BufferMemory& memory);
  ~ClientConnection();
  ClientConnection(const ClientConnection& other) = delete;
  ClientConnection& operator=(const ClientConnection& other) = delete;

  evbuffer* input() const { return bufferevent_get_input(bev_.get()); }
  evbuffer* output() const { return bufferevent_get_output(bev_.get()); }
  std::size_t unread() const { return evbuffer_get_length(input()); }
  std::size_t unsent() const { return evbuffer_get_length(output()); }

  /// Whether there is input that has not been processed, in the buffer or in the socket.
  bool hasInput() const { return unread() > 0 || hasPendingInput(); }
  /// Whether the socket has input that has not been read, or the connection has ended.
  bool hasPendingInput() const;
  /// Whether the client has closed its end, even if input that it sent before has not been read yet.
  bool peerClosed() const;

  /// Whether reading is enabled.
  bool reading() const { return reading_; }
  /// Sets the number of unread bytes at which reading pauses; at least kReadAhead.
  void setInputLimit(std::size_t bytes);
  /// Pauses reading if the input has reached its limit, and resumes it otherwise.
  void updateReading();
  void resumeReading();
  /// Calls ClientConnectionHandler::onReadable from the event loop.
  void scheduleRead();

  /// Writes as much output as the socket takes now, without waiting for the event loop.
  void writeOutput() const;
  /// Drops all unread input and returns its length in bytes.
  std::size_t discardInput() const;
  /// Shuts down the sending side of the socket.
  void closeOutput();
  /// Restarts the write timeout, within which the client has to read its output.
  void restartWriteTimeout();

 private:
  evutil_socket_t socket() const { return bufferevent_getfd(bev_.get()); }

  BufferMemory& memory_;
  BufferEvent bev_;
  std::size_t inputLimit_ = kReadAhead;
  bool reading_ = true;
};

}  // namespace stonebay
