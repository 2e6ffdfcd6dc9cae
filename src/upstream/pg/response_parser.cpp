#include "upstream/pg/response_parser.hpp"

#include <charconv>

namespace stonebay {
namespace {

// SQLSTATE codes and classes: those of appendix A of the PostgreSQL documentation, and those that endpoints
// add.
constexpr std::string_view kTooManyConnections = "53300";
constexpr std::string_view kReadOnlyTransaction = "25006";
constexpr std::string_view kSnapshotTooOld = "72000";
constexpr std::string_view kProtocolViolation = "08P01";
constexpr std::string_view kDataExceptionClass = "22";
constexpr std::string_view kSyntaxErrorClass = "42";
constexpr std::size_t kClassLength = 2;

constexpr std::string_view kTransactionStates = "ITE";

bool isInvalidStatementError(std::string_view code) {
  const std::string_view errorClass = code.substr(0, kClassLength);
  return errorClass == kSyntaxErrorClass || errorClass == kDataExceptionClass || code == kProtocolViolation;
}

Role parseRole(std::string_view value) {
  if (value == "primary") return Role::Primary;
  if (value == "replica") return Role::Replica;
  return Role::Unknown;
}

// Returns 0 if the text is not a number.
std::int64_t parsePosition(std::string_view text) {
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  return error == std::errc() && stop == end ? value : 0;
}

}  // namespace

const char* describe(ProtocolError error) {
  switch (error) {
    case ProtocolError::UnsolicitedData:
      return "unsolicited data";
    case ProtocolError::UnexpectedMessage:
      return "unexpected message";
    case ProtocolError::MalformedErrorResponse:
      return "malformed ErrorResponse";
    case ProtocolError::MalformedParameterStatus:
      return "malformed ParameterStatus";
    case ProtocolError::MalformedRowDescription:
      return "malformed RowDescription";
    case ProtocolError::MalformedDataRow:
      return "malformed DataRow";
    case ProtocolError::MalformedCommandComplete:
      return "malformed CommandComplete";
    case ProtocolError::MalformedReadyForQuery:
      return "malformed ReadyForQuery";
    case ProtocolError::IncompleteResponse:
      return "incomplete response";
  }
  return "";
}

void ResponseParser::beginResponse(bool healthCheck) {
  healthCheck_ = healthCheck;
  stage_ = Stage::Start;
  response_ = ServerResponse();
}

void ResponseParser::beginSynchronization() {
  beginResponse(false);
  stage_ = Stage::Synchronization;
}

bool ResponseParser::accepts(const pg::MessageHeader& header) const {
  const std::size_t maxBody =
      header.type == 'D' ? pg::kRowHeaderSize + pg::kMaxValueSize : pg::kMaxServerMessageSize;
  return expects(header.type) && header.bodySize <= maxBody;
}

bool ResponseParser::expects(char type) const {
  switch (type) {
    case 'S':
    case 'N':
      return true;
    case 'R':
    case 'K':
      return startup_;
    case 'T':
      return !startup_ && stage_ == Stage::Start;
    case 'D':
      return !startup_ && stage_ == Stage::Described;
    case 'C':
      return !startup_ && stage_ == Stage::Row;
    case 'I':
      return !startup_ && stage_ == Stage::Synchronization;
    case 'E':
      return startup_ || stage_ == Stage::Start || stage_ == Stage::Described || stage_ == Stage::Row;
    case 'Z':
      return startup_ || stage_ == Stage::Complete || stage_ == Stage::Failed ||
             stage_ == Stage::Synchronized;
    default:
      return false;
  }
}

ParseStatus ResponseParser::parse(char type, std::string_view body) {
  switch (type) {
    case 'E':
      return onErrorResponse(body);
    case 'S':
      return onParameterStatus(body);
    case 'R':
      return onAuthentication(body);
    case 'T':
      return onRowDescription(body);
    case 'D':
      return onDataRow(body);
    case 'C':
      return onCommandComplete(body);
    case 'I':
      stage_ = Stage::Synchronized;
      return ParseStatus::Continue;
    case 'Z':
      return onReadyForQuery(body);
    default:  // NoticeResponse and BackendKeyData are ignored
      return ParseStatus::Continue;
  }
}

bool ResponseParser::parseRowHeader(const char (&rowHeader)[pg::kRowHeaderSize], std::size_t bodyLength) {
  if (!pg::isRowHeader(rowHeader, bodyLength)) return false;
  stage_ = Stage::Row;
  return true;
}

ParseStatus ResponseParser::malformed(ProtocolError error) {
  protocolError_ = error;
  return ParseStatus::Malformed;
}

AttemptStatus ResponseParser::statusOfError(std::string_view code) const {
  if (code == kTooManyConnections) return AttemptStatus::Rejected;
  if (startup_) return AttemptStatus::ConnectFailed;
  if (code == kReadOnlyTransaction || code == kSnapshotTooOld) return AttemptStatus::TooStale;
  return AttemptStatus::Error;
}

ParseStatus ResponseParser::onErrorResponse(std::string_view body) {
  const pg::ErrorFields error = pg::parseErrorResponse(body);
  if (error.code.empty()) return malformed(ProtocolError::MalformedErrorResponse);
  stage_ = Stage::Failed;
  response_.status = statusOfError(error.code);
  response_.errorCode = error.code;
  response_.errorText = error.text;
  response_.invalidStatement = isInvalidStatementError(error.code);
  statusIfLost_ = response_.status;
  return startup_ || error.severity == "FATAL" ? ParseStatus::Fatal : ParseStatus::Continue;
}

ParseStatus ResponseParser::onParameterStatus(std::string_view body) {
  const auto [name, value] = pg::parseParameterStatus(body);
  if (name.empty()) return malformed(ProtocolError::MalformedParameterStatus);
  if (name == "role") response_.role = parseRole(value);
  if (name == "applied_ms") response_.positionMs = parsePosition(value);
  if (name == "load") response_.loadReport = value;
  return ParseStatus::Continue;
}

ParseStatus ResponseParser::onAuthentication(std::string_view body) {
  constexpr std::size_t kAuthenticationOkLength = 4;
  const bool accepted = body.size() == kAuthenticationOkLength && pg::readInt32(body.data()) == 0;
  return accepted ? ParseStatus::Continue : ParseStatus::AuthenticationRequired;
}

ParseStatus ResponseParser::onRowDescription(std::string_view body) {
  if (!pg::isRowDescription(body)) return malformed(ProtocolError::MalformedRowDescription);
  stage_ = Stage::Described;
  return ParseStatus::Continue;
}

// If the row does not have exactly one column with a value, healthCheckReport stays empty.
ParseStatus ResponseParser::onDataRow(std::string_view body) {
  if (const auto column = pg::parseSingleColumn(body)) response_.healthCheckReport = std::string(*column);
  stage_ = Stage::Row;
  return ParseStatus::Continue;
}

ParseStatus ResponseParser::onCommandComplete(std::string_view body) {
  if (!pg::isCommandTag(body, !healthCheck_)) return malformed(ProtocolError::MalformedCommandComplete);
  stage_ = Stage::Complete;
  return ParseStatus::Continue;
}

ParseStatus ResponseParser::onReadyForQuery(std::string_view body) {
  if (body.size() != 1 || kTransactionStates.find(body[0]) == std::string_view::npos)
    return malformed(ProtocolError::MalformedReadyForQuery);
  startup_ = false;
  statusIfLost_ = AttemptStatus::Reset;
  return ParseStatus::Ready;
}

}  // namespace stonebay
