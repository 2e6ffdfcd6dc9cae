// A minimal HTTP/1.1 client codec without sockets.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace stonebay::http {

/// Encodes a GET request that accepts JSON.
std::string get(std::string_view target, std::string_view host);

/// An incremental parser of one response. The body may be chunked, have a Content-Length, or extend to the
/// end of the connection. Interim (1xx) responses are skipped. The bytes may be split anywhere.
class Response {
 public:
  /// Parses the next bytes and appends the part of the body in them to `body`. Returns false if the bytes are
  /// not a supported response; the parser must not be used after that.
  bool feed(std::string_view bytes, std::string& body);
  /// Returns the status code, or 0 before the status line has been parsed.
  int status() const { return status_; }
  /// Returns whether the response is final (not 1xx) and its status is not 200.
  bool refused() const { return status_ >= 200 && status_ != 200; }
  /// Returns whether the response is complete. Never true for a body that extends to the end of the
  /// connection.
  bool done() const { return state_ == State::Complete; }

 private:
  enum class State {
    StatusLine,
    Headers,
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailers,
    BodyWithLength,
    BodyUntilClose,
    Complete
  };
  bool onLine(std::string_view line);
  bool onStatusLine(std::string_view line);
  bool onHeader(std::string_view line);
  bool onChunkSize(std::string_view line);
  void onHeadersComplete();
  bool isInBody() const;
  std::size_t consumeBody(std::string_view bytes, std::string& body);

  State state_ = State::StatusLine;
  std::string line_;  // the part of the current line that has been received
  int status_ = 0;
  bool chunked_ = false;
  bool hasLength_ = false;
  std::size_t remaining_ = 0;  // bytes left of the current chunk, or of a body with a Content-Length
};

}  // namespace stonebay::http
