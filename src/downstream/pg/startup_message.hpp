// Parses the messages that a client may send before its first query. Pure functions: no sockets, no buffers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace stonebay {

/// The key in a BackendKeyData message. A client sends it on another connection to cancel a request.
struct CancelKey {
  std::uint32_t processId = 0;  ///< 0 if there is no key
  std::uint32_t secret = 0;

  std::uint64_t encoded() const { return static_cast<std::uint64_t>(processId) << 32 | secret; }
};

struct StartupMessage {
  enum class Kind {
    Incomplete,  ///< the rest has not arrived yet
    Malformed,   ///< the length is out of range
    EncryptionRequest,
    CancelRequest,
    Startup,
    UnsupportedVersion,
  };
  Kind kind = Kind::Incomplete;
  std::size_t length = 0;              ///< of the message in bytes; 0 if it is incomplete or malformed
  std::optional<CancelKey> cancelKey;  ///< of a CancelRequest; std::nullopt if that is malformed
};

/// `start` has the first pg::kCancelRequestSize bytes of the input, or all of them if there are fewer.
/// `available` is the number of bytes of the whole input.
StartupMessage parseStartupMessage(std::string_view start, std::size_t available);

}  // namespace stonebay
