#include "downstream/pg/client_statement.hpp"

#include <algorithm>

#include "util/hash.hpp"

namespace stonebay {
namespace {

// The quoted key of a statement must end within this length from its start.
constexpr std::size_t kKeySearchBytes = 256;
constexpr std::uint32_t kMaxDeadlineMs = 3600 * 1000;
constexpr float kMinTokenAgeMs = 0.001F;  // an age of 0 means that there is no token
constexpr double kMicrosecondsPerMillisecond = 1e3;
constexpr std::string_view kInsignificantCharacters = " \t\r\n;";

}  // namespace

ClientStatement::ClientStatement(Buffer body)
    : body_(std::move(body)),
      length_(evbuffer_get_length(body_.get())),
      tailLength_(std::min(length_, kMaxTailBytes)) {
  evbuffer_ptr start;
  evbuffer_ptr_set(body_.get(), &start, length_ - tailLength_, EVBUFFER_PTR_SET);
  evbuffer_copyout_from(body_.get(), &start, tail_.data(), tailLength_);
}

std::optional<ClientError> ClientStatement::parse() {
  // The only NUL must be the last byte, because endpoints close the connection on a query that they cannot
  // parse.
  const auto terminator = evbuffer_search(body_.get(), "", 1, nullptr);
  if (length_ == 0 || terminator.pos != static_cast<ev_ssize_t>(length_) - 1)
    return ClientError{Severity::Fatal, "08P01", "a query's end is not where its length says"};
  const std::string_view text = tail().substr(0, tailLength_ - 1);
  empty_ =
      tailLength_ == length_ && text.find_first_not_of(kInsignificantCharacters) == std::string_view::npos;
  if (empty_) return std::nullopt;
  comment_ = pg::parseStatementComment(text);
  if (comment_.error) return ClientError{Severity::Error, "42601", comment_.error};
  return std::nullopt;
}

std::optional<int> ClientStatement::classIndex(const Config& config) const {
  const auto it = std::find(config.classes.begin(), config.classes.end(), comment_.className);
  if (it == config.classes.end()) return std::nullopt;
  return static_cast<int>(it - config.classes.begin());
}

Request ClientStatement::toRequest(const Config& config, int classIndex, TimePoint arrivedAt,
                                   TimePoint now) const {
  Request request;
  request.classIndex = classIndex;
  request.group = comment_.group;
  const bool hasDeadline = comment_.deadlineLength > 0;
  const Duration timeAllowed =
      hasDeadline ? Duration(std::chrono::milliseconds(std::min(comment_.deadlineMs, kMaxDeadlineMs)))
                  : config.settings.classes[static_cast<std::size_t>(classIndex)].deadline;
  request.deadline = arrivedAt + timeAllowed;
  if (comment_.sessionTokenMs > 0) {
    const double nowMs = static_cast<double>(now.time_since_epoch().count()) / kMicrosecondsPerMillisecond;
    const double ageMs = nowMs - static_cast<double>(comment_.sessionTokenMs);
    request.sessionTokenAgeMs = std::max(kMinTokenAgeMs, static_cast<float>(ageMs));
  }
  if (config.tracksSessions) request.session = sessionId();
  return request;
}

// Returns an id derived from the key in the statement, by which the requests of a session are recognized; 0
// if the statement has no key.
std::uint64_t ClientStatement::sessionId() const {
  std::array<char, kKeySearchBytes> start{};
  const ev_ssize_t copied = evbuffer_copyout(body_.get(), start.data(), start.size());
  const auto length = static_cast<std::size_t>(std::max<ev_ssize_t>(copied, 0));
  const std::string_view key = pg::parseQuotedKey({start.data(), length});
  return key.empty() ? 0 : std::max<std::uint64_t>(fnv1a(key), 1);
}

// If the comment has a deadline, its digits are cut out of the statement.
ForwardedRequest ClientStatement::takeForwardedRequest() {
  const bool hasDeadline = comment_.deadlineLength > 0;
  ForwardedRequest forwarded{newBuffer(), std::move(body_), hasDeadline, id()};
  if (hasDeadline) {
    const std::size_t before = length_ - tailLength_ + comment_.deadlineOffset;
    evbuffer_remove_buffer(forwarded.afterRemainingTime.get(), forwarded.beforeRemainingTime.get(), before);
    evbuffer_drain(forwarded.afterRemainingTime.get(), comment_.deadlineLength);
  }
  return forwarded;
}

}  // namespace stonebay
