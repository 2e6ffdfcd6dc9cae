#include "upstream/pg/response_parser.hpp"

#include <gtest/gtest.h>

#include <string>

namespace stonebay::test {
namespace {

using namespace std::string_literals;

constexpr std::size_t kSomeLength = 10;  // an acceptable body length for any message
const std::string kRowDescription = "\0\1blob\0"s + std::string(18, '\0');

// Returns the body of an ErrorResponse.
std::string errorBody(const std::string& severity, const std::string& code) {
  return "S" + severity + "\0C"s + code + "\0Mscripted\0\0"s;
}

// Returns a parser that has completed the startup and expects a response.
ResponseParser readyParser(bool healthCheck = false) {
  ResponseParser parser;
  EXPECT_EQ(parser.parse('R', "\0\0\0\0"s), ParseStatus::Continue);
  EXPECT_EQ(parser.parse('Z', "I"), ParseStatus::Ready);
  parser.beginResponse(healthCheck);
  return parser;
}

bool parseRow(ResponseParser& parser, const std::string& value) {
  const char rowHeader[pg::kRowHeaderSize] = {0, 1, 0, 0, 0, static_cast<char>(value.size())};
  return parser.parseRowHeader(rowHeader, pg::kRowHeaderSize + value.size());
}

TEST(ResponseParser, StartupEndsWithReadyForQuery) {
  ResponseParser parser;
  EXPECT_TRUE(parser.inStartup());
  EXPECT_EQ(parser.statusIfLost(), AttemptStatus::ConnectFailed);
  EXPECT_FALSE(parser.accepts({'T', kSomeLength}));
  EXPECT_EQ(parser.parse('Z', "I"), ParseStatus::Ready);
  EXPECT_FALSE(parser.inStartup());
  EXPECT_EQ(parser.statusIfLost(), AttemptStatus::Reset);
}
TEST(ResponseParser, StartupErrorIsFatalAndTooManyConnectionsIsARejection) {
  ResponseParser parser;
  EXPECT_EQ(parser.parse('E', errorBody("ERROR", "57P03")), ParseStatus::Fatal);
  EXPECT_EQ(parser.statusIfLost(), AttemptStatus::ConnectFailed);
  ResponseParser full;
  EXPECT_EQ(full.parse('E', errorBody("FATAL", "53300")), ParseStatus::Fatal);
  EXPECT_EQ(full.statusIfLost(), AttemptStatus::Rejected);
}
TEST(ResponseParser, RequestForAPasswordIsReported) {
  ResponseParser parser;
  EXPECT_EQ(parser.parse('R', "\0\0\0\3"s), ParseStatus::AuthenticationRequired);
}
TEST(ResponseParser, AcceptsDescriptionRowAndCompletionInThisOrderOnly) {
  ResponseParser parser = readyParser();
  EXPECT_FALSE(parser.responseStarted());
  EXPECT_FALSE(parser.accepts({'D', kSomeLength}));
  EXPECT_FALSE(parser.accepts({'Z', 1}));
  EXPECT_EQ(parser.parse('T', kRowDescription), ParseStatus::Continue);
  EXPECT_TRUE(parser.responseStarted());
  EXPECT_FALSE(parser.accepts({'C', kSomeLength}));
  EXPECT_TRUE(parser.accepts({'D', kSomeLength}));
  EXPECT_TRUE(parseRow(parser, "v"));
  EXPECT_FALSE(parser.accepts({'D', kSomeLength}));
  EXPECT_TRUE(parser.accepts({'C', kSomeLength}));
  EXPECT_EQ(parser.parse('C', "SELECT 1\0"s), ParseStatus::Continue);
  EXPECT_FALSE(parser.accepts({'E', kSomeLength}));
  EXPECT_EQ(parser.parse('S', "role\0primary\0"s), ParseStatus::Continue);
  EXPECT_EQ(parser.parse('S', "applied_ms\0001767225600123\0"s), ParseStatus::Continue);
  EXPECT_EQ(parser.parse('S', "load\0x0=1\0"s), ParseStatus::Continue);
  EXPECT_EQ(parser.parse('Z', "I"), ParseStatus::Ready);
  EXPECT_EQ(parser.response().status, AttemptStatus::Ok);
  EXPECT_EQ(parser.response().role, Role::Primary);
  EXPECT_EQ(parser.response().positionMs, 1767225600123);
  EXPECT_EQ(parser.response().loadReport, "x0=1");
}
TEST(ResponseParser, RejectsExcessiveLengthsByTheHeader) {
  ResponseParser parser = readyParser();
  EXPECT_TRUE(parser.accepts({'T', pg::kMaxServerMessageSize}));
  EXPECT_FALSE(parser.accepts({'T', pg::kMaxServerMessageSize + 1}));
  EXPECT_EQ(parser.parse('T', kRowDescription), ParseStatus::Continue);
  EXPECT_TRUE(parser.accepts({'D', pg::kRowHeaderSize + pg::kMaxValueSize}));
  EXPECT_FALSE(parser.accepts({'D', pg::kRowHeaderSize + pg::kMaxValueSize + 1}));
}
TEST(ResponseParser, ErrorCodesMapToAttemptStatus) {
  struct Case {
    const char* code;
    AttemptStatus status;
    bool invalidStatement;
  };
  for (const Case& expected :
       {Case{"53300", AttemptStatus::Rejected, false}, Case{"25006", AttemptStatus::TooStale, false},
        Case{"72000", AttemptStatus::TooStale, false}, Case{"42601", AttemptStatus::Error, true},
        Case{"22P02", AttemptStatus::Error, true}, Case{"08P01", AttemptStatus::Error, true},
        Case{"XX000", AttemptStatus::Error, false}}) {
    SCOPED_TRACE(expected.code);
    ResponseParser parser = readyParser();
    EXPECT_EQ(parser.parse('E', errorBody("ERROR", expected.code)), ParseStatus::Continue);
    EXPECT_EQ(parser.statusIfLost(), expected.status);
    EXPECT_EQ(parser.parse('Z', "I"), ParseStatus::Ready);
    EXPECT_EQ(parser.response().status, expected.status);
    EXPECT_EQ(parser.response().errorCode, expected.code);
    EXPECT_EQ(parser.response().invalidStatement, expected.invalidStatement);
    EXPECT_EQ(parser.statusIfLost(), AttemptStatus::Reset);
  }
}
TEST(ResponseParser, FatalErrorEndsTheConnection) {
  ResponseParser parser = readyParser();
  EXPECT_EQ(parser.parse('E', errorBody("FATAL", "57P01")), ParseStatus::Fatal);
  EXPECT_EQ(parser.statusIfLost(), AttemptStatus::Error);
}
TEST(ResponseParser, MalformedMessagesReportTheirProtocolError) {
  const auto errorOf = [](ResponseParser parser, char type, const std::string& body) {
    EXPECT_EQ(parser.parse(type, body), ParseStatus::Malformed);
    return parser.protocolError();
  };
  EXPECT_EQ(errorOf(readyParser(), 'E', "Sno end"), ProtocolError::MalformedErrorResponse);
  EXPECT_EQ(errorOf(readyParser(), 'S', "role"), ProtocolError::MalformedParameterStatus);
  EXPECT_EQ(errorOf(readyParser(), 'T', "\0\2"s), ProtocolError::MalformedRowDescription);
  EXPECT_EQ(errorOf(readyParser(), 'C', "SELECT 2\0"s), ProtocolError::MalformedCommandComplete);
  EXPECT_EQ(errorOf(readyParser(), 'Z', "X"), ProtocolError::MalformedReadyForQuery);
  ResponseParser parser = readyParser();
  const char twoColumns[pg::kRowHeaderSize] = {0, 2, 0, 0, 0, 1};
  EXPECT_FALSE(parser.parseRowHeader(twoColumns, pg::kRowHeaderSize + 1));
}
TEST(ResponseParser, HealthCheckStoresTheReportAndAcceptsAnyCommandTag) {
  ResponseParser parser = readyParser(true);
  EXPECT_EQ(parser.parse('T', kRowDescription), ParseStatus::Continue);
  EXPECT_EQ(parser.parse('D', "\0\1\0\0\0\4x0=1"s), ParseStatus::Continue);
  EXPECT_EQ(parser.parse('C', "SHOW\0"s), ParseStatus::Continue);
  EXPECT_EQ(parser.parse('Z', "I"), ParseStatus::Ready);
  EXPECT_EQ(parser.response().healthCheckReport, "x0=1");
  parser.beginResponse(true);
  EXPECT_FALSE(parser.response().healthCheckReport.has_value());
}

}  // namespace
}  // namespace stonebay::test
