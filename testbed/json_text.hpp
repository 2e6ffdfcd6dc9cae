// Members of JSON objects, for the stand-in registry.
#pragma once

#include <string>

namespace stonebay::testbed {

/// The text must not need escapes.
inline std::string jsonString(const std::string& text) { return '"' + text + '"'; }

/// @param value JSON text
inline std::string jsonMember(const std::string& name, const std::string& value) {
  return jsonString(name) + ':' + value;
}

}  // namespace stonebay::testbed
