// The client of the HTTP registry's watch.
#pragma once

#include "codec/http/http.hpp"
#include "discovery/endpoint_list.hpp"
#include "dispatch/dispatcher.hpp"
#include "util/event.hpp"

namespace stonebay {

/// Watches the registry over one connection at a time. Each list that arrives goes to the handler; the end of
/// the connection, for whatever reason, is one EndpointListHandler::onListFailure.
class RegistryWatch final : public EndpointWatcher {
 public:
  /// `handler` must outlive the watch.
  RegistryWatch(event_base* base, EndpointListHandler& handler, const Address& address);

  /// Connects and requests the changes after generation `after`. Does nothing while a watch is active.
  void watch(std::uint64_t after) override;
  /// Moves the watch to another address and resumes after the last known generation. The old connection is
  /// closed without a failure.
  void setAddress(const Address& address);

 private:
  void onReadable();
  void fail(const char* why);

  event_base* const base_;
  EndpointListHandler& handler_;
  Address address_;
  BufferEvent connection_;
  Event silenceTimer_;
  http::Response response_;
  EndpointListReader reader_;
};

}  // namespace stonebay
