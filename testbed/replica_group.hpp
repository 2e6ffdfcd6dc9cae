// A group of stand-in endpoints: one primary, whose log is replicated to the others.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "testbed/endpoint_settings.hpp"
#include "testbed/timer.hpp"

namespace stonebay::testbed {

class EndpointServer;

class ReplicaGroup {
 public:
  ReplicaGroup(const EndpointEnvironment& environment, int number);

  int number() const { return number_; }  ///< from 1
  /// Adds an endpoint. The first one becomes the primary.
  void add(EndpointServer& endpoint);
  /// Returns null during a failover.
  EndpointServer* primary() const { return primary_; }

  /// Starts a failover. The replicas receive no further commits until one of them becomes the primary.
  void onPrimaryLost();
  /// Executes a write on the primary. A write whose idempotency key was already applied within the class's
  /// deduplication window has no effect.
  void applyWrite(const RequestClass& requestClass, const std::string& idempotencyKey, Time now);

 private:
  void electPrimary();

  const EndpointEnvironment environment_;
  const int number_;
  std::vector<EndpointServer*> endpoints_;
  EndpointServer* primary_ = nullptr;
  Timer failover_;
  std::map<std::string, Time> appliedAt_;  // by idempotency key
};

}  // namespace stonebay::testbed
