// Client for watches on the HTTP registry.
#pragma once

#include <chrono>

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
  std::chrono::microseconds sinceContact() const override;
  /// Moves the watch to another address and requests the changes after the last received generation. Closes
  /// the old connection without reporting a failure.
  void setAddress(const Address& address);

 private:
  void onReadable();
  void onSilence();
  void fail(const char* reason);
  void restartSilenceTimer();

  event_base* const base_;
  EndpointListHandler& handler_;
  Address address_;
  BufferEvent connection_;
  Event silenceTimer_;
  http::Response response_;
  EndpointListReader reader_;
  bool listReceived_ = false;  // on this connection
  int silentCalls_ = 0;        // calls in a row that were not answered in time
  std::chrono::steady_clock::time_point lastContactAt_ = std::chrono::steady_clock::now();
};

}  // namespace stonebay
