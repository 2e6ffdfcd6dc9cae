// Selection among several name servers.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace stonebay {

/// Selects the name server for the next query. Pure.
///
/// The server that responded last is preferred, because the servers of a zone may have different versions of
/// it, and alternating between them would make records flap. A server that failed is avoided for a backoff
/// time that doubles with each failure. If all servers are in backoff, the one whose backoff ends first is
/// selected.
class NameServers {
 public:
  using Time = std::chrono::microseconds;
  explicit NameServers(std::size_t count) : servers_(count) {}

  /// Returns the index of the best server that has not been attempted, or std::nullopt if all have been.
  /// `attempted` has one flag per server.
  std::optional<std::size_t> select(Time now, const std::vector<bool>& attempted) const;
  void onFailure(std::size_t server, Time now);
  void onResponse(std::size_t server);

 private:
  struct State {
    int failures = 0;  // consecutive
    Time backoffUntil{};
  };
  std::vector<State> servers_;
  std::size_t current_ = 0;  // the server that responded last
};

}  // namespace stonebay
