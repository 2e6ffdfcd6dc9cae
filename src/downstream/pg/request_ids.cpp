#include "downstream/pg/request_ids.hpp"

#include <utility>

#include "util/hash.hpp"

namespace stonebay {

bool RequestIds::contains(const std::string& id) const {
  const std::uint64_t hash = fnv1a(id);
  return inFlight_.count(id) > 0 || recent_.count(hash) > 0 || older_.count(hash) > 0;
}

void RequestIds::end(const std::string& id, bool remember, TimePoint now) {
  inFlight_.erase(id);
  if (now - recentSince_ >= kMinMemory || recent_.size() >= kMaxRecent) {
    older_ = std::exchange(recent_, {});
    recentSince_ = now;
  }
  if (remember) recent_.insert(fnv1a(id));
}

}  // namespace stonebay
