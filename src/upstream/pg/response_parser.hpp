// State machine for the messages that an endpoint sends on one connection: the response to the startup
// message, then one response per query. Uses no sockets, no timers and no log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "codec/pg/pg.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Why the data that an endpoint sent is not a valid response.
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

/// Returns the text of an error for the log.
const char* describe(ProtocolError error);

/// The information in a response other than the messages that are forwarded to the client.
struct ServerResponse {
  AttemptStatus status = AttemptStatus::Ok;
  std::string errorCode;  ///< SQLSTATE of the ErrorResponse; empty if there was none
  std::string errorText;
  bool invalidStatement = false;  ///< the statement caused the error: syntax, data or protocol
  Role role = Role::Unknown;      ///< ParameterStatus "role"
  std::int64_t positionMs = 0;    ///< ParameterStatus "applied_ms", Unix time in ms; 0 if not reported
  std::string loadReport;         ///< ParameterStatus "load"; empty if not reported
  std::optional<std::string> healthCheckReport;  ///< value of the row in the response to a health check
};

/// What the caller has to do after a message.
enum class ParseStatus {
  Continue,
  Ready,                   ///< ReadyForQuery has been parsed: the startup or the response is complete
  Malformed,               ///< ResponseParser::protocolError() has the cause
  AuthenticationRequired,  ///< the endpoint requires a password, so the connection cannot be used
  Fatal,                   ///< the endpoint closes the connection after this error
};

/// Parses messages one by one. A response consists of RowDescription, one DataRow, CommandComplete and
/// ReadyForQuery. An ErrorResponse may come at any point before CommandComplete and is followed by
/// ReadyForQuery. ParameterStatus and NoticeResponse may come between any two messages.
class ResponseParser {
 public:
  /// Resets the state for the response to a query that is about to be sent.
  void beginResponse(bool healthCheck);

  /// Expects the response to an empty query next, see UpstreamConnection::synchronize.
  void beginSynchronization();
  /// Whether a message with this type and length may come next. Must be checked before the body is read,
  /// because the header may announce gigabytes.
  bool accepts(const pg::MessageHeader& header) const;
  /// Parses a message whose header has been accepted.
  ParseStatus parse(char type, std::string_view body);
  /// Replaces parse() for the row of a statement's response, whose value is forwarded without being parsed.
  /// Returns false if the header is malformed.
  bool parseRowHeader(const char (&rowHeader)[pg::kRowHeaderSize], std::size_t bodyLength);

  bool inStartup() const { return startup_; }
  /// Whether a message of the current response has been parsed.
  bool responseStarted() const { return stage_ != Stage::Start; }
  /// The status of an attempt if its connection is lost now.
  AttemptStatus statusIfLost() const { return statusIfLost_; }
  const ServerResponse& response() const { return response_; }
  /// The cause of the last ParseStatus::Malformed.
  ProtocolError protocolError() const { return protocolError_; }

 private:
  enum class Stage { Start, Described, Row, Complete, Failed, Synchronization, Synchronized };

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
