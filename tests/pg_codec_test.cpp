// Encoding and parsing of PostgreSQL messages and of the comment in a statement.
#include <gtest/gtest.h>

#include <string>

#include "codec/pg/pg.hpp"
#include "codec/pg/statement.hpp"

namespace stonebay {
namespace {

TEST(PgStatementComment, EveryFieldIsParsed) {
  const std::string text =
      "SELECT blob FROM rows WHERE handle = 'a/*b*/' "
      "/* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */";
  const pg::StatementComment comment = pg::parseStatementComment(text);
  ASSERT_EQ(comment.error, nullptr);
  EXPECT_EQ(comment.requestId, "9b1f");
  EXPECT_EQ(comment.className, "basket");
  EXPECT_EQ(comment.deadlineMs, 480u);
  EXPECT_EQ(text.substr(comment.deadlineOffset, comment.deadlineLength), "480");
  EXPECT_EQ(comment.group, 2u);
  EXPECT_EQ(comment.sessionTokenMs, 1767225600123);
  EXPECT_EQ(pg::parseQuotedKey(text), "a/*b*/");
}

TEST(PgStatementComment, MissingOrMalformedFieldsAreErrors) {
  for (const char* text :
       {"", "SELECT 1", "/* id=1,cluster=2", "/* c=x,cluster=2 */", "/* id=,cluster=2 */", "/* id=1,c=x */",
        "/* id=1,cluster=x */", "/* id=1,cluster=-1 */", "/* id=1,cluster=65536 */",
        "/* id=1,cluster=1,d=1e3 */", "/* id=1,cluster=1,d= */", "/* id=1,cluster=1,d=99999999999 */",
        "/* id=1,cluster=1,after=soon */", "*/ id=1,cluster=2 /*", "/*/"})
    EXPECT_NE(pg::parseStatementComment(text).error, nullptr) << text;
  EXPECT_EQ(pg::parseStatementComment("/* id=1,cluster=1 */").deadlineLength, 0u);
}

// Guards against changed statements: a deadline that could not be read was taken for a missing one.
TEST(PgStatementComment, DeadlineThatCannotBeReadIsAnError) {
  for (const char* deadline : {"d", "d ", "d:1200", "d = soon", "d=soon", "d =", "d=1 2", "d=+5", "d=-5",
                               "d=5ms", "d 1200", "d=0x10", "d=1200,d=7", "d=1200,d", "\td\t=\tsoon"}) {
    const std::string text = std::string("/* id=1,cluster=1,") + deadline + " */";
    EXPECT_NE(pg::parseStatementComment(text).error, nullptr) << text;
  }
}

TEST(PgStatementComment, BlanksAroundNamesAndValuesAreIgnored) {
  const std::string text = "/* id = 1 , cluster= 2,\td =\t1200 , c =x */";
  const pg::StatementComment comment = pg::parseStatementComment(text);
  ASSERT_EQ(comment.error, nullptr);
  EXPECT_EQ(comment.requestId, "1");
  EXPECT_EQ(comment.group, 2u);
  EXPECT_EQ(comment.className, "x");
  EXPECT_EQ(text.substr(comment.deadlineOffset, comment.deadlineLength), "1200");
}

TEST(PgStatementComment, TextWithoutAMeaningIsIgnored) {
  for (const char* text : {"/* id=1,cluster=1,deadline,dd=soon,x:y,,d=5 */", "/* id=1,cluster=1,d=5 */ ;",
                           "/* id=1,cluster=1,D=soon,d=5 */ LIMIT 1"})
    EXPECT_EQ(pg::parseStatementComment(text).error, nullptr) << text;
}

// The client's data must not be taken for the comment: its digits would be replaced by the remaining time.
TEST(PgStatementComment, CommentWithinALiteralIsAnError) {
  for (const char* text : {"INSERT INTO rows VALUES ('/* id=1,cluster=1,d=5 */')",
                           "SELECT \"/* id=1,cluster=1,d=5 */\"", "SELECT $$/* id=1,cluster=1,d=5 */$$"})
    EXPECT_NE(pg::parseStatementComment(text).error, nullptr) << text;
}

TEST(PgMessageHeader, LengthOutOfRangeIsRejected) {
  const auto headerWithLength = [](std::uint32_t length) {
    const char bytes[pg::kMessageHeaderSize] = {'Q', static_cast<char>(length >> 24),
                                                static_cast<char>(length >> 16),
                                                static_cast<char>(length >> 8), static_cast<char>(length)};
    return pg::parseMessageHeader(bytes);
  };
  EXPECT_FALSE(headerWithLength(3));
  EXPECT_FALSE(headerWithLength(0xffffffff));
  EXPECT_FALSE(headerWithLength(pg::kMaxMessageSize + 1));
  ASSERT_TRUE(headerWithLength(4));
  EXPECT_EQ(headerWithLength(4)->bodySize, 0u);
  EXPECT_TRUE(headerWithLength(2 * 65536 + 512));  // fits a value of the maximum size in hexadecimal
}

TEST(PgMessages, ErrorsRowsAndParametersRoundTrip) {
  const std::string response = pg::errorResponse("ERROR", "53300", "full", "25");
  const pg::ErrorFields fields = pg::parseErrorResponse(std::string_view(response).substr(5));
  EXPECT_EQ(fields.severity, "ERROR");
  EXPECT_EQ(fields.code, "53300");
  EXPECT_EQ(fields.text, "full");
  EXPECT_NE(response.find(std::string("D25\0", 4)), std::string::npos);
  EXPECT_EQ(pg::parseErrorResponse("Sno end").code, "");
  using namespace std::literals;
  EXPECT_EQ(pg::parseSingleColumn("\0\1\0\0\0\2ab"sv), "ab");
  EXPECT_EQ(pg::parseSingleColumn("\0\1\0\0\0\0"sv), "");
  EXPECT_FALSE(pg::parseSingleColumn("\0\1\xff\xff\xff\xff"sv));
  EXPECT_FALSE(pg::parseSingleColumn("\0\1\0\0\0\3ab"sv));
  EXPECT_FALSE(pg::parseSingleColumn("\0\2\0\0\0\2ab"sv));
  EXPECT_EQ(pg::parseParameterStatus("role\0replica\0"sv).value, "replica");
  EXPECT_EQ(pg::parseParameterStatus("role\0replica"sv).name, "");
  EXPECT_EQ(pg::parseParameterStatus("role\0replica\0more"sv).name, "");
  EXPECT_TRUE(pg::isRowDescription("\0\1blob\0"s + std::string(18, '\0')));
  EXPECT_FALSE(pg::isRowDescription("\0\1blob\0"s + std::string(17, '\0')));
  EXPECT_FALSE(pg::isRowDescription("\0\2blob\0"s + std::string(18, '\0')));
  EXPECT_TRUE(pg::isCommandTag("INSERT 0 1\0"sv, true));
  EXPECT_TRUE(pg::isCommandTag("SHOW\0"sv, false));
  EXPECT_FALSE(pg::isCommandTag("SELECT 0\0"sv, true));
  EXPECT_FALSE(pg::isCommandTag("SELECT 1"sv, true));
  EXPECT_FALSE(pg::isCommandTag("SELECT\0 1\0"sv, true));
  EXPECT_TRUE(pg::isRowHeader({0, 1, 0, 1, 0, 0}, 6 + 65536));
  EXPECT_FALSE(pg::isRowHeader({0, 1, 0, 1, 0, 1}, 6 + 65537));
  EXPECT_FALSE(pg::isRowHeader({0, 1, 0, 0, 0, 5}, 6 + 4));
}

}  // namespace
}  // namespace stonebay
