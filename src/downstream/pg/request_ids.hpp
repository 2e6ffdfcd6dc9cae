// The ids that clients gave to their requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_set>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Keeps two requests with the same id from being executed: while one is in flight, and for some time after
/// one has ended that may have been executed and must not be executed twice. Its client may have left before
/// the response, and its endpoint may still be working on it.
class RequestIds {
 public:
  /// For how long an id is remembered at least, unless so many others follow that kMaxRecent is reached.
  static constexpr Duration kMinMemory = std::chrono::seconds(30);
  /// Number of ids after which the older half of the memory is dropped.
  static constexpr std::size_t kMaxRecent = 16384;

  /// Returns whether a request with this id must not be accepted.
  bool contains(const std::string& id) const;
  void begin(const std::string& id) { inFlight_.insert(id); }
  /// The request has ended. `remember`: its id must not be accepted again.
  void end(const std::string& id, bool remember, TimePoint now);
  /// Number of ids that are remembered, for tests.
  std::size_t recentCount() const { return recent_.size() + older_.size(); }

 private:
  std::unordered_set<std::string> inFlight_;
  // Hashes of the remembered ids. The older ones are dropped when the recent ones take their place.
  std::unordered_set<std::uint64_t> recent_;
  std::unordered_set<std::uint64_t> older_;
  TimePoint recentSince_{};
};

}  // namespace stonebay
