#include "util/event_loop.hpp"

#include <new>

namespace stonebay {
namespace {

constexpr int kPriorityCount = 2;
constexpr int kUnlimitedCallbacks = -1;

struct ConfigDeleter {
  void operator()(event_config* config) const { event_config_free(config); }
};

}  // namespace

EventBase newEventBase() {
  const std::unique_ptr<event_config, ConfigDeleter> config(event_config_new());
  if (!config) throw std::bad_alloc();
  const timeval maxDispatchTime = toTimeval(kMaxDispatchTime);
  event_config_set_max_dispatch_interval(config.get(), &maxDispatchTime, kUnlimitedCallbacks,
                                         kNormalPriority);
  EventBase base(event_base_new_with_config(config.get()));
  if (!base || event_base_priority_init(base.get(), kPriorityCount) != 0) throw std::bad_alloc();
  return base;
}

}  // namespace stonebay
