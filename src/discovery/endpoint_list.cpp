#include "discovery/endpoint_list.hpp"

#include "discovery/json.hpp"

namespace stonebay {

using simdjson::dom::element;

namespace {

constexpr std::size_t kMaxListBytes = 4 << 20;
constexpr std::int64_t kMaxCell = 65535;
constexpr std::string_view kWhiteSpace = " \t\r\n";

Lifecycle parseLifecycle(std::string_view text, const JsonPath& path) {
  if (text == "active") return Lifecycle::Ready;
  if (text == "leaving") return Lifecycle::Draining;
  if (text == "left") return Lifecycle::Removed;
  throw InvalidInput("key " + pathText(path) + "lifecycle: unknown value '" + std::string(text) + "'");
}

GroupId readGroup(const element& object, const JsonPath& path) {
  const auto cell = jsonField<std::int64_t>(object, "cell", path);
  if (cell < 0 || cell > kMaxCell) throw InvalidInput("key " + pathText(path) + "cell: out of range");
  return static_cast<GroupId>(cell);
}

Address readAddress(const element& object, const JsonPath& path) {
  const auto text = jsonField<std::string_view>(object, "hostPort", path);
  const auto address = Address::parse(text);
  return address ? *address : parseAddress(text, pathText(path) + "hostPort");
}

Instance readInstance(const element& object, const JsonPath& path) {
  Instance instance;
  instance.name = std::string(jsonField<std::string_view>(object, "instanceId", path));
  instance.state = parseLifecycle(jsonField<std::string_view>(object, "lifecycle", path), path);
  // A removed instance needs no field but its name.
  const bool fieldsOptional = instance.state == Lifecycle::Removed;
  const auto shouldRead = [&](const char* key) {
    return !fieldsOptional || object[key].error() == simdjson::SUCCESS;
  };
  if (shouldRead("hostPort")) instance.address = readAddress(object, path);
  if (shouldRead("zone")) instance.zone = std::string(jsonField<std::string_view>(object, "zone", path));
  std::string_view kind;
  if (object["machineType"].get(kind) == simdjson::SUCCESS) instance.kind = std::string(kind);
  if (shouldRead("cell")) instance.group = readGroup(object, path);
  if (shouldRead("weight")) instance.weight = jsonField<double>(object, "weight", path);
  if (shouldRead("startedAtMs")) instance.startedMs = jsonField<std::int64_t>(object, "startedAtMs", path);
  if (instance.startedMs < 0) throw InvalidInput("key " + pathText(path) + "startedAtMs: negative");
  return instance;
}

// Returns true if the text, which ends with an opening bracket, ends with the key "instances", a colon and
// the bracket.
bool endsInInstancesKey(std::string_view text) {
  constexpr std::string_view kKey = "\"instances\"";
  const auto trim = [&text] {
    while (!text.empty() && kWhiteSpace.find(text.back()) != std::string_view::npos) text.remove_suffix(1);
  };
  text.remove_suffix(1);  // the opening bracket
  trim();
  if (text.empty() || text.back() != ':') return false;
  text.remove_suffix(1);
  trim();
  return text.size() >= kKey.size() && text.substr(text.size() - kKey.size()) == kKey;
}

}  // namespace

const char* lifecycleName(Lifecycle state) {
  switch (state) {
    case Lifecycle::Ready:
      return "active";
    case Lifecycle::Draining:
      return "leaving";
    case Lifecycle::Removed:
      break;
  }
  return "left";
}

bool operator==(const Instance& left, const Instance& right) {
  return left.name == right.name && left.address == right.address && left.zone == right.zone &&
         left.kind == right.kind && left.group == right.group && left.state == right.state &&
         left.weight == right.weight && left.startedMs == right.startedMs;
}

Address parseAddress(std::string_view text, const std::string& key) {
  const auto address = Address::parse(text);
  if (!address)
    throw InvalidInput("key " + key + ": '" + std::string(text) + "' is not an address with a port");
  return *address;
}

EndpointListUpdate readEndpointList(const element& object, const std::string& path) {
  const auto generation = jsonField<std::int64_t>(object, "generation", path);
  if (generation < 0) throw InvalidInput("key " + path + "generation: negative");
  EndpointListUpdate list;
  list.generation = static_cast<std::uint64_t>(generation);
  list.isComplete = jsonField<bool>(object, "reset", path);
  const std::string array = path + "instances";
  for (const element instance : jsonField<simdjson::dom::array>(object, "instances", path))
    list.instances.push_back(readInstance(instance, {array, list.instances.size()}));
  return list;
}

EndpointListUpdate parseEndpointList(std::string_view json) {
  simdjson::dom::parser parser;
  element object;
  if (const auto error = parser.parse(simdjson::padded_string(json)).get(object))
    throw InvalidInput(std::string("list: ") + simdjson::error_message(error));
  return readEndpointList(object, "");
}

void EndpointListReader::feed(std::string_view bytes, const std::function<void(EndpointListUpdate)>& onList) {
  for (const char next : bytes) {
    if (depth_ == 0) {
      if (kWhiteSpace.find(next) != std::string_view::npos) continue;
      if (next != '{') throw InvalidInput("list: not an object");
    }
    if (++listBytes_ > kMaxListBytes) throw InvalidInput("list: too long");
    if (inInstances_ && instanceJson_.empty() && !insideString_ && skipSeparator(next)) continue;
    append(next);
    if (insideString_) continue;
    if (depth_ == kInstancesDepth && !instanceJson_.empty()) finishInstance();
    if (depth_ == 0) finishList(onList);
  }
}

// Handles a character between the elements of the array "instances". Returns true if it is white space or a
// comma, which is not stored; false if it starts an instance or ends the array.
bool EndpointListReader::skipSeparator(char next) {
  if (kWhiteSpace.find(next) != std::string_view::npos) return true;
  if (next == ',') {
    if (!needsComma_) throw InvalidInput("list: a comma without an instance before it");
    needsComma_ = false;
    return true;
  }
  if (next == ']') {
    if (!needsComma_ && !instances_.empty()) throw InvalidInput("list: a comma without an instance after it");
    inInstances_ = false;
    return false;
  }
  if (next != '{') throw InvalidInput("list: an instance is not an object");
  if (needsComma_) throw InvalidInput("list: missing comma between instances");
  return false;
}

void EndpointListReader::append(char next) {
  const bool isPartOfInstance = inInstances_ && depth_ >= kInstancesDepth;
  (isPartOfInstance ? instanceJson_ : listJson_).push_back(next);
  if (insideString_) {
    insideString_ = escaped_ || next != '"';
    escaped_ = !escaped_ && next == '\\';
    return;
  }
  insideString_ = next == '"';
  if (next == '{' || next == '[') ++depth_;
  if (next == '}' || next == ']') --depth_;
  if (next == '[' && depth_ == kInstancesDepth && endsInInstancesKey(listJson_)) inInstances_ = true;
}

void EndpointListReader::finishInstance() {
  static const std::string array = "instances";
  instances_.push_back(readInstance(parse(instanceJson_), {array, instances_.size()}));
  instanceJson_.clear();
  needsComma_ = true;
}

void EndpointListReader::finishList(const std::function<void(EndpointListUpdate)>& onList) {
  EndpointListUpdate list = readEndpointList(parse(listJson_), "");
  list.instances = std::move(instances_);
  listJson_.clear();
  instances_.clear();
  needsComma_ = false;
  listBytes_ = 0;
  onList(std::move(list));
}

element EndpointListReader::parse(const std::string& json) {
  element object;
  if (const auto error = parser_.parse(json).get(object))
    throw InvalidInput(std::string("list: ") + simdjson::error_message(error));
  return object;
}

}  // namespace stonebay
