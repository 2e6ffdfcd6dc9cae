// The interface of discovery towards the dispatcher.
#pragma once

#include <cstdint>

namespace stonebay {

/// Watches the endpoint list.
class EndpointWatcher {
 public:
  virtual ~EndpointWatcher() = default;
  /// Starts a watch for changes after a generation of the list. It brings any number of
  /// Dispatcher::onEndpointList, and ends with one Dispatcher::onListFailure if it fails.
  virtual void watch(std::uint64_t afterGeneration) = 0;
};

}  // namespace stonebay
