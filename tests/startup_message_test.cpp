#include "downstream/pg/startup_message.hpp"

#include <gtest/gtest.h>

#include <string>

#include "codec/pg/pg.hpp"

namespace stonebay::test {
namespace {

using Kind = StartupMessage::Kind;

std::string encodeInt32(std::uint32_t value) {
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
  EXPECT_EQ(parse(encodeInt32(7) + encodeInt32(pg::kProtocolVersion3)).kind, Kind::Malformed);
  EXPECT_EQ(parse(encodeInt32(pg::kMaxStartupSize + 1) + encodeInt32(pg::kProtocolVersion3)).kind,
            Kind::Malformed);
}
TEST(StartupMessage, CodeDeterminesTheKind) {
  EXPECT_EQ(parse(encodeInt32(8) + encodeInt32(pg::kSslRequest)).kind, Kind::EncryptionRequest);
  EXPECT_EQ(parse(encodeInt32(8) + encodeInt32(pg::kGssEncRequest)).kind, Kind::EncryptionRequest);
  EXPECT_EQ(parse(encodeInt32(8) + encodeInt32(2 << 16)).kind, Kind::UnsupportedVersion);
}
TEST(StartupMessage, CancelRequestCarriesAKey) {
  const StartupMessage message = parse(encodeInt32(pg::kCancelRequestSize) + encodeInt32(pg::kCancelRequest) +
                                       encodeInt32(5) + encodeInt32(9));
  EXPECT_EQ(message.kind, Kind::CancelRequest);
  ASSERT_TRUE(message.cancelKey.has_value());
  EXPECT_EQ(message.cancelKey->processId, 5u);
  EXPECT_EQ(message.cancelKey->secret, 9u);
  EXPECT_FALSE(parse(encodeInt32(8) + encodeInt32(pg::kCancelRequest)).cancelKey.has_value());
}

}  // namespace
}  // namespace stonebay::test
