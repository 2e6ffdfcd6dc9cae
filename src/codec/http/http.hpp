// A minimal HTTP/1.1 client codec. Pure: no sockets.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace stonebay::http {

/// The bytes of a GET request for JSON.
std::string get(std::string_view target, std::string_view host);

/// An incremental parser of one response: the head, then a body that is chunked, has a length, or runs to the
/// end of the connection. Interim (1xx) responses are skipped. The bytes may be split anywhere.
class Response {
 public:
  /// Parses the next bytes and appends what they hold of the body to `body`. False: the bytes are not a
  /// response that is supported; the parser must not be used any further.
  bool feed(std::string_view bytes, std::string& body);
  /// 0 before the head has arrived.
  int status() const { return status_; }
  /// A final response with another status than 200.
  bool refused() const { return status_ >= 200 && status_ != 200; }
  /// The body is complete. Never so for one that runs to the end of the connection.
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
  std::string line_;  // the part of the current line that has arrived
  int status_ = 0;
  bool chunked_ = false;
  bool hasLength_ = false;
  std::size_t remaining_ = 0;  // bytes to come of this chunk or of a body with a length
};

}  // namespace stonebay::http
