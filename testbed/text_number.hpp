// Formats numbers for reports.
#pragma once

#include <array>
#include <cstdio>
#include <string>

namespace stonebay::testbed {

/// Returns the value as text with up to six significant digits.
inline std::string numberText(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  return text.data();
}

}  // namespace stonebay::testbed
