// One connection to an endpoint: performs the startup, then sends one query at a time and receives its
// response.
#pragma once

#include <cstddef>

#include "dispatch/dispatcher.hpp"
#include "upstream/pg/response_parser.hpp"
#include "upstream/pg/upstream_request.hpp"
#include "util/event.hpp"

namespace stonebay {

class UpstreamConnection;

/// Owns the connections and receives their events. Any function except onConnected and onResponse may destroy
/// the connection.
class UpstreamConnectionHandler {
 public:
  /// The startup is complete. onReady is called next.
  virtual void onConnected(UpstreamConnection& connection) = 0;
  /// The connection can be assigned a request. Returns false if the connection has been destroyed.
  virtual bool onReady(UpstreamConnection& connection) = 0;
  /// The response to a request is complete, and the request is detached from the connection. `messages`
  /// contains the RowDescription, DataRow and CommandComplete unchanged.
  virtual void onResponse(UpstreamRequest& request, const ServerResponse& response, Buffer messages) = 0;
  /// The connection was closed, failed or timed out. `status` is the status of the attempt on it.
  virtual void onConnectionLost(UpstreamConnection& connection, AttemptStatus status) = 0;
  /// The endpoint sent something other than a complete, valid response.
  virtual void onMalformedResponse(UpstreamConnection& connection, ProtocolError error) = 0;
  /// The connection is settled, see UpstreamConnection::synchronize. Returns false if the connection has been
  /// destroyed.
  virtual bool onSynchronized(UpstreamConnection& connection) = 0;
  /// The response was valid, but the connection cannot be reused, see UpstreamConnection::isReusable.
  virtual void onNotReusable(UpstreamConnection& connection) = 0;

 protected:
  ~UpstreamConnectionHandler() = default;
};

class UpstreamConnection {
 public:
  /// Starts connecting. A failure is reported from the event loop, never from within the constructor.
  UpstreamConnection(event_base* base, UpstreamConnectionHandler& handler, EndpointId endpoint,
                     const Address& address, Duration connectTimeout);
  /// Closes the socket immediately. Bytes that the endpoint has not acknowledged are dropped, so that they do
  /// not arrive after their attempt has ended.
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection& other) = delete;
  UpstreamConnection& operator=(const UpstreamConnection& other) = delete;

  EndpointId endpoint() const { return endpoint_; }
  const Address& address() const { return address_; }
  /// Whether the startup is not complete yet.
  bool connecting() const { return parser_.inStartup(); }
  /// The assigned request, or null.
  UpstreamRequest* request() const { return request_; }
  /// Whether the response received so far has an error that the statement itself caused. False without a
  /// request.
  bool invalidStatement() const { return request_ != nullptr && parser_.response().invalidStatement; }
  /// Number of written bytes that have not left this machine, so that the endpoint cannot have them.
  std::size_t unsentBytes() const;
  /// Whether the endpoint's machine has acknowledged all written bytes.
  bool isDelivered() const;
  /// Whether all written bytes have been passed to the socket.
  bool flushed() const { return evbuffer_get_length(output()) == 0; }
  /// Whether the connection is open and has no unread data. Data that follows a complete response, such as a
  /// repetition of it or garbage, must not be taken for the next response.
  bool isReusable() const;
  /// Whether data that belongs to the last response may still arrive. A response does not say to which
  /// statement it belongs, so a statement may be written only once this is false: after synchronize(), or
  /// after the connection has been quiet for a while, see markSettled().
  bool isUnsettled() const { return unsettled_; }
  void markSettled() { unsettled_ = false; }
  /// Sends an empty query. Its response has a type of its own and arrives behind all that the endpoint has
  /// sent before, so the connection is settled then and UpstreamConnectionHandler::onSynchronized is called.
  /// If anything else arrives, or no response in time, the connection is reported as lost.
  void synchronize();
  bool isSynchronizing() const { return synchronizing_; }

  /// Assigns a request, but does not write it yet.
  void assign(UpstreamRequest& request);
  /// Removes and returns the assigned request; null if there is none.
  UpstreamRequest* detach();
  /// Writes the query of the assigned request, with the remaining time until its deadline.
  void writeRequest(TimePoint now);
  /// Reports the connection as lost if it is not assigned a request within `maxIdleTime`.
  void startIdleTimer(Duration maxIdleTime);

 private:
  enum class ReadStatus { Progress, NeedMoreInput, Destroyed };

  evbuffer* input() const { return bufferevent_get_input(bev_.get()); }
  evbuffer* output() const { return bufferevent_get_output(bev_.get()); }

  void onEvent(short events);
  void onTimeout();
  void onReadable();
  ReadStatus readMessage();
  ReadStatus moveRow(const pg::MessageHeader& header);
  ReadStatus parseMessage(const pg::MessageHeader& header);
  ReadStatus onReadyForQuery(bool startupCompleted);
  ReadStatus onSynchronizationCompleted();
  ReadStatus fail(ProtocolError error);
  void deliverResponse();
  void limitResponseTime();
  void logServerError() const;

  UpstreamConnectionHandler& handler_;
  const EndpointId endpoint_;
  const Address address_;
  ResponseParser parser_;
  UpstreamRequest* request_ = nullptr;
  bool unsettled_ = false;
  bool synchronizing_ = false;
  Buffer responseMessages_;
  BufferEvent bev_;
  Event timer_;  // for the connect timeout, then for the idle, synchronization or response timeout
};

}  // namespace stonebay
