// One client connection: performs the startup, processes queries one at a time and responds to them in order.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "downstream/pg/arrival_times.hpp"
#include "downstream/pg/client_connection.hpp"
#include "downstream/pg/client_statement.hpp"
#include "downstream/pg/message_throttle.hpp"
#include "downstream/pg/session_context.hpp"
#include "downstream/pg/startup_message.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Why a session is closed.
enum class CloseReason {
  Disconnected,       ///< the client closed the connection, or it failed or timed out
  Finished,           ///< closed by the proxy: the linger timeout has passed
  NoRequest,          ///< the client sent no request within the timeout for the first one
  IncompleteMessage,  ///< the rest of a message did not arrive in time
  PeerClosed,         ///< the client closed its end while reading was paused
  TooMuchInput,       ///< the client kept sending while the session was being closed
  Evicted,            ///< closed to make room for another client
};

/// Owns the sessions and receives their events.
class ClientSessionOwner {
 public:
  /// The session has to be closed. Destroys it.
  virtual void onSessionClosed(ClientSession& session, CloseReason reason) = 0;
  /// The client has sent its first request. The session is active from then on.
  virtual void onFirstRequest(ClientSession& session) = 0;
  /// When the graceful shutdown stopped accepting connections; std::nullopt before that.
  virtual std::optional<TimePoint> stoppedAcceptingAt() const = 0;

 protected:
  ~ClientSessionOwner() = default;
};

/// To make room for a new client, the session with the highest priority is evicted first. Never: not evicted.
enum class EvictionPriority {
  Never,
  UnreadOutput,       ///< the client does not read its output
  IncompleteMessage,  ///< the client does not complete its message
  Idle,               ///< the client may send its next request
  Throttled,          ///< the client keeps sending messages that need no endpoint
  NeverActive,        ///< the client has sent no message
  Closing             ///< the session is being closed
};

/// What a session waits for, for the log.
enum class SessionActivity {
  RequestInFlight,    ///< for the response to its request
  Throttled,          ///< it has input, but has used up the messages that it may send without a request
  IncompleteMessage,  ///< for the rest of a message
  UnreadOutput,       ///< for the client to read its output
  Other               ///< for the first request, the next request or the end of its connection
};

/// Processes one request at a time. Requests that are pipelined behind it wait in the input, which is
/// bounded.
class ClientSession final : public ResponseHandler, private ClientConnectionHandler {
 public:
  /// Takes ownership of the descriptor of an accepted connection.
  ClientSession(SessionContext& context, ClientSessionOwner& owner, evutil_socket_t fd);
  ~ClientSession() override;
  ClientSession(const ClientSession& other) = delete;
  ClientSession& operator=(const ClientSession& other) = delete;

  void onResponse(Buffer response) override;
  void onRejected(Duration retryAfter) override;
  void onFailed() override;
  bool clientHasLeft() const override { return connection_.peerClosed(); }

  /// Whether the client has sent a request.
  bool active() const { return active_; }
  /// Whether the session is open and has neither a request in flight nor any input, including input that has
  /// not been read from the socket yet.
  bool idle() const { return inFlightRequest_ == 0 && !closing() && !connection_.hasInput(); }
  /// Whether the client was refused, see refuse().
  bool refused() const { return refused_; }
  /// Bytes of input that is not processed and of output that is not sent.
  std::size_t bufferedBytes() const { return connection_.unread() + connection_.unsent(); }
  bool hasRequestInFlight() const { return inFlightRequest_ != 0; }
  EvictionPriority evictionPriority(TimePoint now) const;
  /// Whether the client has sent something that the session has not read yet, or has closed its end.
  bool hasPendingInput() const { return connection_.hasPendingInput(); }
  /// Writes the output that is left, and tells the client that it is evicted if it may be waiting for the
  /// answer to a message. Must be followed by the destruction of the session.
  void sendEvictionNotice();
  SessionActivity activity() const;
  /// The latest of these times: the client connected, a response was written, the lingering close started.
  TimePoint lastActiveAt() const { return lastActiveAt_; }

  /// Tells a client that has just connected that there is no room for it, and starts the lingering close.
  void refuse();
  /// Stops processing input. The connection is closed when all output has been sent and the client has closed
  /// its end, or after a timeout. Closing it while there is unread input would reset it, and the client would
  /// lose the output.
  void startLingeringClose();
  /// Cancels the request in flight, if any, on behalf of its client.
  void cancelRequest();
  /// Resumes processing if it was throttled. Returns why the session has to be closed, or std::nullopt if it
  /// stays open.
  std::optional<CloseReason> checkTimeouts(TimePoint now);
  /// The id that the client gave to the request in flight; empty if there is none.
  const std::string& clientRequestId() const { return clientRequestId_; }

 private:
  // No message is processed while this many bytes of output or more are unsent.
  static constexpr std::size_t kMaxUnsentOutput = 16 << 10;

  enum class State { Startup, Ready, LingeringClose };

  bool closing() const { return state_ == State::LingeringClose; }

  void onReadable() override;
  void onOutputFlushed() override;
  void onDisconnected() override { owner_.onSessionClosed(*this, CloseReason::Disconnected); }

  bool canProcessMessage() const {
    return inFlightRequest_ == 0 && !closing() && !throttle_.throttled() &&
           connection_.unsent() < kMaxUnsentOutput;
  }
  void discardInput();
  bool processStartupMessage();
  void completeStartup();
  void handleCancelRequest(const std::optional<CancelKey>& key);
  bool processMessage();
  void handleStatement(Buffer body);

  void submit(ClientStatement& statement, int classIndex);
  void endRequestOfAbsentClient();
  void failRequest(const std::string& errorResponse);
  void rejectMessage(const ClientError& error);
  void finishResponse();
  void releaseClientRequestId();
  bool reserveMemory(std::size_t messageLength);
  void releaseMemory();

  SessionContext& context_;
  ClientSessionOwner& owner_;
  ClientConnection connection_;
  State state_ = State::Startup;
  bool active_ = false;
  bool refused_ = false;
  MessageThrottle throttle_;        // its intervals are those of checkTimeouts
  CancelKey cancelKey_;             // set at the end of the startup
  RequestId inFlightRequest_ = 0;   // 0 if there is none
  bool mayRunOnlyOnce_ = false;     // that request is not idempotent, and may have been executed
  std::string clientRequestId_;     // the id that the client gave to that request; empty if there is none
  std::size_t reservedBytes_ = 0;   // from SessionContext::statementMemory
  std::size_t discardedBytes_ = 0;  // input discarded while the session is being closed
  ArrivalTimes arrivals_;
  TimePoint lastActiveAt_{};
  TimePoint incompleteSince_{};  // since when there is input that waits to be processed; 0 if there is none
};

}  // namespace stonebay
