// The source of the list that the settings name.
#pragma once

#include <memory>

#include "discovery/endpoint_feed.hpp"
#include "dispatch/dispatcher.hpp"

namespace stonebay {

class DiscoverySource : public EndpointWatcher {
 public:
  virtual void move(const Config&) = 0;  // new settings of discovery, while it runs
  // Instances that are left out, by name, and why.
  virtual std::map<std::string, std::string> faults() const { return {}; }
};

EndpointTrackerPolicy trackerPolicy(const Config&);
// Throws InvalidInput where this build lacks the source.
std::unique_ptr<DiscoverySource> openDiscoverySource(event_base*, const Clock&, EndpointFeed&, const Config&);

}  // namespace stonebay
