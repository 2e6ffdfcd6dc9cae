// The configured source of the endpoint list.
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
  /// Applies new discovery settings while the program runs. A change of the kind of source needs a restart:
  /// it is logged and ignored.
  virtual void reconfigure(const Config&) = 0;
  /// Instances that are invalid and therefore not in the list: the reason by instance name.
  virtual std::map<std::string, std::string> faults() const { return {}; }
};

/// How the source's list is damped and when it expires.
EndpointTrackerPolicy trackerPolicy(const Config& config);

/// The source that the configuration names. Throws InvalidInput when this build lacks it.
std::unique_ptr<DiscoverySource> openDiscoverySource(event_base* base, const Clock& clock, EndpointFeed& feed,
                                                     const Config& config);

}  // namespace stonebay
