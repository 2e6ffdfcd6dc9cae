#include "downstream/pg/startup_message.hpp"

#include "codec/pg/pg.hpp"

namespace stonebay {
namespace {

constexpr std::uint32_t kProtocolMajorVersion = 3;
constexpr std::size_t kMinLength = 8;  // length field and code

}  // namespace

StartupMessage parseStartupMessage(std::string_view start, std::size_t available) {
  StartupMessage message;
  if (start.size() < kMinLength) return message;
  const std::uint32_t length = pg::readInt32(start.data());
  const std::uint32_t code = pg::readInt32(start.data() + 4);
  if (length < kMinLength || length > pg::kMaxStartupSize) {
    message.kind = StartupMessage::Kind::Malformed;
    return message;
  }
  if (available < length) return message;
  message.length = length;
  if (code == pg::kSslRequest || code == pg::kGssEncRequest) {
    message.kind = StartupMessage::Kind::EncryptionRequest;
  } else if (code == pg::kCancelRequest) {
    message.kind = StartupMessage::Kind::CancelRequest;
    if (length == pg::kCancelRequestSize)
      message.cancelKey = CancelKey{pg::readInt32(start.data() + 8), pg::readInt32(start.data() + 12)};
  } else if (code >> 16 == kProtocolMajorVersion) {
    message.kind = StartupMessage::Kind::Startup;
  } else {
    message.kind = StartupMessage::Kind::UnsupportedVersion;
  }
  return message;
}

}  // namespace stonebay
