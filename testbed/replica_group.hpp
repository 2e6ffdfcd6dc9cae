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
  /// The first endpoint that is added is the primary.
  void add(EndpointServer& endpoint);
  /// Null during a failover.
  EndpointServer* primary() const { return primary_; }

  /// The positions of the replicas stand still until one of them takes over.
  void onPrimaryLost();
  /// Executes a write on the primary. It has no effect if its idempotency key was applied within the class's
  /// deduplication window.
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
