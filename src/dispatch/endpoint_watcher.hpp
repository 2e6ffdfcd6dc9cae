// The interface through which the dispatcher uses discovery.
#pragma once

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
};

}  // namespace stonebay
