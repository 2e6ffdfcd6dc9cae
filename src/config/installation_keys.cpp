// The settings that describe the installation: its data servers, clients, rules and optimization goal.
#include "config/setting_keys.hpp"

namespace stonebay {
namespace {

constexpr Choice<LoadReports> kLoadReports[] = {
    {"none", LoadReports::None}, {"answers", LoadReports::Piggyback}, {"probes", LoadReports::Pull}};

constexpr Choice<StaleReadPolicy> kStaleReadPolicies[] = {{"served", StaleReadPolicy::Serve},
                                                          {"refused", StaleReadPolicy::Reject},
                                                          {"held", StaleReadPolicy::Wait}};

constexpr Choice<ListedRole> kListedRoles[] = {
    {"never", ListedRole::Never}, {"start", ListedRole::AtStart}, {"late", ListedRole::Delayed}};

constexpr Choice<bool> kSessionTokens[] = {{"carried", true}, {"remembered", false}};

constexpr Choice<ReportField> kReportFields[] = {{"x0", ReportField::Position},
                                                 {"x1", ReportField::Primary},
                                                 {"inflight", ReportField::InFlight},
                                                 {"queue", ReportField::Queue}};

ReportField reportField(const std::string& name) {
  const auto* const known =
      std::find_if(std::begin(kReportFields), std::end(kReportFields),
                   [&](const Choice<ReportField>& choice) { return name == choice.word; });
  return known == std::end(kReportFields) ? ReportField::Other : known->value;
}

void assignReportFields(SettingsDraft& draft, const SettingValue& value) {
  const auto& names = std::get<std::vector<std::string>>(value);
  std::vector<ReportField>& fields = draft.config.settings.reportFields;
  fields.clear();
  for (const std::string& name : names) fields.push_back(reportField(name));
  draft.config.reportNames = names;
}

}  // namespace

std::vector<SettingKey> dataServersKeys() {
  return {
      {"reports", oneOf(kLoadReports), "probes", assign(&Settings::reports, kLoadReports),
       "How data servers report their load: with each answer (the parameter `load`), in reply to a probe "
       "(`SHOW load`), or not at all."},
      {"report_values", ValueKind::Words, "x0, x1, inflight", assignReportFields,
       "The names of the values in a load report, in order, separated by commas: x0 (position in the log, "
       "Unix seconds), x1 (1 from a primary), inflight, queue. Values with other names are ignored."},
      {"probes", ValueKind::Flag, "yes", assign(&Settings::healthChecksAllowed),
       "Whether the proxy may probe data servers. Each probe costs a data server a little work."},
      {"positions", ValueKind::Flag, "yes", assign(&Settings::positionsInResponses),
       "Whether answers include the position up to which the log is applied (the parameter `applied_ms`)."},
      {"stale_reads", oneOf(kStaleReadPolicies), "served",
       assign(&Settings::staleReadPolicy, kStaleReadPolicies),
       "What a data server does with a read that needs newer data than it has: serves the data it has (only "
       "the proxy then enforces the bound), refuses the read (72000), or holds it for a while to catch up."},
      {"held_for",
       {ValueKind::TimeSpan, 0, 60 * kSecond},
       "0",
       assign(&Settings::staleReadWait),
       "With `stale_reads = held`: how long a data server holds such a read."},
      {"role_listed", oneOf(kListedRoles), "never", assign(&Settings::listedRole, kListedRoles),
       "Whether the list of data servers names the primary: never, only as it was at the start, or some "
       "seconds late."},
      {"synchronous", ValueKind::Flag, "no", assign(&Settings::synchronousReplication),
       "Whether a write is answered only after a replica has received it."},
      {"gone_still_serves", ValueKind::Flag, "no", assign(&Settings::removedEndpointsAcceptRequests),
       "Whether a data server that is no longer on the list may still receive requests, so that only "
       "draining forbids them. Keep it at no unless the list is known to lose servers that are running."},
  };
}

std::vector<SettingKey> clientsKeys() {
  return {
      {"come_again", ValueKind::Flag, "yes", assign(&Settings::retryAfterAllowed),
       "Whether a refusal tells the client when to retry (field D of the error, in ms)."},
      {"come_again_most",
       {ValueKind::TimeSpan, 0, kHour},
       "1s",
       assign(&Settings::maxRetryAfter),
       "The longest such retry delay that clients honor."},
      {"session_positions", oneOf(kSessionTokens), "carried",
       assign(&Settings::requestsCarrySessionToken, kSessionTokens),
       "Whether session reads carry the position that they must see (`after=`), or the proxy remembers the "
       "position of each session."},
  };
}

std::vector<SettingKey> rulesKeys() {
  return {
      {"drain_grace",
       {ValueKind::TimeSpan, 0, kHour},
       "1s",
       assign(&Settings::drainGracePeriod),
       "How long the proxy may still send new requests to a data server after it has learned that the server "
       "is draining or gone."},
      {"cold_for",
       {ValueKind::TimeSpan, 0, kHour},
       "18s",
       assign(&Settings::slowStartWindow),
       "The longest time that a data server takes to warm up after its start."},
      {"cold_capacity",
       {ValueKind::Share, 0.0001, 1},
       "21%",
       assign(&Settings::initialCapacity),
       "The minimum share of its full capacity that a data server has when it starts."},
      {"fall_multiple",
       {ValueKind::Number, 1, 1000},
       "2.5",
       assign(&Settings::overloadFactor),
       "A cold data server fails if it receives more than this multiple of its current capacity over a "
       "period of `fall_for`."},
      {"fall_for",
       {ValueKind::TimeSpan, kMillisecond, kHour},
       "1500ms",
       assign(&Settings::overloadWindow),
       "The period over which the load on a cold data server is compared with `fall_multiple`."},
  };
}

std::vector<SettingKey> goalKeys() {
  return {
      {"whole",
       {ValueKind::Share, 0, 1},
       "55%",
       assign(&Settings::totalServedGoalWeight),
       "The weight of the share of the total worth that is served."},
      {"worst_class",
       {ValueKind::Share, 0, 1},
       "30%",
       assign(&Settings::worstClassGoalWeight),
       "The weight of the share that is served of the worst-served class."},
  };
}

}  // namespace stonebay
