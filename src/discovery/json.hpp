// Checked access to JSON values parsed by simdjson.
#pragma once

#include <simdjson.h>

#include <cstddef>
#include <string>

#include "discovery/endpoint_list.hpp"

namespace stonebay {

/// The path of an element of an array, which is made into text only for an error.
struct JsonPath {
  const std::string& array;
  std::size_t index;
};
inline std::string pathText(const std::string& path) { return path; }
inline std::string pathText(const JsonPath& path) {
  return path.array + "[" + std::to_string(path.index) + "].";
}

/// The value of `key` in `object`. Throws InvalidInput, which names `path` + `key`, when it is missing or of
/// another type. `path`: text or a JsonPath.
template <typename T, typename Path>
T jsonField(const simdjson::dom::element& object, const char* key, const Path& path) {
  T value;
  if (const auto error = object[key].get(value))
    throw InvalidInput("key " + pathText(path) + key + ": " +
                       (error == simdjson::NO_SUCH_FIELD ? "missing" : simdjson::error_message(error)));
  return value;
}

/// The endpoint list in `object`; `path` is the prefix of the key names in errors. Throws InvalidInput.
EndpointListUpdate readInstances(const simdjson::dom::element& object, const std::string& path);

}  // namespace stonebay
