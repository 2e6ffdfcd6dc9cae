// Reads the INI format of the configuration, using the schema in settings_schema.hpp.
#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

#include "config/config.hpp"
#include "config/schema_reader.hpp"

namespace stonebay {
namespace {

constexpr std::int64_t kMaxGroupId = 65535;
constexpr Duration kClockResolution = std::chrono::milliseconds(5);

ValueError unknownGroup(const std::string& text) {
  return {"'" + text + "' is neither a [group] nor a number up to " + std::to_string(kMaxGroupId),
          "add [group " + text + "] with its number"};
}

// Builds a Config from a parsed file.
class IniConfigReader {
 public:
  IniConfigReader(IniFile file, std::string path) : reader_(std::move(file), std::move(path)) {}

  Config read() {
    reader_.checkTitles();
    readUnnamedSections();
    readNamedSections("class", &IniConfigReader::readClass);
    readNamedSections("group", &IniConfigReader::readGroup);
    readNamedSections("member", &IniConfigReader::readEndpoint);
    checkClasses();
    checkDiscovery();
    reader_.throwErrors();
    deriveSettings();
    return std::move(config_);
  }

 private:
  void readUnnamedSections() {
    for (const SettingsSection& schema : settingsSections())
      if (!schema.named) reader_.apply(schema.type, unnamedSection(schema.type), draft_);
  }

  const IniSection* unnamedSection(const std::string& type) const {
    for (const IniSection& section : reader_.sections())
      if (section.type == type && section.name.empty()) return &section;
    return nullptr;
  }

  void readNamedSections(const std::string& type, void (IniConfigReader::*readSection)(const IniSection&)) {
    for (const IniSection& section : reader_.sections())
      if (section.type == type && !section.name.empty()) (this->*readSection)(section);
  }

  void readClass(const IniSection& section) {
    draft_.requestClass = {};
    const std::size_t errorsBefore = reader_.errorCount();
    reader_.apply("class", &section, draft_);
    config_.classes.push_back(section.name);
    config_.settings.classes.push_back(draft_.requestClass);
    if (reader_.errorCount() == errorsBefore) checkClass(section, draft_.requestClass);
  }

  // Reports keys of a request class that contradict each other.
  void checkClass(const IniSection& section, const ClassSettings& settings) {
    if (settings.deadline < settings.latencyObjective)
      reader_.addKeyError(section, "give_up", {"it is shorter than aim", "make it at least as long as aim"});
    if (settings.consistency == Consistency::BoundedStaleness && settings.maxStaleness == Duration(0))
      reader_.addKeyError(
          section, "max_age",
          {"it is required with data = bounded", "set the maximum age of the data, such as max_age = 200ms"});
    if (settings.idempotency == Idempotency::IdempotencyKey && settings.deduplicationWindow == Duration(0))
      reader_.addKeyError(
          section, "repeats_dropped_for",
          {"it is required with repeats = keyed", "set how long a key is remembered, such as 2s"});
    if (settings.consistency == Consistency::Write && settings.idempotency == Idempotency::Idempotent)
      reader_.addKeyError(section, "repeats",
                          {"a write with repeats = safe could be executed twice", "use keyed or unsafe"});
  }

  void readGroup(const IniSection& section) {
    draft_.group = {section.name, 0};
    reader_.apply("group", &section, draft_);
    for (const GroupName& other : config_.groups)
      if (other.id == draft_.group.id)
        reader_.addKeyError(
            section, "number",
            {"[group " + other.name + "] already has this number", "give each group its own number"});
    config_.groups.push_back(draft_.group);
  }

  void readEndpoint(const IniSection& section) {
    draft_.endpoint = {};
    draft_.endpointGroup.clear();
    reader_.apply("member", &section, draft_);
    Instance& endpoint = draft_.endpoint;
    endpoint.name = section.name;
    if (const auto group = findGroup(draft_.endpointGroup))
      endpoint.group = *group;
    else if (!draft_.endpointGroup.empty())
      reader_.addKeyError(section, "group", unknownGroup(draft_.endpointGroup));
    for (const Instance& other : config_.initialEndpoints.instances)
      if (!endpoint.address.isUnset() && other.address == endpoint.address)
        reader_.addKeyError(
            section, "address",
            {"[member " + other.name + "] already has this address", "give each member its own address"});
    config_.initialEndpoints.instances.push_back(endpoint);
  }

  // Finds a group by its name or its number.
  std::optional<GroupId> findGroup(const std::string& text) const {
    for (const GroupName& group : config_.groups)
      if (group.name == text) return group.id;
    const auto number = parseCount(text);
    const auto* const id = std::get_if<std::int64_t>(&number);
    if (id && *id >= 0 && *id <= kMaxGroupId) return static_cast<GroupId>(*id);
    return std::nullopt;
  }

  void checkClasses() {
    if (!config_.classes.empty()) return;
    reader_.addError(0, "",
                     {"there is no [class NAME]",
                      "add one for each request class that clients name in their statements (c=)"});
  }

  void checkDiscovery() {
    switch (config_.discoveryType) {
      case DiscoveryType::Registry:
        if (config_.discovery.isUnset())
          reader_.addError(lineOfSection("discovery"), "[discovery] registry",
                           {"it is required with source = registry",
                            "set the address of the registry, or use source = fixed"});
        break;
      case DiscoveryType::DnsSd:
        checkDnsSd();
        break;
      case DiscoveryType::Fixed:
        if (config_.initialEndpoints.instances.empty())
          reader_.addError(lineOfSection("discovery"), "[discovery] source",
                           {"source = fixed requires a [member NAME]", "add one for each data server"});
        break;
    }
  }

  void checkDnsSd() {
    DnsSdSettings& settings = config_.dnssd;
    if (settings.domain.empty())
      addDnsSdError("domain",
                    {"it is required with source = dnssd", "set it, such as domain = ruwi.example.org"});
    if (settings.service.empty())
      addDnsSdError("service", {"it is empty", "set a service name such as _postgresql._tcp"});
    if (settings.servers.empty())
      addDnsSdError("name_servers", {"it is required with source = dnssd",
                                     "set the addresses of the name servers, such as 10.2.0.1:53"});
    if (settings.maxRefresh < settings.minRefresh)
      addDnsSdError("refresh_most",
                    {"it is shorter than refresh_least", "make it at least as long as refresh_least"});
    if (settings.flapReuse >= settings.flapSuppress)
      addDnsSdError("flap_reuse", {"it is not less than flap_suppress", "make it less than flap_suppress"});
    if (settings.defaultGroupName.empty()) return;
    settings.defaultGroup = findGroup(settings.defaultGroupName);
    if (!settings.defaultGroup) addDnsSdError("group", unknownGroup(settings.defaultGroupName));
  }

  void addDnsSdError(const std::string& key, ValueError error) {
    const IniSection* const section = lastSection("dnssd");
    reader_.addError(section ? lineOf(*section, key) : lineOfSection("discovery"), "[dnssd] " + key,
                     std::move(error));
  }

  const IniSection* lastSection(const std::string& type) const {
    const auto found = std::find_if(reader_.sections().rbegin(), reader_.sections().rend(),
                                    [&](const IniSection& section) { return section.type == type; });
    return found == reader_.sections().rend() ? nullptr : &*found;
  }

  int lineOfSection(const std::string& type) const {
    for (const IniSection& section : reader_.sections())
      if (section.type == type) return section.line;
    return 0;
  }

  // Sets the fields that follow from other settings. To be called only if the file has no errors.
  void deriveSettings() {
    Settings& settings = config_.settings;
    settings.cancellationAllowed = true;
    settings.clockResolution = kClockResolution;
    settings.discovery =
        config_.discoveryType == DiscoveryType::Registry ? DiscoveryMode::Poll : DiscoveryMode::Push;
    if (config_.discoveryType != DiscoveryType::Registry) settings.maxPollInterval = Duration(0);
    if (settings.reports == LoadReports::None) {
      settings.reportFields.clear();
      config_.reportNames.clear();
    }
    config_.tracksSessions = std::any_of(
        settings.classes.begin(), settings.classes.end(),
        [](const ClassSettings& each) { return each.consistency == Consistency::ReadYourWrites; });
    if (config_.seed == 0) config_.seed = randomSeed();
    config_.initialEndpoints.isComplete = true;
    deriveLimits(config_, static_cast<std::size_t>(draft_.descriptors), draft_.memory);
  }

  static std::uint64_t randomSeed() {
    std::random_device random;
    const std::uint64_t high = random();
    return high << 32U | random();
  }

  SchemaReader reader_;
  Config config_;
  SettingsDraft draft_{config_, 0, 0, {}, {}, {}, {}};
};

}  // namespace

Config parseSettings(const std::string& ini, const std::string& file) {
  return IniConfigReader(parseIni(ini, file), file).read();
}

Config readSettings(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  if (!file || !text)
    throw InvalidSettings({{path, 0, "", "it cannot be read", "check that it exists and is readable"}});
  return parseSettings(text.str(), path);
}

}  // namespace stonebay
