// Connects a source of the endpoint list to its handler through an EndpointTracker.
#pragma once

#include <optional>
#include <string>

#include "discovery/endpoint_tracker.hpp"
#include "util/clock.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Gives an EndpointTracker the time, wakes it for its deadlines, passes its updates on and logs them.
class EndpointFeed final : public EndpointListHandler {
 public:
  /// `handler` must outlive the feed.
  EndpointFeed(event_base* base, const Clock& clock, EndpointListHandler& handler,
               const EndpointTrackerPolicy& policy);

  /// The handler has these from elsewhere. To be called before anything else.
  void assumePublished(const std::vector<Instance>& instances) { tracker_.assumePublished(instances); }
  /// From a source that delivers complete lists only; see EndpointTracker::onSnapshot.
  void onSnapshot(std::vector<Instance> instances, bool initial);
  /// From a source with generations; see EndpointTracker::onChange.
  void onEndpointList(EndpointListUpdate list) override;
  void onListFailure(const std::string& why) override;
  void onListInput() override { handler_.onListInput(); }
  std::uint64_t generation() const override { return tracker_.generation(); }

  void setPolicy(const EndpointTrackerPolicy& policy) { tracker_.setPolicy(policy); }
  EndpointTracker::View view() const { return tracker_.view(clock_.now()); }

 private:
  void publishUpdates();
  void logFailure(std::chrono::microseconds now, const std::string& why);

  const Clock& clock_;
  EndpointListHandler& handler_;
  EndpointTracker tracker_;
  Event timer_;
  std::optional<std::string> unpublishedFailure_;  // came while parts of a list were still to be published
  std::chrono::microseconds failureLoggedAt_{};
};

}  // namespace stonebay
