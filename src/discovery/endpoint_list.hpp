// The endpoint list that service discovery delivers, and the parser of the registry's JSON form.
#pragma once

#include <simdjson.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/address.hpp"
#include "stonebay/load_balancer.hpp"

namespace stonebay {

/// Returns the registry's name of a lifecycle state: active, leaving or left.
const char* lifecycleName(Lifecycle state);

/// A service instance: one endpoint as discovery describes it.
struct Instance {
  std::string name;
  Address address;  ///< none if not given, which only the state Removed allows
  std::string zone;
  std::string kind;  ///< machine type; empty: unknown
  GroupId group = 0;
  Lifecycle state = Lifecycle::Ready;
  double weight = 1;
  std::int64_t startedMs = 0;  ///< Unix time in milliseconds; 0: not given, or long ago
};
bool operator==(const Instance& left, const Instance& right);
inline bool operator!=(const Instance& left, const Instance& right) { return !(left == right); }

/// A complete endpoint list, or the changes to one.
struct EndpointListUpdate {
  std::uint64_t generation = 0;
  bool isComplete = false;  ///< the list is complete: instances that are not in it have been removed
  std::vector<Instance> instances;
};

/// Receives complete endpoint lists and changes from a discovery source, and the failures of the source.
class EndpointListHandler {
 public:
  virtual ~EndpointListHandler() = default;
  virtual void onEndpointList(EndpointListUpdate) = 0;
  virtual void onListFailure(const std::string& reason) = 0;
  /// Called when bytes of a list have arrived, before they are parsed.
  virtual void onListInput() {}
  /// Returns the generation of the last list received; 0 before the first one.
  virtual std::uint64_t generation() const = 0;
};

/// Thrown for input that cannot be parsed. The message names the invalid key.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Like Address::parse, but throws InvalidInput, which names `key`, if the text is not an address with a
/// port.
Address parseAddress(std::string_view text, const std::string& key);

/// Parses one list in the registry's JSON form. Throws InvalidInput.
EndpointListUpdate parseEndpointList(std::string_view json);

/// Incremental parser for a byte stream of endpoint lists, which are consecutive JSON objects with optional
/// white space between them. The stream may be split into chunks at any byte. Each instance is parsed as soon
/// as it is complete, so that the work for a long list is spread over the time in which it arrives.
class EndpointListReader {
 public:
  /// Calls `onList` for each complete list, in order. Throws InvalidInput at the first error, after `onList`
  /// has been called for all lists before it.
  void feed(std::string_view bytes, const std::function<void(EndpointListUpdate)>& onList);

 private:
  // Number of open brackets around each element of the array "instances".
  static constexpr int kInstancesDepth = 2;

  bool skipSeparator(char next);
  void append(char next);
  void finishInstance();
  void finishList(const std::function<void(EndpointListUpdate)>& onList);
  simdjson::dom::element parse(const std::string& json);

  simdjson::dom::parser parser_;
  std::string listJson_;             // received part of the current list, without its instances
  std::string instanceJson_;         // received part of the current instance
  std::vector<Instance> instances_;  // complete instances of the current list
  std::size_t listBytes_ = 0;        // received bytes of the current list
  bool inInstances_ = false;         // inside the array "instances"
  bool needsComma_ = false;          // a comma must precede the next instance
  int depth_ = 0;                    // number of open brackets
  bool insideString_ = false;
  bool escaped_ = false;  // the previous character was a backslash that starts an escape
};

}  // namespace stonebay
