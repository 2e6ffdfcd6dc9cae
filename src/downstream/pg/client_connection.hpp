// The socket of a client: its input, which is bounded, and its output.
#pragma once

#include <cstddef>

#include "util/event.hpp"

namespace stonebay {

/// Notified from the event loop, never from within a call of the connection.
class ClientConnectionHandler {
 public:
  virtual void onReadable() = 0;
  virtual void onOutputFlushed() = 0;
  /// Closed or reset by the client, or it has not read its output for long. May destroy the connection.
  virtual void onDisconnected() = 0;

 protected:
  ~ClientConnectionHandler() = default;
};

class ClientConnection {
 public:
  /// What is read of a client before it is known what it sends.
  static constexpr std::size_t kReadAhead = 16 << 10;

  /// Takes an accepted descriptor.
  ClientConnection(event_base* base, evutil_socket_t fd, ClientConnectionHandler& handler);

  evbuffer* input() const { return bufferevent_get_input(bev_.get()); }
  evbuffer* output() const { return bufferevent_get_output(bev_.get()); }
  std::size_t unread() const { return evbuffer_get_length(input()); }
  std::size_t unsent() const { return evbuffer_get_length(output()); }

  /// Whether any input waits: read ahead, or still to be read by this process.
  bool hasInput() const { return unread() > 0 || hasPendingInput(); }
  /// Whether input, or the client's end, has arrived and is still to be read by this process.
  bool hasPendingInput() const;
  /// Whether the client has closed its end, which stands behind what it has sent.
  bool peerClosed() const;

  /// Whether input is read as it arrives.
  bool reading() const { return reading_; }
  /// At least kReadAhead; from then on reading pauses at this much.
  void setInputLimit(std::size_t bytes);
  /// Pauses reading where the input has reached its limit, and resumes it where it has not.
  void updateReading();
  void resumeReading();
  /// Calls ClientConnectionHandler::onReadable from the event loop.
  void scheduleRead();

  /// Returns the number of bytes dropped.
  std::size_t discardInput() const;
  /// Tells the client that nothing more is sent.
  void closeOutput();
  /// Starts the time that the client has to read its output anew.
  void restartWriteTimeout();

 private:
  evutil_socket_t socket() const { return bufferevent_getfd(bev_.get()); }

  BufferEvent bev_;
  std::size_t inputLimit_ = kReadAhead;
  bool reading_ = true;
};

}  // namespace stonebay
