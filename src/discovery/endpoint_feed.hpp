// Connects a discovery source, through an EndpointTracker, to the handler of the endpoint list.
#pragma once

#include <optional>
#include <string>

#include "discovery/endpoint_tracker.hpp"
#include "util/clock.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Passes the events of a discovery source to an EndpointTracker, runs the timer for its deadlines, and
/// delivers its updates to the handler. Logs updates and failures.
class EndpointFeed final : public EndpointListHandler {
 public:
  /// `handler` must outlive the feed.
  EndpointFeed(event_base* base, const Clock& clock, EndpointListHandler& handler,
               const EndpointTrackerPolicy& policy);

  /// Treats the instances as published already: the handler knows them from the configuration. Must be called
  /// before any other function.
  void assumePublished(const std::vector<Instance>& instances) { tracker_.assumePublished(instances); }
  /// Handles a list of a source that delivers complete lists only; see EndpointTracker::onSnapshot.
  void onSnapshot(std::vector<Instance> instances, bool initial);
  /// Handles a list of a source with generations; see EndpointTracker::onChange.
  void onEndpointList(EndpointListUpdate list) override;
  void onListFailure(const std::string& reason) override;
  void onListInput() override { handler_.onListInput(); }
  std::uint64_t generation() const override { return tracker_.generation(); }

  void setPolicy(const EndpointTrackerPolicy& policy) { tracker_.setPolicy(policy); }
  EndpointTracker::View view() const { return tracker_.view(clock_.now()); }

 private:
  void publishUpdates();
  void logFailure(std::chrono::microseconds now, const std::string& reason);

  const Clock& clock_;
  EndpointListHandler& handler_;
  EndpointTracker tracker_;
  Event timer_;
  // Reported to the handler after all pending parts of a list.
  std::optional<std::string> pendingFailure_;
  std::chrono::microseconds failureLoggedAt_{};  // 0: no failure has been logged
};

}  // namespace stonebay
