// Estimates the error of the wall clock at the time when the process read it.
#pragma once

#include <optional>

#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Compares this process's time with the positions that endpoints report. All other machines share one clock.
/// This process reads its machine's wall clock only once, at startup (see Clock), and that reading may have
/// been wrong by seconds or by an hour.
///
/// No endpoint can have applied commits of the future, so a single position ahead of this process's time
/// shows that this process is behind. The position of a primary is close to the present, so this process is
/// ahead if the positions of all primaries are far behind for several seconds, or if a single one is so far
/// behind that no delay of a report explains it.
class WallClockCorrection {
 public:
  /// Positions that differ from this process's time by more than this are errors of their endpoints and are
  /// ignored.
  static constexpr Duration kMaxError = std::chrono::hours(2);

  /// Returns the correction: Unix time minus this process's time.
  Duration value() const { return value_; }
  /// Updates the correction from a position in Unix time, up to which an endpoint has applied all commits.
  /// Returns the change of value(), which is 0 if it has not changed.
  Duration observe(TimePoint position, bool isPrimary, TimePoint now);

 private:
  // Consecutive positions of primaries, all of them far behind.
  struct BehindPositions {
    TimePoint firstObservedAt;
    int count = 0;
    Duration greatestError{};  // error of the position that is least behind
  };

  Duration observePrimaryPosition(Duration error, TimePoint now);
  Duration setValue(Duration value);

  Duration value_{};
  std::optional<BehindPositions> behindPositions_;
};

}  // namespace stonebay
