// The state machine of what an endpoint sends on one connection: the answer to the startup message, then one
// response a query. Pure: no sockets, no timers, no log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "codec/pg/pg.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Why an endpoint's bytes can't be the response that is due.
enum class ProtocolError {
  UnsolicitedData,
  UnexpectedMessage,
  MalformedErrorResponse,
  MalformedParameterStatus,
  MalformedRowDescription,
  MalformedDataRow,
  MalformedCommandComplete,
  MalformedReadyForQuery,
  IncompleteResponse,
};

/// For the log.
const char* describe(ProtocolError error);

/// What a response says besides the rows that go on to the client.
struct ServerResponse {
  AttemptStatus status = AttemptStatus::Ok;
  std::string errorCode;  ///< SQLSTATE of its ErrorResponse; empty: there was none
  std::string errorText;
  bool invalidStatement = false;                 ///< the error is the statement's own: syntax, data, protocol
  Role role = Role::Unknown;                     ///< ParameterStatus "role"
  std::int64_t positionMs = 0;                   ///< ParameterStatus "applied_ms", Unix time; 0: not reported
  std::string loadReport;                        ///< ParameterStatus "load"; empty: not reported
  std::optional<std::string> healthCheckReport;  ///< the row that answers a health check
};

/// What has to be done after a message.
enum class ParseStatus {
  Continue,
  Ready,                   ///< ReadyForQuery: the startup or the response is complete
  Malformed,               ///< see ResponseParser::protocolError
  AuthenticationRequired,  ///< the endpoint wants a password: the connection is of no use
  Fatal,                   ///< the endpoint closes the connection after this error
};

/// Parses messages one by one. A response is RowDescription, one DataRow and CommandComplete, or an
/// ErrorResponse at any point before CommandComplete; then ReadyForQuery. ParameterStatus and NoticeResponse
/// may come between any two of them.
class ResponseParser {
 public:
  /// Resets the state for the response to a query that is about to be sent.
  void beginResponse(bool healthCheck);

  /// Whether a message with this head may come next. To be asked before the body has been read: a head may
  /// promise gigabytes.
  bool accepts(const pg::MessageHeader& head) const;
  /// Parses a message that is accepted.
  ParseStatus parse(char type, std::string_view body);
  /// In place of parse for the row of a statement's response, which is passed on unread. False: malformed.
  bool parseRowHead(const char (&columns)[pg::kRowHeaderSize], std::size_t bodyLength);

  bool inStartup() const { return startup_; }
  /// Whether some message of the response that is due has been parsed.
  bool responseStarted() const { return stage_ != Stage::Start; }
  /// How an attempt ends if the connection is lost now.
  AttemptStatus statusIfLost() const { return statusIfLost_; }
  const ServerResponse& response() const { return response_; }
  /// The cause of the last ParseStatus::Malformed.
  ProtocolError protocolError() const { return protocolError_; }

 private:
  enum class Stage { Start, Described, Row, Complete, Failed };

  bool expects(char type) const;
  ParseStatus malformed(ProtocolError error);
  ParseStatus onErrorResponse(std::string_view body);
  ParseStatus onParameterStatus(std::string_view body);
  static ParseStatus onAuthentication(std::string_view body);
  ParseStatus onRowDescription(std::string_view body);
  ParseStatus onDataRow(std::string_view body);
  ParseStatus onCommandComplete(std::string_view body);
  ParseStatus onReadyForQuery(std::string_view body);
  AttemptStatus statusOfError(std::string_view code) const;

  bool startup_ = true;
  bool healthCheck_ = false;
  Stage stage_ = Stage::Start;
  AttemptStatus statusIfLost_ = AttemptStatus::ConnectFailed;
  ProtocolError protocolError_ = ProtocolError::UnexpectedMessage;
  ServerResponse response_;
};

}  // namespace stonebay
