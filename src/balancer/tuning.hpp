// The thresholds and time constants of all decisions.
#pragma once

#include <cstddef>
#include <limits>

#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- latency model ---------------------------------------------------------------------------------------

// Latency samples kept per endpoint, as in the paper that replica_selection.hpp describes.
constexpr std::size_t kLatencyWindowSize = 20;
// Older samples say little about the current state.
constexpr Duration kMaxSampleAge = seconds(8);
// Weight of a new latency in the mean of its class.
constexpr double kLatencySmoothing = 0.05;
// Requests that an endpoint executes in parallel before further ones queue.
constexpr double kEndpointConcurrency = 3;
// An attempt without a response for this multiple of its class's mean latency exceeds the silence timeout.
constexpr double kSilenceFactor = 4;
// The latency of an attempt that was never answered.
constexpr double kNeverAnswered = std::numeric_limits<double>::infinity();
// Load reports are used up to this age.
constexpr Duration kMaxLoadReportAge = seconds(1);
// Time constant with which the load estimate of an endpoint moves from its last report to its group's mean.
constexpr Duration kLoadRelaxationTime = milliseconds(250);

// ---- read-set selection ----------------------------------------------------------------------------------

// Required probability that at least one endpoint of a read set responds in time.
constexpr double kTargetProbability = 0.95;
// Position samples kept per endpoint: enough for a share, few enough to follow a changing lag.
constexpr std::size_t kPositionWindowSize = 8;
// For this long after a fault, a read set has to reach the target without its best endpoint.
constexpr Duration kFaultWindow = seconds(1);
// Groups that clients named and that have no endpoints are removed at this number, or earlier.
constexpr std::size_t kMinEmptyGroupLimit = 256;
// Beyond this, the commits of all sessions are merged into one per replica group, which bounds the memory.
constexpr std::size_t kMaxRememberedSessions = 200000;

// ---- retries and hedging ---------------------------------------------------------------------------------

// Retries earned per request; few, so that retries do not feed an overload.
constexpr double kRetryBudgetRatio = 0.05;
// Hedged requests earned per request.
constexpr double kHedgingBudgetRatio = 0.05;
// Time constant with which unused budget decays, so that saved-up retries cannot feed an overload.
constexpr Duration kBudgetDecay = seconds(2);
// An attempt that fails within this share of its class's baseline latency has caused no work.
constexpr double kImmediateFailureShare = 0.5;

// ---- outlier detection and health checks -----------------------------------------------------------------

constexpr int kConsecutiveFailuresToEject = 3;
constexpr Duration kMinEjection = milliseconds(500);
constexpr Duration kMaxEjection = seconds(8);
// How long an endpoint receives no further requests after it has rejected one.
constexpr Duration kRejectionPause = milliseconds(250);
// Short, because endpoints answer health checks without queueing them behind requests.
constexpr Duration kHealthCheckTimeout = milliseconds(25);
// With a single check, the endpoint that is checked may be the worse one of two.
constexpr std::size_t kHealthChecksPerSend = 2;
// A request waits for health checks for at most the latency objective of its class divided by this.
constexpr int kHealthCheckWaitDivisor = 8;
// Minimum interval between the health checks of an endpoint while its group has no known primary.
constexpr Duration kPrimaryDiscoveryInterval = milliseconds(250);

// ---- slow start ------------------------------------------------------------------------------------------

// Multiple of its share that a warming endpoint may receive if its load is known from reports.
constexpr double kReportedSlowStartFactor = 1.5;

// ---- admission control -----------------------------------------------------------------------------------

// Share of its priority weight that a request must be expected to earn.
constexpr double kMinExpectedValue = 0.85;
// Share of the time until its deadline for which a request may wait for its first endpoint.
constexpr double kMaxQueueingShare = 0.45;
// Retry-After as a share of the silence timeout; short, because the latency objective keeps running.
constexpr double kRetryAfterShare = 0.0625;
// Time constant with which the counts of requests and of responses in time decay.
constexpr Duration kDemandDecay = seconds(10);

// ---- discovery and gossip --------------------------------------------------------------------------------

// A change of the list counts as notified this long after discovery had it and could be reached.
constexpr Duration kMaxNotificationDelay = seconds(6);
// Part of that time for three polls that fail after 1.05 s each, and one that is answered.
constexpr Duration kTimeForFailedPolls = milliseconds(3500);
// Time between the starts of failed polls: the first one, doubled with each failure, and the limit. With the
// limit, four polls fail within kMaxNotificationDelay after discovery can be reached again.
constexpr Duration kMinPollBackoff = milliseconds(200);
constexpr Duration kMaxPollBackoff = milliseconds(1100);
// Spread of the polls of all proxies when there is no time to spare.
constexpr Duration kMinPollSpread = milliseconds(50);
// The polls of all proxies are spread over this time per proxy, and over the limit with many proxies.
constexpr Duration kPollJitterPerProxy = milliseconds(20);
constexpr Duration kMaxPollJitter = seconds(2);
// How long an idle endpoint is remembered after it left the list.
constexpr Duration kDepartedRetention = seconds(10);
// After one proxy has broadcast an endpoint's report, no proxy broadcasts that endpoint for this time.
constexpr Duration kBroadcastInterval = milliseconds(250);

// Interval at which waiting requests, silent endpoints and missing primaries are checked.
constexpr Duration kTickInterval = milliseconds(20);

}  // namespace stonebay::balancer
