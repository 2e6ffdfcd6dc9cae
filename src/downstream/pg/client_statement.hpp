// A client's statement: checks it and makes the request that its comment describes.
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

/// Why a client's message is rejected, as an ErrorResponse says it.
struct ClientError {
  Severity severity;
  const char* code;  ///< SQLSTATE
  const char* text;
};

/// The statement is passed on as it came, its final NUL included; only its ends are looked at.
class ClientStatement {
 public:
  /// Takes the body of a Query message.
  explicit ClientStatement(Buffer body);
  ClientStatement(const ClientStatement& other) = delete;
  ClientStatement& operator=(const ClientStatement& other) = delete;

  /// To be called first. Nothing: the statement is sound, or empty.
  std::optional<ClientError> parse();
  /// Whether there is nothing in it to be executed.
  bool empty() const { return empty_; }
  /// The client's own name of the request.
  std::string id() const { return std::string(comment_.requestId); }
  /// The index of its class in Config::classes; nothing: there is no such class.
  std::optional<int> classIndex(const Config& config) const;
  Request toRequest(const Config& config, int classIndex, TimePoint arrivedAt, TimePoint now) const;
  /// Gives the statement away.
  ForwardedRequest takeForwarded();

 private:
  std::string_view tail() const { return {tail_.data(), tailLength_}; }
  std::uint64_t session() const;

  // The comment at a statement's end, and all that may follow it, is shorter.
  static constexpr std::size_t kMaxTail = 512;

  Buffer body_;
  const std::size_t length_;
  const std::size_t tailLength_;
  std::array<char, kMaxTail> tail_{};
  bool empty_ = false;
  pg::StatementComment comment_;  // refers to tail_
};

}  // namespace stonebay
