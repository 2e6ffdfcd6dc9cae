#include "simulator/settings_parser.hpp"

#include <cstddef>
#include <vector>

namespace stonebay::simulator {
namespace {

constexpr int kMaxClasses = 65535;  // a request carries the index of its class as a u16
constexpr int kMaxAttempts = 255;   // an outcome carries the number of its attempt as a u8
constexpr double kMaxProxies = 1e9;

constexpr SettingChoice<Consistency> kConsistencies[] = {{"any", Consistency::Eventual},
                                                         {"bounded", Consistency::BoundedStaleness},
                                                         {"session", Consistency::ReadYourWrites},
                                                         {"fresh", Consistency::Strong},
                                                         {"write", Consistency::Write}};
constexpr SettingChoice<Idempotency> kIdempotencies[] = {{"safe", Idempotency::Idempotent},
                                                         {"keyed", Idempotency::IdempotencyKey},
                                                         {"unsafe", Idempotency::NonIdempotent}};
constexpr SettingChoice<DeduplicationScope> kDeduplicationScopes[] = {
    {"all", DeduplicationScope::All},
    {"zone", DeduplicationScope::Zone},
    {"cell", DeduplicationScope::ReplicaGroup}};
constexpr SettingChoice<StaleReadPolicy> kStaleReadPolicies[] = {
    {"silent", StaleReadPolicy::Serve}, {"refuse", StaleReadPolicy::Reject}, {"wait", StaleReadPolicy::Wait}};
constexpr SettingChoice<ListedRole> kListedRoles[] = {
    {"silent", ListedRole::Never}, {"start", ListedRole::AtStart}, {"late", ListedRole::Delayed}};
constexpr SettingChoice<DiscoveryMode> kDiscoveryModes[] = {{"automatic", DiscoveryMode::Push},
                                                            {"subscribe", DiscoveryMode::Poll}};
constexpr SettingChoice<LoadReports> kLoadReports[] = {
    {"silent", LoadReports::None}, {"piggyback", LoadReports::Piggyback}, {"pull", LoadReports::Pull}};
constexpr SettingChoice<ReportField> kReportFields[] = {{"x0", ReportField::Position},
                                                        {"x1", ReportField::Primary},
                                                        {"inflight", ReportField::InFlight},
                                                        {"queue", ReportField::Queue}};
constexpr SettingChoice<bool> kSessionTokensCarried[] = {{"carried", true}, {"remembered", false}};

void requireOneForEachClass(const SettingsText& text, const std::string& key, std::size_t size,
                            std::size_t classCount) {
  if (size != classCount)
    throw InvalidSetting("setting " + key + " must have classes.count values: '" + text.text(key) + "'");
}

// Reads the settings under classes.N. The consistency and staleness of all classes are separate lists.
ClassSettings readClass(const SettingsText& text, std::size_t index, Consistency consistency,
                        Duration maxStaleness) {
  const std::string prefix = "classes." + std::to_string(index) + ".";
  ClassSettings requestClass;
  requestClass.consistency = consistency;
  requestClass.maxStaleness = maxStaleness;
  requestClass.idempotency = text.choice(prefix + "effect", kIdempotencies);
  if (requestClass.idempotency == Idempotency::IdempotencyKey) {
    requestClass.deduplicationScope = text.choice(prefix + "group", kDeduplicationScopes);
    requestClass.deduplicationWindow = text.time(prefix + "memorySpanUs");
  }
  requestClass.latencyObjective = text.time(prefix + "promiseUs");
  requestClass.deadline = text.time(prefix + "deadlineUs");
  requestClass.priorityWeight = text.number(prefix + "worth");
  requestClass.latePriorityShare = text.number(prefix + "lateWorth");
  return requestClass;
}

void readClasses(const SettingsText& text, Settings& settings) {
  const std::string consistencyKey = "specifics.consistency";
  const std::string stalenessKey = "specifics.classBoundUs";
  const auto count = static_cast<std::size_t>(text.integer("classes.count", 1, kMaxClasses));
  const std::vector<std::string> consistencies = text.list(consistencyKey);
  const std::vector<std::string> stalenessBounds = text.list(stalenessKey);
  requireOneForEachClass(text, consistencyKey, consistencies.size(), count);
  requireOneForEachClass(text, stalenessKey, stalenessBounds.size(), count);
  for (std::size_t i = 0; i < count; ++i) {
    const auto consistency = SettingsText::parseChoice(consistencyKey, consistencies[i], kConsistencies);
    const Duration maxStaleness = SettingsText::parseTime(stalenessKey, stalenessBounds[i]);
    settings.classes.push_back(readClass(text, i, consistency, maxStaleness));
  }
}

void readModes(const SettingsText& text, Settings& settings) {
  settings.staleReadPolicy = text.choice("specifics.checks", kStaleReadPolicies);
  settings.listedRole = text.choice("specifics.roleListed", kListedRoles);
  settings.discovery = text.choice("discovery", kDiscoveryModes);
}

// Unknown names are allowed, because a site may report values that the load balancer does not use.
ReportField reportField(const std::string& name) {
  for (const SettingChoice<ReportField>& known : kReportFields)
    if (known.text == name) return known.value;
  return ReportField::Other;
}

void readLoadReports(const SettingsText& text, Settings& settings) {
  settings.reports = text.choice("report.how", kLoadReports);
  if (settings.reports == LoadReports::None) return;
  for (const std::string& name : text.list("report.names"))
    settings.reportFields.push_back(reportField(name));
}

void readReplication(const SettingsText& text, Settings& settings) {
  settings.positionsInResponses = text.flag("specifics.stamps");
  settings.requestsCarrySessionToken = text.choice("specifics.sessionMarks", kSessionTokensCarried);
  settings.synchronousReplication = text.flag("specifics.synchronous");
}

bool optionalFlag(const SettingsText& text, const std::string& key) {
  return text.has(key) && text.flag(key);
}

void readPermissionsAndLimits(const SettingsText& text, Settings& settings) {
  settings.healthChecksAllowed = text.flag("allowed.probing");
  settings.gossipAllowed = optionalFlag(text, "allowed.peers");
  settings.cancellationAllowed = text.flag("allowed.cancel");
  settings.hedgingAllowed = text.flag("allowed.parallelTries");
  settings.retryAfterAllowed = text.flag("allowed.retryAfter");
  settings.removedEndpointsAcceptRequests = optionalFlag(text, "obligations.droppedStayOpen");
  settings.maxAttempts = text.integer("allowed.attemptsCap", 1, kMaxAttempts);
  settings.proxyCount = text.integer("balancers", 1, kMaxProxies);
}

void readTimes(const SettingsText& text, Settings& settings) {
  settings.staleReadWait = text.time("specifics.holdsForUs");
  settings.positionEpoch = TimePoint(text.time("specifics.zeroUs"));
  settings.maxRetryAfter = text.time("allowed.maxRetryAfterUs");
  settings.drainGracePeriod = text.time("obligations.drainGraceUs");
  settings.slowStartWindow = text.time("obligations.coldUs");
  settings.overloadWindow = text.time("obligations.fallUs");
  if (settings.discovery == DiscoveryMode::Poll)
    settings.maxPollInterval = text.time("obligations.mustAskInUs");
  settings.clockResolution = text.time("stepUs");
}

void readCapacityAndGoals(const SettingsText& text, Settings& settings) {
  settings.initialCapacity = text.number("obligations.startCapacity");
  settings.overloadFactor = text.number("obligations.fallMultiple");
  settings.totalServedGoalWeight = text.number("goal.whole");
  settings.worstClassGoalWeight = text.number("goal.worstClass");
}

}  // namespace

Settings parseSettings(const std::string& text) {
  const SettingsText values(text);
  Settings settings;
  readClasses(values, settings);
  readModes(values, settings);
  readLoadReports(values, settings);
  readReplication(values, settings);
  readPermissionsAndLimits(values, settings);
  readTimes(values, settings);
  readCapacityAndGoals(values, settings);
  return settings;
}

}  // namespace stonebay::simulator
