// What a client may send before its first query. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace stonebay {

/// The numbers of a BackendKeyData message, by which a client cancels the request on another connection.
struct CancelKey {
  std::uint32_t process = 0;  ///< 0: none
  std::uint32_t secret = 0;

  std::uint64_t encoded() const { return static_cast<std::uint64_t>(process) << 32 | secret; }
};

struct StartupMessage {
  enum class Kind {
    Incomplete,  ///< the rest has still to arrive
    Malformed,   ///< its length is out of range
    EncryptionRequest,
    CancelRequest,
    Startup,
    UnsupportedVersion,
  };
  Kind kind = Kind::Incomplete;
  std::size_t length = 0;              ///< of the message; unless it is incomplete or malformed
  std::optional<CancelKey> cancelKey;  ///< of a CancelRequest; nothing: it is malformed
};

/// `start` holds the input's first bytes, pg::kCancelRequestSize of them or all that there are; `available`
/// is the number of all bytes of the input.
StartupMessage parseStartupMessage(std::string_view start, std::size_t available);

}  // namespace stonebay
