// The keys of sections that have a name: request classes, replica groups and endpoints.
#include "config/setting_keys.hpp"

namespace stonebay {
namespace {

constexpr Choice<Consistency> kConsistencies[] = {{"any", Consistency::Eventual},
                                                  {"bounded", Consistency::BoundedStaleness},
                                                  {"session", Consistency::ReadYourWrites},
                                                  {"fresh", Consistency::Strong},
                                                  {"write", Consistency::Write}};

constexpr Choice<Idempotency> kIdempotencies[] = {{"safe", Idempotency::Idempotent},
                                                  {"keyed", Idempotency::IdempotencyKey},
                                                  {"unsafe", Idempotency::NonIdempotent}};

constexpr Choice<DeduplicationScope> kDeduplicationScopes[] = {{"all", DeduplicationScope::All},
                                                               {"zone", DeduplicationScope::Zone},
                                                               {"group", DeduplicationScope::ReplicaGroup}};

}  // namespace

std::vector<SettingKey> classKeys() {
  return {
      {"data", oneOf(kConsistencies), kRequired, assign(&ClassSettings::consistency, kConsistencies),
       "What data a request needs: any; no older than max_age; all that its session wrote; all that was "
       "written before it came; or the primary, to write."},
      {"max_age",
       {ValueKind::TimeSpan, 0, 24 * kHour},
       "0",
       assign(&ClassSettings::maxStaleness),
       "With `data = bounded`: the greatest age of the data when the request is sent."},
      {"repeats", oneOf(kIdempotencies), kRequired, assign(&ClassSettings::idempotency, kIdempotencies),
       "Whether a request may run twice: always, within what drops repeats of its key (`k=`), or never."},
      {"repeats_dropped_by", oneOf(kDeduplicationScopes), "group",
       assign(&ClassSettings::deduplicationScope, kDeduplicationScopes),
       "With `repeats = keyed`: which data servers know a key that one of them has seen."},
      {"repeats_dropped_for",
       {ValueKind::TimeSpan, 0, 24 * kHour},
       "0",
       assign(&ClassSettings::deduplicationWindow),
       "With `repeats = keyed`: how long they know it, from the first send."},
      {"aim",
       {ValueKind::TimeSpan, kMillisecond, kHour},
       kRequired,
       assign(&ClassSettings::latencyObjective),
       "An answer within this earns its full worth."},
      {"give_up",
       {ValueKind::TimeSpan, kMillisecond, kHour},
       kRequired,
       assign(&ClassSettings::deadline),
       "How long a client waits that does not say so itself (`d=`)."},
      {"worth",
       {ValueKind::Number, 0, 1e6},
       "1",
       assign(&ClassSettings::priorityWeight),
       "Against other classes."},
      {"late_worth",
       {ValueKind::Share, 0, 1},
       "0",
       assign(&ClassSettings::latePriorityShare),
       "The share of the worth that an answer after the aim still earns."},
  };
}

std::vector<SettingKey> groupKeys() {
  return {
      {"number",
       {ValueKind::Count, 0, 65535},
       kRequired,
       assign(&GroupName::id),
       "The number that statements carry (`cluster=`)."},
  };
}

std::vector<SettingKey> memberKeys() {
  return {
      {"address", ValueKind::Address, kRequired, assign(&Instance::address), "Where it listens."},
      {"group", ValueKind::Text, kRequired, assign(&SettingsDraft::endpointGroup),
       "Its group, by name or number."},
      {"zone", ValueKind::Text, "", assign(&Instance::zone), "Its building."},
      {"kind", ValueKind::Text, "", assign(&Instance::kind), "Its kind of machine, for staff."},
      {"weight",
       {ValueKind::Number, 0.001, 1e6},
       "1",
       assign(&Instance::weight),
       "Its size, comparable among members."},
  };
}

}  // namespace stonebay
