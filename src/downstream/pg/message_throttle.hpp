// Limits the messages of one client that need no endpoint: empty queries, requests for encryption and invalid
// messages.
#pragma once

#include <algorithm>
#include <optional>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// A client may send a few such messages in each interval. After that none of its messages is processed until
/// the next interval, so that a client that sends them at full speed cannot block the event loop for other
/// sessions.
class MessageThrottle {
 public:
  /// Whether no message may be processed until the next interval.
  bool throttled() const { return left_ == 0; }
  /// Since when the client has been throttled in every interval; std::nullopt if it is not.
  std::optional<TimePoint> throttledSince() const { return since_; }

  /// An empty query or a request for encryption was answered.
  void onTrivialMessage(TimePoint now) { spend(1, now); }
  /// An invalid message was answered with an error. It uses up the rest of the interval.
  void onInvalidMessage(TimePoint now) { spend(left_, now); }
  /// A request was submitted: the client does useful work.
  void onRequest() { since_.reset(); }
  /// Starts the next interval.
  void startInterval() {
    if (!throttled()) since_.reset();
    left_ = kMessagesPerInterval;
  }

 private:
  static constexpr int kMessagesPerInterval = 8;

  void spend(int messages, TimePoint now) {
    left_ = std::max(left_ - messages, 0);
    if (throttled() && !since_) since_ = now;
  }

  int left_ = kMessagesPerInterval;
  std::optional<TimePoint> since_;
};

}  // namespace stonebay
