#include "downstream/pg/startup_message.hpp"

#include <gtest/gtest.h>

#include <string>

#include "codec/pg/pg.hpp"

namespace stonebay::test {
namespace {

using Kind = StartupMessage::Kind;

std::string number(std::uint32_t value) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(value >> shift));
  return bytes;
}

StartupMessage parse(const std::string& input) {
  return parseStartupMessage(std::string_view(input).substr(0, pg::kCancelRequestSize), input.size());
}

TEST(StartupMessage, IsIncompleteUntilItsLastByteArrives) {
  const std::string startup = pg::startupMessage("api", "ledger");
  for (std::size_t length = 0; length < startup.size(); ++length)
    EXPECT_EQ(parse(startup.substr(0, length)).kind, Kind::Incomplete) << length;
  EXPECT_EQ(parse(startup + "more").kind, Kind::Startup);
  EXPECT_EQ(parse(startup + "more").length, startup.size());
}
TEST(StartupMessage, LengthOutOfRangeIsMalformed) {
  EXPECT_EQ(parse(number(7) + number(pg::kProtocolVersion3)).kind, Kind::Malformed);
  EXPECT_EQ(parse(number(pg::kMaxStartupSize + 1) + number(pg::kProtocolVersion3)).kind, Kind::Malformed);
}
TEST(StartupMessage, KindFollowsFromTheCode) {
  EXPECT_EQ(parse(number(8) + number(pg::kSslRequest)).kind, Kind::EncryptionRequest);
  EXPECT_EQ(parse(number(8) + number(pg::kGssEncRequest)).kind, Kind::EncryptionRequest);
  EXPECT_EQ(parse(number(8) + number(2 << 16)).kind, Kind::UnsupportedVersion);
}
TEST(StartupMessage, CancelRequestCarriesAKey) {
  const StartupMessage message =
      parse(number(pg::kCancelRequestSize) + number(pg::kCancelRequest) + number(5) + number(9));
  EXPECT_EQ(message.kind, Kind::CancelRequest);
  ASSERT_TRUE(message.cancelKey.has_value());
  EXPECT_EQ(message.cancelKey->process, 5u);
  EXPECT_EQ(message.cancelKey->secret, 9u);
  EXPECT_FALSE(parse(number(8) + number(pg::kCancelRequest)).cancelKey.has_value());
}

}  // namespace
}  // namespace stonebay::test
