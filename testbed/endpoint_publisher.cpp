#include "testbed/endpoint_publisher.hpp"

#include <algorithm>

namespace stonebay::testbed {

void EndpointPublisher::publish(EndpointServer& endpoint, ListingState state) {
  isListed_[endpoint.number()] = true;
  for (const auto& proxy : proxies_)
    proxy->discovery().publish(endpoint, endpoint.address(proxy->number()), state);
}

void EndpointPublisher::withdraw(EndpointServer& endpoint) {
  isListed_[endpoint.number()] = false;
  audit_.onWithdrawn(context_.now(), endpoint.number());
  removeRecords(endpoint);
}

void EndpointPublisher::drain(EndpointServer& endpoint) {
  audit_.onWithdrawn(context_.now(), endpoint.number());
  publish(endpoint, ListingState::Leaving);
}

void EndpointPublisher::rename(EndpointServer& endpoint, const std::string& name) {
  removeRecords(endpoint);
  endpoint.rename(name);
  publish(endpoint);
}

void EndpointPublisher::removeRecords(const EndpointServer& endpoint) {
  for (const auto& proxy : proxies_) proxy->discovery().withdraw(endpoint.name());
}

void EndpointPublisher::beginChanges() {
  for (const auto& proxy : proxies_) proxy->discovery().beginChanges();
}

void EndpointPublisher::endChanges() {
  for (const auto& proxy : proxies_) proxy->discovery().endChanges();
}

bool EndpointPublisher::isListed(const EndpointServer& endpoint) const {
  const auto it = isListed_.find(endpoint.number());
  return it != isListed_.end() && it->second;
}

std::size_t EndpointPublisher::listedCount() const {
  return static_cast<std::size_t>(
      std::count_if(isListed_.begin(), isListed_.end(), [](const auto& entry) { return entry.second; }));
}

}  // namespace stonebay::testbed
