// One client connection to a proxy or an endpoint. Sends one request at a time.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

#include "testbed/audit_records.hpp"
#include "testbed/pg_stream.hpp"
#include "testbed/run_context.hpp"
#include "testbed/timer.hpp"
#include "testbed/workload.hpp"

namespace stonebay::testbed {

/// One attempt of a client: a request, or the retry of a rejected one. To the proxy each is a request of its
/// own, with its own id.
struct ClientRequest {
  std::string id;  ///< of this attempt
  std::string statement;
  const RequestClass* requestClass = nullptr;
  Time attemptAt{};
  Time firstAttemptAt{};
  Time deadline{};
  std::optional<Time> leavesAt;  ///< when the client closes the connection or cancels the request
  bool cancels = false;          ///< cancels instead of closing; needs the key from BackendKeyData
  int retriesLeft = 0;
  int group = 1;
  std::string idempotencyKey;  ///< the same for all attempts of a request; empty for reads
};

struct ClientResponse {
  RequestResult result = RequestResult::Failed;
  std::string value;
  Time retryAfter{};  ///< if rejected
};

class ClientConnection;

/// Owns client connections and handles their events.
class ClientConnectionHandler {
 public:
  ClientConnectionHandler() = default;
  ClientConnectionHandler(const ClientConnectionHandler&) = delete;
  ClientConnectionHandler& operator=(const ClientConnectionHandler&) = delete;
  virtual ~ClientConnectionHandler() = default;

  /// A request was answered.
  /// @return false if the handler destroyed the connection.
  virtual bool onResponse(ClientConnection& connection, const ClientRequest& request,
                          const ClientResponse& response) = 0;
  /// The deadline of the request in flight and the answer grace have passed. The handler must destroy the
  /// connection.
  virtual void onDeadline(ClientConnection& connection, const ClientRequest& request) = 0;
  /// The client leaves before it has a response. If `request.cancels`, it has sent a CancelRequest and the
  /// connection stays open; otherwise the handler must destroy the connection.
  virtual void onLeave(ClientConnection& connection, const ClientRequest& request) = 0;
  /// The connection ended; `request` is the one that was in flight, if any. The handler must destroy the
  /// connection.
  virtual void onClosed(ClientConnection& connection, const std::optional<ClientRequest>& request) = 0;
  /// A response arrived without a request in flight, or with more than one row.
  virtual void onUnexpectedResponse() = 0;
};

class ClientConnection {
 public:
  /// Starts to connect.
  /// @param answerGrace how long after the deadline of a request to wait for its response
  ClientConnection(RunContext& context, ClientConnectionHandler& handler, const sockaddr_in& target,
                   Time answerGrace);
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Sends a request. No other request may be in flight.
  void send(ClientRequest request);

 private:
  void onReadable();
  void onEvent(short events);
  /// @return false if the connection was destroyed.
  bool onMessage(const PgMessage& message);
  void onRow(std::string_view body);
  void onError(std::string_view body);
  bool onReadyForQuery();
  void onDeadline();
  void onLeaveDue();
  void sendCancelRequest() const;
  void close();

  RunContext& context_;
  ClientConnectionHandler& handler_;
  const sockaddr_in target_;
  const Time answerGrace_;
  BufferEvent connection_;
  Timer deadline_;
  Timer leave_;
  std::string cancelKey_;  // body of the BackendKeyData message
  bool isGreeted_ = false;
  std::optional<ClientRequest> request_;  // in flight
  bool hasRow_ = false;
  bool isRejected_ = false;
  std::string value_;
  Time retryAfter_{};
};

}  // namespace stonebay::testbed
