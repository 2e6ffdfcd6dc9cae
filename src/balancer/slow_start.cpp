#include "balancer/slow_start.hpp"

#include <algorithm>

namespace stonebay::balancer {

double SlowStart::warmUpCapacity(const Endpoint& endpoint) const {
  const Settings& settings = context_.settings;
  const Duration age = std::max(context_.now - endpoint.info.started, Duration(0));
  if (endpoint.info.started == TimePoint() || age >= settings.slowStartWindow) return 1;
  return settings.initialCapacity + (1 - settings.initialCapacity) * ratio(age, settings.slowStartWindow);
}

bool SlowStart::isWithinBudget(const Endpoint& endpoint, RequestId request, double costShare) const {
  double share = warmUpCapacity(endpoint);
  if (share >= 1) return true;
  const bool isReported = table_.hasFreshLoadReport(endpoint);
  const double safety = std::min(1.0, context_.settings.overloadFactor / (isReported ? 4 : 8));
  share *= safety * (isReported ? kReportedSlowStartFactor : 1);
  // The primary alone may be sent all requests of its group. The others get their part of them, which applies
  // to the writes of primary discovery, too.
  if (!endpoint.isPrimary()) share /= table_.largestGroupSize();
  share *= costShare;
  return context_.hash.fraction(request, endpoint.info.id) < share;
}

}  // namespace stonebay::balancer
