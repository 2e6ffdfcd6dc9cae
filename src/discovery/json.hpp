// Checked access to JSON values parsed by simdjson.
#pragma once

#include <simdjson.h>

#include <cstddef>
#include <string>

#include "discovery/endpoint_list.hpp"

namespace stonebay {

/// The path of an array element. It is formatted only if an error is reported.
struct JsonPath {
  const std::string& array;
  std::size_t index;
};
inline std::string pathText(const std::string& path) { return path; }
inline std::string pathText(const JsonPath& path) {
  return path.array + "[" + std::to_string(path.index) + "].";
}

/// Returns the value of `key` in `object`. Throws InvalidInput, which names `path` + `key`, if it is missing
/// or has another type. `path` is a std::string or a JsonPath.
template <typename T, typename Path>
T jsonField(const simdjson::dom::element& object, const char* key, const Path& path) {
  T value;
  if (const auto error = object[key].get(value))
    throw InvalidInput("key " + pathText(path) + key + ": " +
                       (error == simdjson::NO_SUCH_FIELD ? "missing" : simdjson::error_message(error)));
  return value;
}

/// Parses the endpoint list in `object`. `path` is the prefix of the key names in error messages. Throws
/// InvalidInput.
EndpointListUpdate readEndpointList(const simdjson::dom::element& object, const std::string& path);

}  // namespace stonebay
