// The endpoint list as service discovery delivers it, and the parser of the registry's JSON form.
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

/// As the registry names it: active, leaving or left.
const char* lifecycleName(Lifecycle state);

/// One service instance as discovery describes it.
struct Instance {
  std::string name;
  Address address;  ///< none when not given, as is allowed for an instance that is gone
  std::string zone;
  std::string kind;  ///< machine type; empty when not given
  GroupId group = 0;
  Lifecycle state = Lifecycle::Ready;
  double weight = 1;
  std::int64_t startedMs = 0;  ///< Unix time in milliseconds; 0: long ago
};
bool operator==(const Instance& left, const Instance& right);
inline bool operator!=(const Instance& left, const Instance& right) { return !(left == right); }

/// A complete list or a change of one.
struct EndpointListUpdate {
  std::uint64_t generation = 0;
  bool reset = false;  ///< the list is complete: an instance that it lacks is gone
  std::vector<Instance> instances;
};

/// Receives the endpoint list from its source: a complete list first, then changes, or the source's failures.
class EndpointListHandler {
 public:
  virtual ~EndpointListHandler() = default;
  virtual void onEndpointList(EndpointListUpdate) = 0;
  virtual void onListFailure(const std::string& why) = 0;
  /// Bytes of a list have arrived; they are parsed after this call.
  virtual void onListInput() {}
  /// Generation of the last list that was received; 0 before the first.
  virtual std::uint64_t generation() const = 0;
};

/// Input that cannot be parsed; the message names the offending key.
struct InvalidInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Address::parse. Throws InvalidInput, which names `key`, when the text is not an address with a port.
Address parseAddress(std::string_view text, const std::string& key);

/// Parses one list in the registry's JSON form. Throws InvalidInput.
EndpointListUpdate parseEndpointList(std::string_view json);

/// Splits a byte stream into endpoint lists: consecutive JSON objects, separated by white space or by
/// nothing. The stream may be cut anywhere. Each instance is parsed as soon as it is complete, so that the
/// work for a long list is spread over its arrival.
class EndpointListReader {
 public:
  /// Calls `onList` for each list that is complete, in order. Throws InvalidInput; the lists before the fault
  /// have been delivered by then.
  void feed(std::string_view bytes, const std::function<void(EndpointListUpdate)>& onList);

 private:
  // Open brackets around the elements of the array of instances.
  static constexpr int kInstancesDepth = 2;

  bool takeSeparator(char next);
  void append(char next);
  void finishElement();
  void finishList(const std::function<void(EndpointListUpdate)>& onList);
  simdjson::dom::element parse(const std::string& json);

  simdjson::dom::parser parser_;
  std::string object_;               // the list's part that has arrived, without its instances
  std::string element_;              // the part of an instance that has arrived
  std::vector<Instance> instances_;  // the list's complete ones
  std::size_t length_ = 0;           // of the list's part that has arrived
  bool inInstances_ = false;         // within the array of instances
  bool needsComma_ = false;          // before the next instance
  int depth_ = 0;                    // open brackets
  bool insideString_ = false;
  bool escaped_ = false;  // the previous character was a backslash within a string
};

}  // namespace stonebay
