// The log: its rate limit and its two formats.
#include "log/log.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace stonebay {
namespace {

// Guards against a failure that affects every request and fills the log.
TEST(Log, IsRateLimitedAndCountsDroppedLines) {
  testing::internal::CaptureStderr();
  for (int k = 0; k < 5000; ++k) logEvent(LogLevel::Info, "line", {{"k", k}});
  const std::string text = testing::internal::GetCapturedStderr();
  const auto lines = std::count(text.begin(), text.end(), '\n');
  EXPECT_GE(lines, 1);
  EXPECT_LT(lines, 1000);
  EXPECT_NE(text.find("level=info event=line k=0\n"), std::string::npos);
  EXPECT_EQ(text.rfind("ts=", 0), 0u);
}

TEST(Log, FrequentEventsDoNotSuppressOtherEvents) {
  testing::internal::CaptureStderr();
  for (int k = 0; k < 5000; ++k) logEvent(LogLevel::Info, "frequent", {{"k", k}});
  logEvent(LogLevel::Info, "rare");
  EXPECT_NE(testing::internal::GetCapturedStderr().find("event=rare"), std::string::npos);
}

// Log lines quote input from the network, which must neither start a new line nor break the format.
TEST(Log, EscapesQuotedTextInBothFormats) {
  const std::string bytes("a\"b\nlevel=error \x80\0\\", 19);
  EXPECT_EQ(
      formatEvent(LogFormat::Logfmt, "seen", {{"what", bytes}, {"n", -3}, {"ok", true}, {"word", "plain"}}),
      "event=seen what=\"a\\\"b\\nlevel=error \\u0080\\u0000\\\\\" n=-3 ok=true word=plain");
  EXPECT_EQ(formatEvent(LogFormat::Json, "seen", {{"what", bytes}, {"share", 0.25}, {"empty", ""}}),
            "\"event\":\"seen\",\"what\":\"a\\\"b\\nlevel=error "
            "\\u0080\\u0000\\\\\",\"share\":0.25,\"empty\":\"\"");
  EXPECT_LT(formatEvent(LogFormat::Logfmt, "long", {{"what", std::string(1 << 20, 'x')}}).size(), 500u);
}

}  // namespace
}  // namespace stonebay
