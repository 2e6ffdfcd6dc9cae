// DNS-SD as a discovery source of the endpoint list.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "discovery/dnssd/directory.hpp"
#include "discovery/dnssd/resolver.hpp"
#include "discovery/endpoint_feed.hpp"

namespace stonebay {

/// Sends the queries of a Directory through a Resolver, and delivers the resulting instances to an
/// EndpointFeed.
class DnsSdClient {
 public:
  /// Sends the first query in the next pass of the event loop. Throws InvalidInput if the settings have no
  /// valid domain or service.
  DnsSdClient(event_base* base, const Clock& clock, EndpointFeed& feed, const Config& config);

  /// Applies new settings. Does nothing if they are unchanged. The current list stays in use until the new
  /// domain has delivered a complete list. Throws InvalidInput like the constructor; the old settings then
  /// stay in force.
  void reconfigure(const Config& config);
  /// Returns why instances are not usable, by name.
  const std::map<std::string, std::string>& faults() const { return directory_->faults(); }

 private:
  void start(const Config& config);
  void sendDueQueries();
  void onResult(const dns::Question& question, const Resolver::Result& result);
  void onFailedLookup(const dns::Question& question, const std::string& reason);
  void publish();
  void logNewFaults();

  event_base* const base_;
  const Clock& clock_;
  EndpointFeed& feed_;
  DnsSdSettings settings_;
  std::unique_ptr<Directory> directory_;
  std::unique_ptr<Resolver> resolver_;
  Event timer_;
  bool hasPublished_ = false;  // under the current settings
  std::uint64_t publishedVersion_ = 0;
  std::map<std::string, std::string> loggedFaults_;
};

}  // namespace stonebay
