// One connection to an endpoint: its startup, the queries that it carries one at a time, their responses.
#pragma once

#include <cstddef>

#include "dispatch/dispatcher.hpp"
#include "upstream/pg/response_parser.hpp"
#include "upstream/pg/upstream_request.hpp"
#include "util/event.hpp"

namespace stonebay {

class UpstreamConnection;

/// Owns connections and is notified of what happens on them. Only onConnected and onResponse leave the
/// connection alive for certain.
class UpstreamConnectionHandler {
 public:
  /// The startup is complete; onReady follows.
  virtual void onConnected(UpstreamConnection& connection) = 0;
  /// May take a request. False: the connection has been destroyed.
  virtual bool onReady(UpstreamConnection& connection) = 0;
  /// The connection carries this request no more. `messages` holds the RowDescription, DataRow and
  /// CommandComplete as they came.
  virtual void onResponse(UpstreamRequest& request, const ServerResponse& response, Buffer messages) = 0;
  /// The connection is at its end; `status` is that of the attempt on it.
  virtual void onConnectionLost(UpstreamConnection& connection, AttemptStatus status) = 0;
  virtual void onMalformedResponse(UpstreamConnection& connection, ProtocolError error) = 0;
  /// The response was good, but the connection can't be used again.
  virtual void onNotReusable(UpstreamConnection& connection) = 0;

 protected:
  ~UpstreamConnectionHandler() = default;
};

class UpstreamConnection {
 public:
  /// Starts to connect. A failure is reported from the event loop, never from within this call.
  UpstreamConnection(event_base* base, UpstreamConnectionHandler& handler, EndpointId endpoint,
                     const Address& address, Duration connectTimeout);
  /// Shuts the connection down at once.
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection& other) = delete;
  UpstreamConnection& operator=(const UpstreamConnection& other) = delete;

  EndpointId endpoint() const { return endpoint_; }
  const Address& address() const { return address_; }
  /// Whether its startup is not complete yet.
  bool connecting() const { return parser_.inStartup(); }
  /// The request that it carries, or null.
  UpstreamRequest* request() const { return request_; }
  /// Whether the response so far blames the statement; false without a request.
  bool invalidStatement() const { return request_ != nullptr && parser_.response().invalidStatement; }
  /// Whether all bytes written have left the process.
  bool flushed() const { return evbuffer_get_length(output()) == 0; }
  /// Whether nothing has arrived that is still unread, the end of the connection included. What stands behind
  /// a response (a repetition, noise) must not be taken for the next one.
  bool isClean() const;

  /// Takes a request, which is not written yet.
  void assign(UpstreamRequest& request);
  /// Parts with the request that it carries; returns it, or null.
  UpstreamRequest* detach();
  /// Writes the query of its request, with the time that is left until the request's deadline.
  void writeRequest(TimePoint now);
  /// Reports the connection as lost when it has not been assigned a request by then.
  void startIdleTimer(Duration maxIdleTime);

 private:
  enum class ReadStatus { Progress, NeedMoreInput, Destroyed };

  evbuffer* input() const { return bufferevent_get_input(bev_.get()); }
  evbuffer* output() const { return bufferevent_get_output(bev_.get()); }

  void onEvent(short events);
  void onTimeout();
  void onReadable();
  ReadStatus readMessage();
  ReadStatus moveRow(const pg::MessageHeader& head);
  ReadStatus parseMessage(const pg::MessageHeader& head);
  ReadStatus onReadyForQuery(bool startupCompleted);
  ReadStatus fail(ProtocolError error);
  void deliverResponse();
  void limitResponseTime();
  void logServerError() const;

  UpstreamConnectionHandler& handler_;
  const EndpointId endpoint_;
  const Address address_;
  ResponseParser parser_;
  UpstreamRequest* request_ = nullptr;
  Buffer responseMessages_;
  BufferEvent bev_;
  Event timer_;  // of the connect, then of idleness or of an incomplete response
};

}  // namespace stonebay
