// Text helpers of the experiment parser.
#pragma once

#include <iterator>
#include <sstream>
#include <string>
#include <vector>

namespace stonebay::testbed {

/// The words of a line, separated by blanks.
inline std::vector<std::string> splitWords(const std::string& text) {
  std::istringstream stream(text);
  return {std::istream_iterator<std::string>(stream), std::istream_iterator<std::string>()};
}

/// The keys of a map, as "a, b, c".
template <typename Map>
std::string joinKeys(const Map& map) {
  std::string list;
  for (const auto& entry : map) list += (list.empty() ? "" : ", ") + entry.first;
  return list;
}

}  // namespace stonebay::testbed
