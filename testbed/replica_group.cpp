#include "testbed/replica_group.hpp"

#include "testbed/audit.hpp"
#include "testbed/endpoint_server.hpp"

namespace stonebay::testbed {
namespace {

constexpr Time kElectionRetryInterval = std::chrono::seconds(1);

}  // namespace

ReplicaGroup::ReplicaGroup(const EndpointEnvironment& environment, int number)
    : environment_(environment),
      number_(number),
      failover_(environment.context, [this] { electPrimary(); }) {}

void ReplicaGroup::add(EndpointServer& endpoint) {
  endpoints_.push_back(&endpoint);
  if (primary_ == nullptr) primary_ = &endpoint;
}

void ReplicaGroup::onPrimaryLost() {
  RunContext& context = environment_.context;
  const FleetSettings& settings = environment_.settings;
  const Time now = context.now();
  primary_->log().restartFrom(now, now);
  primary_ = nullptr;
  for (EndpointServer* const endpoint : endpoints_) endpoint->log().setDisconnected(true, now);
  const Time detection = context.uniform(settings.minFailureDetection, settings.maxFailureDetection);
  const Time takeover = context.uniform(settings.minTakeover, settings.maxTakeover);
  failover_.startIn(detection + takeover);
}

void ReplicaGroup::electPrimary() {
  const Time now = environment_.context.now();
  EndpointServer* candidate = nullptr;
  for (EndpointServer* const endpoint : endpoints_) {
    if (!endpoint->isResponsive()) continue;
    if (candidate == nullptr || endpoint->log().position(now) > candidate->log().position(now))
      candidate = endpoint;
  }
  if (candidate == nullptr) return failover_.startIn(kElectionRetryInterval);
  primary_ = candidate;
  for (EndpointServer* const endpoint : endpoints_) endpoint->log().setDisconnected(false, now);
}

void ReplicaGroup::applyWrite(const RequestClass& requestClass, const std::string& idempotencyKey, Time now) {
  if (!idempotencyKey.empty()) {
    const auto applied = appliedAt_.find(idempotencyKey);
    if (applied != appliedAt_.end() && now - applied->second <= requestClass.deduplicationWindow) return;
    appliedAt_[idempotencyKey] = now;
    environment_.audit.onWriteApplied(now, idempotencyKey, requestClass.deduplicationWindow);
  }
  for (EndpointServer* const endpoint : endpoints_)
    if (endpoint != primary_) endpoint->log().commit(now);
}

}  // namespace stonebay::testbed
