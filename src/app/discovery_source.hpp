// The source of the endpoint list, as configured.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "discovery/endpoint_feed.hpp"
#include "dispatch/dispatcher.hpp"

namespace stonebay {

/// A source that delivers endpoint lists to an EndpointFeed.
class DiscoverySource : public EndpointWatcher {
 public:
  /// Applies new discovery settings while the process runs. A change of the discovery type requires a
  /// restart, so it is logged and ignored.
  virtual void reconfigure(const Config&) = 0;
  /// Returns the instances that are invalid and therefore not in the list: the reason by instance name.
  virtual std::map<std::string, std::string> faults() const { return {}; }
};

/// Returns the policy for flap damping and for the expiry of the endpoint list.
EndpointTrackerPolicy trackerPolicy(const Config& config);

/// Creates the source that the configuration specifies. Throws InvalidInput if this build does not support
/// it.
std::unique_ptr<DiscoverySource> openDiscoverySource(event_base* base, const Clock& clock, EndpointFeed& feed,
                                                     const Config& config);

}  // namespace stonebay
