// Encodes members of JSON objects for the stand-in registry.
#pragma once

#include <string>

namespace stonebay::testbed {

/// Quotes the text, which must not contain characters that need escaping.
inline std::string jsonString(const std::string& text) { return '"' + text + '"'; }

/// @param value encoded JSON value
inline std::string jsonMember(const std::string& name, const std::string& value) {
  return jsonString(name) + ':' + value;
}

}  // namespace stonebay::testbed
