// Client for watches on the HTTP registry.
#pragma once

#include "codec/http/http.hpp"
#include "discovery/endpoint_list.hpp"
#include "dispatch/dispatcher.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Watches the registry over one connection at a time. Passes each received list to the handler, and reports
/// the end of the connection, whatever its cause, with one call of EndpointListHandler::onListFailure.
class RegistryWatch final : public EndpointWatcher {
 public:
  /// `handler` must outlive the watch.
  RegistryWatch(event_base* base, EndpointListHandler& handler, const Address& address);

  /// Connects and requests the changes after generation `after`. Does nothing if a watch is active.
  void watch(std::uint64_t after) override;
  /// Moves the watch to another address and requests the changes after the last received generation. Closes
  /// the old connection without reporting a failure.
  void setAddress(const Address& address);

 private:
  void onReadable();
  void fail(const char* reason);

  event_base* const base_;
  EndpointListHandler& handler_;
  Address address_;
  BufferEvent connection_;
  Event silenceTimer_;
  http::Response response_;
  EndpointListReader reader_;
};

}  // namespace stonebay
