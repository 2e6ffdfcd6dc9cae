#include "balancer/settings_validation.hpp"

#include <stdexcept>

namespace stonebay::balancer {

void validate(const Settings& settings) {
  if (settings.classes.empty()) throw std::invalid_argument("no classes");
  for (const ClassSettings& requestClass : settings.classes)
    if (requestClass.latencyObjective <= Duration(0) || requestClass.deadline < requestClass.latencyObjective)
      throw std::invalid_argument("a class's latency objective is 0 or past its deadline");
  if (settings.maxAttempts < 1 || settings.proxyCount < 1)
    throw std::invalid_argument("the number of attempts or of proxies is below 1");
  if (settings.initialCapacity <= 0 || settings.initialCapacity > 1)
    throw std::invalid_argument("the initial capacity is not in (0, 1]");
}

}  // namespace stonebay::balancer
