// Claims of an experiment: what its figures must be.
#pragma once

#include <optional>
#include <string>

namespace stonebay::testbed {

enum class Relation { Equal, Less, LessOrEqual, Greater, GreaterOrEqual };

/// "late_sends = 0"
struct Claim {
  std::string text;    ///< as the experiment states it
  std::string figure;  ///< a name in Figures
  Relation relation = Relation::Equal;
  double value = 0;

  bool holds(double measured) const;
};

/// Nothing if the text is not FIGURE RELATION NUMBER.
std::optional<Claim> parseClaim(const std::string& text);

}  // namespace stonebay::testbed
