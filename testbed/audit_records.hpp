// Events that the stand-ins and the clients observed during a run. They are the input of the auditors and of
// the report's tables.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "testbed/time.hpp"

namespace stonebay::testbed {

/// How a request ended for its client.
enum class RequestResult {
  Served,
  Rejected,
  Failed,
  Late,
  Unanswered  ///< its deadline passed without a response
};

/// Returns the name of the result in figures and reports.
constexpr const char* resultName(RequestResult result) {
  switch (result) {
    case RequestResult::Served:
      return "served";
    case RequestResult::Rejected:
      return "refused";
    case RequestResult::Failed:
      return "failed";
    case RequestResult::Late:
      return "late";
    case RequestResult::Unanswered:
      break;
  }
  return "unanswered";
}

/// One attempt as it arrived at an endpoint.
struct AttemptRecord {
  Time at{};
  int proxy = 0;
  int endpoint = 0;
  std::string id;
  std::string idempotencyKey;
  std::string requestClass;
  bool isRead = false;
  Time dataAge{};           ///< age of the endpoint's data when the attempt arrived
  Time maxStaleness{};      ///< 0 means that data of any age is allowed
  Time sentDeadline{};      ///< as sent by the proxy, counted from the arrival of the attempt's last byte
  std::uint64_t token = 0;  ///< identifies the attempt; assigned by RunAudit::onAttempt
};

/// The response to a request, or the end of a request that got none.
struct ResponseRecord {
  Time at{};
  Time latency{};
  std::string id;
  RequestResult result{};
};

/// A response with the values that ResponseAuditor checks.
struct ResponseEvent {
  ResponseRecord record;
  std::string value;
  bool onTime = false;        ///< within the latency objective
  double priorityWeight = 0;  ///< of the request; 0 if the client will retry it
  double earnedWeight = 0;
};

/// A change of an endpoint's state that a discovery stand-in reported to a proxy.
struct ListingRecord {
  Time at{};
  int proxy = 0;
  int endpoint = 0;
  bool listed = false;  ///< whether the proxy may send requests to the endpoint
  /// Time since the endpoint was withdrawn; set only if it is no longer listed.
  std::optional<Time> sinceWithdrawal;
};

/// The rules that a proxy must keep.
enum class Rule {
  NoAttemptAfterWithdrawal,
  NoStaleRead,
  NoConcurrentAttempts,
  NoDuplicateEffect,
  NoOverloadCrash,
  NoAttemptAfterEnd,
  OneCorrectResponse
};

/// Returns the name of the figure that counts the violations of a rule in claims and reports.
constexpr const char* figureName(Rule rule) {
  switch (rule) {
    case Rule::NoAttemptAfterWithdrawal:
      return "late_sends";
    case Rule::NoStaleRead:
      return "stale_reads";
    case Rule::NoConcurrentAttempts:
      return "second_copies";
    case Rule::NoDuplicateEffect:
      return "double_effects";
    case Rule::NoOverloadCrash:
      return "felled";
    case Rule::NoAttemptAfterEnd:
      return "ended_sends";
    case Rule::OneCorrectResponse:
      break;
  }
  return "lost";
}

struct Violation {
  Time at{};
  Rule rule{};
  std::string description;
};

}  // namespace stonebay::testbed
