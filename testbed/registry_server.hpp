// A stand-in HTTP registry. Serves the complete endpoint list or a watch on its changes, as described in the
// platform's pages.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "testbed/run_context.hpp"

namespace stonebay::testbed {

/// Serves one proxy. Each proxy has its own registry and can be notified at a different time.
class RegistryServer {
 public:
  /// Called for each instance when a list or a change that covers it is sent. `listed` is false if the
  /// instance is leaving or withdrawn.
  using ListingHandler = std::function<void(const std::string& name, bool listed)>;

  /// Listens on 127.0.0.1 at a port chosen by the system. Throws std::runtime_error if it can't listen.
  RegistryServer(const RunContext& context, ListingHandler onListing);
  ~RegistryServer();
  RegistryServer(const RegistryServer&) = delete;
  RegistryServer& operator=(const RegistryServer&) = delete;

  int port() const { return port_; }
  /// Adds or replaces an instance and sends the change to the watches.
  /// @param json the instance's JSON object, without its braces
  /// @param listed whether proxies may send it requests
  void publish(const std::string& name, const std::string& json, bool listed);
  void withdraw(const std::string& name);
  /// Going down ends the watches. While it is down, new requests get status 503.
  void setDown(bool down);
  /// Ends the watches and drops the history of changes, so that new watches get a complete list whatever
  /// generation they have.
  void restart();
  /// Changes between these two calls are sent as one update.
  void beginChanges() { isBatchingChanges_ = true; }
  void endChanges();
  /// Bytes of endpoint lists sent so far.
  std::uint64_t listBytes() const { return listBytes_; }

 private:
  class Connection;
  enum class Scope { AllInstances, ChangesOnly };
  struct Entry {
    std::string json;
    bool listed = true;
    bool withdrawn = false;
    std::uint64_t generation = 0;
  };

  void listen();
  void accept(evutil_socket_t fd);
  void remove(Connection& connection);
  void notifyWatches();
  std::string encodeList(std::uint64_t afterGeneration, Scope scope);

  const RunContext& context_;
  const ListingHandler onListing_;
  int port_ = 0;
  bool isDown_ = false;
  std::uint64_t generation_ = 1;
  std::uint64_t historyStart_ = 0;  // requests after an older generation get a complete list
  std::uint64_t listBytes_ = 0;
  bool isBatchingChanges_ = false;
  std::map<std::string, Entry> entries_;  // by name
  std::unordered_map<Connection*, std::unique_ptr<Connection>> connections_;
  Listener listener_;
};

}  // namespace stonebay::testbed
