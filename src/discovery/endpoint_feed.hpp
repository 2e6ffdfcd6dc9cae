// Between a source of the list and whoever takes it (the engine): what a member is since when is
// EndpointTracker's; this gives it the time, wakes it when something changes by itself, and logs what the
// taker is told.
#pragma once

#include "discovery/endpoint_tracker.hpp"
#include "util/clock.hpp"
#include "util/event.hpp"

namespace stonebay {

class EndpointFeed final : public EndpointListHandler {
 public:
  EndpointFeed(event_base*, const Clock&, EndpointListHandler& to, const EndpointTrackerPolicy&);

  // From a source that tells everything each time; see EndpointTracker::found.
  void found(std::vector<Instance>, bool first);
  // From a source with generations.
  void onEndpointList(InstanceList) override;
  void onListFailure(const std::string& why) override;
  std::uint64_t generation() const override { return members_.generation(); }

  void policy(const EndpointTrackerPolicy& p) { members_.policy(p); }
  EndpointTracker::View view() const { return members_.view(clock_.now()); }

 private:
  void pass();

  const Clock& clock_;
  EndpointListHandler& to_;
  EndpointTracker members_;
  Event timer_;
  std::chrono::microseconds logged_{};  // when the age of the list was last logged
};

}  // namespace stonebay
