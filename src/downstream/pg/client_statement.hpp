// Checks a client's statement and creates the request that its comment describes.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include "codec/pg/statement.hpp"
#include "dispatch/dispatcher.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Whether an error ends the connection.
enum class Severity { Error, Fatal };

/// Why a client's message is rejected: the contents of an ErrorResponse.
struct ClientError {
  Severity severity;
  const char* code;  ///< SQLSTATE
  const char* text;
};

/// A statement as it is forwarded, including its final NUL. Only its start and its end are parsed.
class ClientStatement {
 public:
  /// Takes ownership of the body of a Query message.
  explicit ClientStatement(Buffer body);
  ClientStatement(const ClientStatement& other) = delete;
  ClientStatement& operator=(const ClientStatement& other) = delete;

  /// Must be called first. Returns std::nullopt if the statement is valid or empty.
  std::optional<ClientError> parse();
  /// Whether the statement has nothing to execute.
  bool empty() const { return empty_; }
  /// The id that the client gave to the request.
  std::string id() const { return std::string(comment_.requestId); }
  /// Returns the index of the request class in Config::classes, or std::nullopt if there is no such class.
  std::optional<int> classIndex(const Config& config) const;
  Request toRequest(const Config& config, int classIndex, TimePoint arrivedAt, TimePoint now) const;
  /// Moves the statement out of this object.
  ForwardedRequest takeForwardedRequest();

 private:
  std::string_view tail() const { return {tail_.data(), tailLength_}; }
  std::uint64_t sessionId() const;

  // The comment at a statement's end, and anything that follows it, must fit into this length.
  static constexpr std::size_t kMaxTailBytes = 512;

  Buffer body_;
  const std::size_t length_;
  const std::size_t tailLength_;
  std::array<char, kMaxTailBytes> tail_{};
  bool empty_ = false;
  pg::StatementComment comment_;  // refers to tail_
};

}  // namespace stonebay
