// The last commit of each session, for reads that must see the session's own writes.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

/// Maps each session to the instant of its last commit.
class SessionCommits {
 public:
  /// Records a commit of a session, unless a later one is known.
  void record(std::uint64_t session, TimePoint commit) {
    TimePoint& last = commits_[session];
    last = std::max(last, commit);
  }
  /// Returns std::nullopt if no commit of the session is known.
  std::optional<TimePoint> find(std::uint64_t session) const {
    const auto it = commits_.find(session);
    if (it == commits_.end()) return std::nullopt;
    return it->second;
  }
  std::size_t size() const { return commits_.size(); }
  void shiftAll(Duration shift) {
    for (auto& [session, commit] : commits_) commit += shift;
  }
  /// Removes all sessions. Returns the latest of their commits, or 0 if there are none.
  TimePoint evictAll() {
    TimePoint latest{};
    for (const auto& [session, commit] : commits_) latest = std::max(latest, commit);
    commits_.clear();
    return latest;
  }

 private:
  std::unordered_map<std::uint64_t, TimePoint> commits_;
};

}  // namespace stonebay::balancer
