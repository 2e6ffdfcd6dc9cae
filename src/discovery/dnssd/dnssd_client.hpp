// DNS-SD as a source of the endpoint list.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "discovery/dnssd/directory.hpp"
#include "discovery/dnssd/resolver.hpp"
#include "discovery/endpoint_feed.hpp"

namespace stonebay {

/// Sends the queries of a Directory through a Resolver, and delivers the instances that result to an
/// EndpointFeed.
class DnsSdClient {
 public:
  /// Queries from the next pass of the event loop on. Throws InvalidInput when the settings name no domain.
  DnsSdClient(event_base* base, const Clock& clock, EndpointFeed& feed, const Config& config);

  /// Applies new settings; nothing happens when they are the same. The list stands until the new domain has
  /// delivered a complete one. Throws InvalidInput as the constructor does, and then keeps the old settings.
  void reconfigure(const Config& config);
  /// Instances that are not usable, by name, and why.
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
  bool hasPublished_ = false;  // since these settings apply
  std::uint64_t publishedVersion_ = 0;
  std::map<std::string, std::string> loggedFaults_;
};

}  // namespace stonebay
