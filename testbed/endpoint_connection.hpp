// One connection to a stand-in endpoint. Sends the greeting without authentication, then serves one query at
// a time.
#pragma once

#include <event2/util.h>

#include <cstdint>
#include <string>

#include "testbed/endpoint_settings.hpp"
#include "testbed/pg_stream.hpp"
#include "testbed/timer.hpp"
#include "util/event.hpp"

namespace stonebay::testbed {

class EndpointServer;

class EndpointConnection {
 public:
  EndpointConnection(const EndpointEnvironment& environment, EndpointServer& endpoint, int proxy,
                     evutil_socket_t fd);
  /// Cancels the request in flight.
  ~EndpointConnection();
  EndpointConnection(const EndpointConnection&) = delete;
  EndpointConnection& operator=(const EndpointConnection&) = delete;

  /// Makes the connection end with a TCP reset when it is closed.
  void resetOnClose();
  /// Processes the messages that have arrived, until a request is in flight. May destroy the connection.
  void processInput();

 private:
  /// One request in flight.
  struct Query {
    std::string id;
    std::string idempotencyKey;
    const RequestClass* requestClass = nullptr;
    std::uint64_t attemptToken = 0;
    Time completesAt{};  // 0 if it doesn't occupy the machine
  };

  void onInput();
  bool readStartup(evbuffer* input);
  void onQuery(const std::string& statement);
  void onHealthCheck(Time now);
  void onRequest(const std::string& statement, Time now);
  std::uint64_t recordAttempt(Time now, Time remainingTime) const;
  void execute(double work, Time now);
  void onWorkDone();
  void complete();
  void sendResult(const std::string& value, Time position);
  void sendError(const char* code, const char* text);
  bool occursWithProbability(double probability) const;
  void cancelQuery();
  void close();

  const EndpointEnvironment environment_;
  EndpointServer& endpoint_;
  const int proxy_;
  Time lastInputAt_{};  // while the endpoint is vanished, input arrives but is not processed
  BufferEvent connection_;
  Timer workDone_;
  bool isGreeted_ = false;
  bool isBusy_ = false;
  bool isClosing_ = false;
  Query query_;
};

}  // namespace stonebay::testbed
