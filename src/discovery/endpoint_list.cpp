#include "discovery/endpoint_list.hpp"

#include "discovery/json.hpp"

namespace stonebay {

using simdjson::dom::element;

namespace {

constexpr std::size_t kMaxListBytes = 4 << 20;
constexpr std::int64_t kMaxCell = 65535;
constexpr std::string_view kWhiteSpace = " \t\r\n";

Lifecycle parseLifecycle(std::string_view text, const std::string& path) {
  if (text == "active") return Lifecycle::Ready;
  if (text == "leaving") return Lifecycle::Draining;
  if (text == "left") return Lifecycle::Gone;
  throw InvalidInput("key " + path + "lifecycle: unknown value '" + std::string(text) + "'");
}

GroupId readGroup(const element& object, const std::string& path) {
  const auto cell = jsonField<std::int64_t>(object, "cell", path);
  if (cell < 0 || cell > kMaxCell) throw InvalidInput("key " + path + "cell: out of range");
  return static_cast<GroupId>(cell);
}

Instance readInstance(const element& object, const std::string& path) {
  Instance instance;
  instance.name = std::string(jsonField<std::string_view>(object, "instanceId", path));
  instance.state = parseLifecycle(jsonField<std::string_view>(object, "lifecycle", path), path);
  // An instance that is gone may come with its name alone.
  const bool optional = instance.state == Lifecycle::Gone;
  const auto expects = [&](const char* key) { return !optional || object[key].error() == simdjson::SUCCESS; };
  if (expects("hostPort"))
    instance.address = parseAddress(jsonField<std::string_view>(object, "hostPort", path), path + "hostPort");
  if (expects("zone")) instance.zone = std::string(jsonField<std::string_view>(object, "zone", path));
  std::string_view kind;
  if (object["machineType"].get(kind) == simdjson::SUCCESS) instance.kind = std::string(kind);
  if (expects("cell")) instance.group = readGroup(object, path);
  if (expects("weight")) instance.weight = jsonField<double>(object, "weight", path);
  if (expects("startedAtMs")) instance.startedMs = jsonField<std::int64_t>(object, "startedAtMs", path);
  if (instance.startedMs < 0) throw InvalidInput("key " + path + "startedAtMs: negative");
  return instance;
}

}  // namespace

bool operator==(const Instance& left, const Instance& right) {
  return left.name == right.name && left.address == right.address && left.zone == right.zone &&
         left.kind == right.kind && left.group == right.group && left.state == right.state &&
         left.weight == right.weight && left.startedMs == right.startedMs;
}

Address parseAddress(std::string_view text, const std::string& key) {
  const auto address = Address::parse(text);
  if (!address) throw InvalidInput("key " + key + ": '" + std::string(text) + "' is no address with a port");
  return *address;
}

InstanceList readInstances(const element& object, const std::string& path) {
  const auto generation = jsonField<std::int64_t>(object, "generation", path);
  if (generation < 0) throw InvalidInput("key " + path + "generation: negative");
  InstanceList list;
  list.generation = static_cast<std::uint64_t>(generation);
  list.reset = jsonField<bool>(object, "reset", path);
  std::size_t index = 0;
  for (const element instance : jsonField<simdjson::dom::array>(object, "instances", path)) {
    list.instances.push_back(readInstance(instance, path + "instances[" + std::to_string(index) + "]."));
    ++index;
  }
  return list;
}

InstanceList parseInstances(std::string_view json) {
  simdjson::dom::parser parser;
  element object;
  if (const auto error = parser.parse(simdjson::padded_string(json)).get(object))
    throw InvalidInput(std::string("list: ") + simdjson::error_message(error));
  return readInstances(object, "");
}

void EndpointListReader::feed(std::string_view bytes, const std::function<void(InstanceList)>& onList) {
  for (const char next : bytes) {
    if (depth_ == 0) {
      if (kWhiteSpace.find(next) != std::string_view::npos) continue;
      if (next != '{') throw InvalidInput("list: no object");
    }
    append(next);
    if (insideString_ || depth_ > 0) continue;
    std::string complete;
    complete.swap(object_);
    onList(parseInstances(complete));
  }
}

void EndpointListReader::append(char next) {
  if (object_.size() >= kMaxListBytes) throw InvalidInput("list: too long");
  object_.push_back(next);
  if (insideString_) {
    insideString_ = escaped_ || next != '"';
    escaped_ = !escaped_ && next == '\\';
    return;
  }
  insideString_ = next == '"';
  if (next == '{' || next == '[') ++depth_;
  if (next == '}' || next == ']') --depth_;
}

}  // namespace stonebay
