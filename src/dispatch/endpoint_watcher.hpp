// The interface through which the dispatcher uses discovery.
#pragma once

#include <chrono>
#include <cstdint>

namespace stonebay {

/// Watches the endpoint list.
class EndpointWatcher {
 public:
  virtual ~EndpointWatcher() = default;
  /// Starts a watch for changes after the given generation of the list. The watch calls
  /// Dispatcher::onEndpointList any number of times; if it fails, it ends with one call of
  /// Dispatcher::onListFailure.
  virtual void watch(std::uint64_t afterGeneration) = 0;
  /// Returns how long ago the last sign of a working watch was. Longer if the time by which a missed change
  /// counts as notified is shorter than after the loss of a watch. Sources that schedule their queries
  /// themselves return 0.
  virtual std::chrono::microseconds sinceContact() const { return {}; }
};

}  // namespace stonebay
