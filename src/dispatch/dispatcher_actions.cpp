// The Dispatcher's implementation of ActionSink. The LoadBalancer's decisions are recorded, and carried out
// at the end of the batch.
#include <utility>

#include "dispatch/dispatcher.hpp"
#include "dispatch/translation.hpp"
#include "log/log.hpp"

namespace stonebay {

void Dispatcher::send(RequestId id, EndpointId endpoint, const AttemptLimits& limits) {
  const auto it = inFlight_.find(id);
  if (it == inFlight_.end()) return;
  InFlightRequest& request = it->second;
  const int attempt = static_cast<int>(request.attempts.size());
  AttemptRecord& record = request.attempts.emplace_back();
  record.endpoint = endpoint;
  record.sentAt = now_;
  actions_.emplace_back([this, id, attempt, endpoint, limits, message = request.message] {
    endpoints_->send(id, attempt, endpoint, limits, message);
  });
}

void Dispatcher::reject(RequestId id, Duration retryAfter, EndReason reason) {
  finish(id, RequestEnd::Rejected, reason,
         [retryAfter](ResponseHandler& handler) { handler.onRejected(retryAfter); });
}

void Dispatcher::fail(RequestId id, EndReason reason) {
  finish(id, RequestEnd::Failed, reason, [](ResponseHandler& handler) { handler.onFailed(); });
}

// Records the final response of a request that the LoadBalancer rejects or fails.
void Dispatcher::finish(RequestId id, RequestEnd end, EndReason reason,
                        std::function<void(ResponseHandler&)> notify) {
  const auto it = inFlight_.find(id);
  if (it == inFlight_.end()) return;
  if (ResponseHandler* const handler = it->second.handler)
    actions_.emplace_back([handler, notify = std::move(notify)] { notify(*handler); });
  logRequestEnd(it->second, end, endReasonName(reason), now_, config_, ids_);
  inFlight_.erase(it);
}

void Dispatcher::cancel(RequestId id, int attempt) {
  actions_.emplace_back([this, id, attempt] { endpoints_->cancel(id, attempt); });
}

void Dispatcher::scheduleTimer(Duration delay, TimerToken token) { timers_.schedule(now_ + delay, token); }

void Dispatcher::checkHealth(EndpointId endpoint) {
  actions_.emplace_back([this, endpoint] { endpoints_->checkHealth(endpoint); });
}

void Dispatcher::broadcast(const GossipMessage& message) {
  const std::uint64_t key = EndpointIds::gossipKey(ids_.nameOf(message.endpoint));
  GossipMessage corrected = message;
  corrected.position += wallClockCorrection_.value();
  gossipMessages_.push_back(toGossip(corrected, key));
}

void Dispatcher::pollDiscovery() {
  actions_.emplace_back([this] { watcher_->watch(generation_); });
}

void Dispatcher::log(const std::string& line) { logEvent(LogLevel::Info, "decision", {{"text", line}}); }

}  // namespace stonebay
