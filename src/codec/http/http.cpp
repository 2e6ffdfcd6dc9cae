#include "codec/http/http.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace stonebay::http {
namespace {

constexpr std::size_t kMaxLineBytes = 8192;
constexpr std::string_view kVersionPrefix = "HTTP/1.";
// Offsets of the status code in a status line such as "HTTP/1.1 200 OK".
constexpr std::size_t kStatusBegin = 9;
constexpr std::size_t kStatusEnd = 12;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool equalsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(
      left.begin(), left.end(), right.begin(), right.end(),
      [](unsigned char first, unsigned char second) { return std::tolower(first) == std::tolower(second); });
}

bool isBlank(char character) { return character == ' ' || character == '\t'; }

std::string_view trim(std::string_view text) {
  while (!text.empty() && isBlank(text.front())) text.remove_prefix(1);
  while (!text.empty() && isBlank(text.back())) text.remove_suffix(1);
  return text;
}

}  // namespace

std::string get(std::string_view target, std::string_view host) {
  std::string text("GET ");
  text.append(target)
      .append(" HTTP/1.1\r\nHost: ")
      .append(host)
      .append("\r\nAccept: application/json\r\n\r\n");
  return text;
}

bool Response::onStatusLine(std::string_view line) {
  if (line.size() < kStatusEnd || line.substr(0, kVersionPrefix.size()) != kVersionPrefix) return false;
  const char* const end = line.data() + kStatusEnd;
  if (std::from_chars(line.data() + kStatusBegin, end, status_).ptr != end) return false;
  chunked_ = false;
  hasLength_ = false;
  state_ = State::Headers;
  return true;
}

bool Response::onHeader(std::string_view line) {
  if (line.empty()) {
    onHeadersComplete();
    return true;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = trim(line.substr(colon + 1));
  if (equalsIgnoringCase(name, "Transfer-Encoding")) {
    if (!equalsIgnoringCase(value, "chunked")) return false;
    chunked_ = true;
  } else if (equalsIgnoringCase(name, "Content-Length")) {
    hasLength_ = true;
    const char* const end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, remaining_);
    return error == std::errc() && stop == end;
  }
  return true;
}

void Response::onHeadersComplete() {
  const bool isInterim = status_ >= 100 && status_ < 200;
  const bool hasEmptyBody = !chunked_ && hasLength_ && remaining_ == 0;
  if (isInterim)
    state_ = State::StatusLine;  // the final response follows
  else if (status_ == kNoContent || status_ == kNotModified || hasEmptyBody)
    state_ = State::Complete;
  else if (chunked_)
    state_ = State::ChunkSize;
  else
    state_ = hasLength_ ? State::BodyWithLength : State::BodyUntilClose;
}

bool Response::onChunkSize(std::string_view line) {
  const char* const end = line.data() + line.size();
  const auto [stop, error] = std::from_chars(line.data(), end, remaining_, 16);
  if (error != std::errc()) return false;
  if (stop != end && *stop != ';' && *stop != ' ') return false;
  state_ = remaining_ > 0 ? State::ChunkData : State::Trailers;
  return true;
}

bool Response::onLine(std::string_view line) {
  switch (state_) {
    case State::StatusLine:
      return onStatusLine(line);
    case State::Headers:
      return onHeader(line);
    case State::ChunkSize:
      return onChunkSize(line);
    case State::ChunkEnd:
      state_ = State::ChunkSize;
      return line.empty();
    case State::Trailers:
      if (line.empty()) state_ = State::Complete;
      return true;
    default:
      return false;
  }
}

bool Response::isInBody() const {
  return state_ == State::ChunkData || state_ == State::BodyWithLength || state_ == State::BodyUntilClose;
}

std::size_t Response::consumeBody(std::string_view bytes, std::string& body) {
  if (state_ == State::BodyUntilClose) {
    body.append(bytes);
    return bytes.size();
  }
  const std::size_t count = std::min(remaining_, bytes.size());
  body.append(bytes.substr(0, count));
  remaining_ -= count;
  if (remaining_ == 0) state_ = state_ == State::ChunkData ? State::ChunkEnd : State::Complete;
  return count;
}

bool Response::feed(std::string_view bytes, std::string& body) {
  while (!bytes.empty()) {
    if (state_ == State::Complete) return false;  // only one response is expected
    if (isInBody()) {
      bytes.remove_prefix(consumeBody(bytes, body));
      continue;
    }
    const std::size_t lineEnd = bytes.find('\n');
    const std::string_view part = bytes.substr(0, lineEnd);
    if (line_.size() + part.size() > kMaxLineBytes) return false;
    line_.append(part);
    if (lineEnd == std::string_view::npos) return true;
    bytes.remove_prefix(lineEnd + 1);
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    std::string line;
    line.swap(line_);
    if (!onLine(line)) return false;
  }
  return true;
}

}  // namespace stonebay::http
