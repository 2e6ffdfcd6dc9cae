// Checked access to JSON values parsed by simdjson.
#pragma once

#include <simdjson.h>

#include <string>

#include "discovery/endpoint_list.hpp"

namespace stonebay {

/// The value of `key` in `object`. Throws InvalidInput, which names `path` + `key`, when it is missing or of
/// another type.
template <typename T>
T jsonField(const simdjson::dom::element& object, const char* key, const std::string& path) {
  T value;
  if (const auto error = object[key].get(value))
    throw InvalidInput("key " + path + key + ": " +
                       (error == simdjson::NO_SUCH_FIELD ? "missing" : simdjson::error_message(error)));
  return value;
}

/// The endpoint list in `object`; `path` is the prefix of the key names in errors. Throws InvalidInput.
InstanceList readInstances(const simdjson::dom::element& object, const std::string& path);

}  // namespace stonebay
