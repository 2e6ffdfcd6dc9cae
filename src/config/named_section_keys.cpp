// The settings of sections that have a name: request classes, replica groups and endpoints.
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
       "What data a request needs: any data; data no older than max_age; everything that its session wrote; "
       "everything that was written before the request arrived; or the primary, for a write."},
      {"max_age",
       {ValueKind::TimeSpan, 0, 24 * kHour},
       "0",
       assign(&ClassSettings::maxStaleness),
       "With `data = bounded`: the maximum age of the data when the request is sent."},
      {"repeats", oneOf(kIdempotencies), kRequired, assign(&ClassSettings::idempotency, kIdempotencies),
       "Whether a request may run more than once: always; only on data servers that drop repeats of its key "
       "(`k=`); or never."},
      {"repeats_dropped_by", oneOf(kDeduplicationScopes), "group",
       assign(&ClassSettings::deduplicationScope, kDeduplicationScopes),
       "With `repeats = keyed`: which data servers recognize a key that one of them has received."},
      {"repeats_dropped_for",
       {ValueKind::TimeSpan, 0, 24 * kHour},
       "0",
       assign(&ClassSettings::deduplicationWindow),
       "With `repeats = keyed`: how long they remember a key, counted from its first attempt."},
      {"aim",
       {ValueKind::TimeSpan, kMillisecond, kHour},
       kRequired,
       assign(&ClassSettings::latencyObjective),
       "The latency objective: an answer within this time earns the full worth."},
      {"give_up",
       {ValueKind::TimeSpan, kMillisecond, kHour},
       kRequired,
       assign(&ClassSettings::deadline),
       "The deadline of requests that do not carry their own (`d=`): how long the client waits."},
      {"worth",
       {ValueKind::Number, 0, 1e6},
       "1",
       assign(&ClassSettings::priorityWeight),
       "The weight of a request of this class, relative to other classes."},
      {"late_worth",
       {ValueKind::Share, 0, 1},
       "0",
       assign(&ClassSettings::latePriorityShare),
       "The share of the worth that an answer later than `aim` still earns."},
  };
}

std::vector<SettingKey> groupKeys() {
  return {
      {"number",
       {ValueKind::Count, 0, 65535},
       kRequired,
       assign(&GroupName::id),
       "The number of the group, which statements carry (`cluster=`)."},
  };
}

std::vector<SettingKey> memberKeys() {
  return {
      {"address", ValueKind::Address, kRequired, assign(&Instance::address),
       "The address on which it accepts connections."},
      {"group", ValueKind::Text, kRequired, assign(&SettingsDraft::endpointGroup),
       "The group that it belongs to, by name or number."},
      {"zone", ValueKind::Text, "", assign(&Instance::zone), "The name of its building, as in `zones`."},
      {"kind", ValueKind::Text, "", assign(&Instance::kind), "Its machine type, for information only."},
      {"weight",
       {ValueKind::Number, 0.001, 1e6},
       "1",
       assign(&Instance::weight),
       "Its size, relative to other members."},
  };
}

}  // namespace stonebay
