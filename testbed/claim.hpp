// Claims of an experiment: conditions that its figures must meet.
#pragma once

#include <optional>
#include <string>

namespace stonebay::testbed {

enum class Relation { Equal, Less, LessOrEqual, Greater, GreaterOrEqual };

/// A condition such as "late_sends = 0".
struct Claim {
  std::string text;    ///< as written in the experiment file
  std::string figure;  ///< a name in Figures
  Relation relation = Relation::Equal;
  double value = 0;

  bool holds(double measured) const;
};

/// Parses "FIGURE RELATION NUMBER". Returns std::nullopt if the text has another form.
std::optional<Claim> parseClaim(const std::string& text);

}  // namespace stonebay::testbed
