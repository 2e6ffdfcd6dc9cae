// The keys that describe the installation: its data servers, clients, rules and goal.
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
       "Where load reports travel: with answers (the parameter `load`), on being asked (`SHOW load`), or "
       "nowhere."},
      {"report_values", ValueKind::Words, "x0, x1, inflight", assignReportFields,
       "The values of a report: x0 (position in the log, Unix seconds), x1 (1 from a primary), inflight, "
       "queue; others are read and not used."},
      {"probes", ValueKind::Flag, "yes", assign(&Settings::healthChecksAllowed),
       "Whether they may be probed. Each probe costs a data server a little work."},
      {"positions", ValueKind::Flag, "yes", assign(&Settings::positionsInResponses),
       "Whether answers tell how far the log is applied (the parameter `applied_ms`)."},
      {"stale_reads", oneOf(kStaleReadPolicies), "served",
       assign(&Settings::staleReadPolicy, kStaleReadPolicies),
       "What a data server does with a read that it lags for: serves what it has (the proxy alone then keeps "
       "the bound), refuses it (72000), or holds it for a while to catch up."},
      {"held_for",
       {ValueKind::TimeSpan, 0, 60 * kSecond},
       "0",
       assign(&Settings::staleReadWait),
       "With `stale_reads = held`: how long."},
      {"role_listed", oneOf(kListedRoles), "never", assign(&Settings::listedRole, kListedRoles),
       "Whether the list names the primary: never, as it was at its start, or some seconds late."},
      {"synchronous", ValueKind::Flag, "no", assign(&Settings::synchronousReplication),
       "Whether a write is answered only once a replica has it."},
      {"gone_still_serves", ValueKind::Flag, "no", assign(&Settings::removedEndpointsAcceptRequests),
       "Whether a server that is gone from the list may still be sent work, so that only draining binds. "
       "Leave it at no unless the list is known to lose servers that run."},
  };
}

std::vector<SettingKey> clientsKeys() {
  return {
      {"come_again", ValueKind::Flag, "yes", assign(&Settings::retryAfterAllowed),
       "Whether refusals tell when to come back (field D, in ms)."},
      {"come_again_most",
       {ValueKind::TimeSpan, 0, kHour},
       "1s",
       assign(&Settings::maxRetryAfter),
       "The longest wait that clients keep to."},
      {"session_positions", oneOf(kSessionTokens), "carried",
       assign(&Settings::requestsCarrySessionToken, kSessionTokens),
       "Whether session reads bring the position that they have to see (`after=`), or the proxy remembers "
       "what it served each session."},
  };
}

std::vector<SettingKey> rulesKeys() {
  return {
      {"drain_grace",
       {ValueKind::TimeSpan, 0, kHour},
       "1s",
       assign(&Settings::drainGracePeriod),
       "Nothing new to a data server later than this after it was told that it drains or is gone."},
      {"cold_for",
       {ValueKind::TimeSpan, 0, kHour},
       "18s",
       assign(&Settings::slowStartWindow),
       "After its start a data server is warm no later than this."},
      {"cold_capacity",
       {ValueKind::Share, 0.0001, 1},
       "21%",
       assign(&Settings::initialCapacity),
       "The share of its capacity that it starts with, at least."},
      {"fall_multiple",
       {ValueKind::Number, 1, 1000},
       "2.5",
       assign(&Settings::overloadFactor),
       "A cold data server that is sent more than this multiple of what it can do falls over,"},
      {"fall_for",
       {ValueKind::TimeSpan, kMillisecond, kHour},
       "1500ms",
       assign(&Settings::overloadWindow),
       "when it is sent that for so long."},
  };
}

std::vector<SettingKey> goalKeys() {
  return {
      {"whole",
       {ValueKind::Share, 0, 1},
       "55%",
       assign(&Settings::totalServedGoalWeight),
       "The weight of all that is served."},
      {"worst_class",
       {ValueKind::Share, 0, 1},
       "30%",
       assign(&Settings::worstClassGoalWeight),
       "The weight of the class that is served worst."},
  };
}

}  // namespace stonebay
