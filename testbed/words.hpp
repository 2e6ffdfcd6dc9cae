// Text helpers for the parsers of experiments, scripts and claims.
#pragma once

#include <iterator>
#include <sstream>
#include <string>
#include <vector>

namespace stonebay::testbed {

/// Splits a line into words separated by whitespace.
inline std::vector<std::string> splitWords(const std::string& text) {
  std::istringstream stream(text);
  return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

/// Returns the keys of a map in the form "a, b, c".
template <typename Map>
std::string joinKeys(const Map& map) {
  std::string list;
  for (const auto& entry : map) list += (list.empty() ? "" : ", ") + entry.first;
  return list;
}

}  // namespace stonebay::testbed
