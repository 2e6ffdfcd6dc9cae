#include "discovery/endpoint_feed.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"

namespace stonebay {
namespace {

constexpr std::chrono::microseconds kFailureLogInterval = std::chrono::seconds(30);
constexpr double kMicrosecondsPerSecond = 1e6;

// Limits the event 'member' to the first instances of an update, as a list may have thousands. For registry
// lists, the event 'list_received' has the total number.
constexpr std::size_t kMaxLoggedInstances = 20;

void logInstance(const Instance& instance) {
  logEvent(LogLevel::Info, "member",
           {{"name", instance.name},
            {"state", lifecycleName(instance.state)},
            {"address", instance.address.text()},
            {"group", instance.group},
            {"started_ms", instance.startedMs}});
}

void logInstances(const EndpointListUpdate& update) {
  const std::size_t count = std::min(update.instances.size(), kMaxLoggedInstances);
  for (std::size_t i = 0; i < count; ++i) logInstance(update.instances[i]);
}

}  // namespace

EndpointFeed::EndpointFeed(event_base* base, const Clock& clock, EndpointListHandler& handler,
                           const EndpointTrackerPolicy& policy)
    : clock_(clock),
      handler_(handler),
      tracker_(policy),
      timer_(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<EndpointFeed*>(self)->publishUpdates(); },
          this)) {}

void EndpointFeed::onSnapshot(std::vector<Instance> instances, bool initial) {
  tracker_.onSnapshot(clock_.now(), std::move(instances), initial);
  publishUpdates();
}

void EndpointFeed::onEndpointList(EndpointListUpdate list) {
  logEvent(
      LogLevel::Info, "list_received",
      {{"generation", list.generation}, {"complete", list.isComplete}, {"members", list.instances.size()}});
  tracker_.onChange(clock_.now(), std::move(list));
  publishUpdates();
}

void EndpointFeed::onListFailure(const std::string& reason) {
  const auto now = clock_.now();
  tracker_.onFailure(now, reason);
  logFailure(now, reason);
  pendingFailure_ = reason;
  publishUpdates();
}

void EndpointFeed::logFailure(std::chrono::microseconds now, const std::string& reason) {
  const bool loggedBefore = failureLoggedAt_ != std::chrono::microseconds(0);
  if (loggedBefore && now - failureLoggedAt_ < kFailureLogInterval) return;
  failureLoggedAt_ = now;
  const auto updatedAt = tracker_.lastUpdateAt();
  if (!updatedAt) {
    logEvent(LogLevel::Warning, "discovery_failed", {{"why", reason}, {"list", "none yet"}});
    return;
  }
  const double ageSeconds = static_cast<double>((now - *updatedAt).count()) / kMicrosecondsPerSecond;
  logEvent(LogLevel::Warning, "discovery_failed", {{"why", reason}, {"list_age_s", ageSeconds}});
}

void EndpointFeed::publishUpdates() {
  const auto now = clock_.now();
  if (auto update = tracker_.takeUpdate(now)) {
    logInstances(*update);
    handler_.onEndpointList(std::move(*update));
  }
  if (tracker_.hasMoreUpdates()) {
    startTimer(timer_.get(), std::chrono::microseconds(0));
    return;
  }
  // A failure is reported after the lists that were received before it, because the handler takes any list as
  // the end of a failure.
  if (pendingFailure_) handler_.onListFailure(*std::exchange(pendingFailure_, std::nullopt));
  if (const auto deadline = tracker_.nextDeadline())
    startTimer(timer_.get(), *deadline - now);
  else
    event_del(timer_.get());
}

}  // namespace stonebay
