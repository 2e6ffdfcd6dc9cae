#include "balancer/gossip_policy.hpp"

#include "balancer/load_report.hpp"

namespace stonebay::balancer {

void GossipPolicy::observeReport(Endpoint& endpoint, const std::vector<float>& values) {
  const LoadReport report = decodeLoadReport(values, context_.settings);
  if (report.inFlight) endpoint.load = {*report.inFlight, context_.now};
  if (!report.position || *report.position > context_.now) return;
  table_.observePosition(endpoint, *report.position);
  if (report.role == Role::Unknown) return;
  table_.observeRole(endpoint, report.role, *report.position);
  if (!mayBroadcast(endpoint)) return;
  endpoint.broadcast = {context_.now, context_.now};
  const bool isPrimary = report.role == Role::Primary;
  context_.sink.broadcast({endpoint.info.id, *report.position, isPrimary, endpoint.load.inFlight});
}

bool GossipPolicy::mayBroadcast(const Endpoint& endpoint) const {
  if (!context_.settings.gossipAllowed) return false;
  const auto hasElapsed = [&](TimePoint since, Duration interval) {
    return since == kNever || context_.now - since >= interval;
  };
  const Duration ownInterval = kBroadcastInterval * context_.settings.proxyCount / 2;
  return hasElapsed(endpoint.broadcast.last, kBroadcastInterval) &&
         hasElapsed(endpoint.broadcast.lastOwn, ownInterval);
}

bool GossipPolicy::observeGossip(Endpoint& endpoint, const GossipMessage& message) {
  if (message.position > context_.now) return false;
  endpoint.broadcast.last = context_.now;
  endpoint.lastResponseAt = context_.now;
  endpoint.load = {message.inFlight, context_.now};
  table_.observePosition(endpoint, message.position);
  table_.observeRole(endpoint, message.primary ? Role::Primary : Role::Replica, message.position);
  return true;
}

}  // namespace stonebay::balancer
