// The thresholds and time constants of every decision, in one place.
#pragma once

#include <cstddef>
#include <limits>

#include "stonebay/load_balancer.hpp"

namespace stonebay::balancer {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- latency model ---------------------------------------------------------------------------------------
constexpr std::size_t kLatencyWindowSize = 20;  // latencies kept of an endpoint, as in the paper
constexpr Duration kMaxSampleAge = seconds(8);  // older samples say little about the present
constexpr double kLatencySmoothing = 0.05;      // weight of a new latency in a class's mean
constexpr double kEndpointConcurrency = 3;  // requests that an endpoint serves in parallel before they queue
constexpr double kSilenceFactor = 4;        // no answer for so many mean latencies is a symptom
constexpr double kNeverAnswered = std::numeric_limits<double>::infinity();
constexpr Duration kMaxLoadReportAge = seconds(1);           // a load report is fresh for so long
constexpr Duration kLoadRelaxationTime = milliseconds(250);  // a load approaches its group's mean so fast

// ---- read-set selection ----------------------------------------------------------------------------------
constexpr double kTargetProbability = 0.95;     // that a read set answers in time
constexpr std::size_t kPositionWindowSize = 8;  // enough for a share, quick to follow a changing lag
constexpr Duration kFaultWindow = seconds(1);   // a fault leaves the best endpoint out of the sum so long
constexpr std::size_t kMaxRememberedSessions = 200000;  // more are folded into one commit per group

// ---- retries and hedging ---------------------------------------------------------------------------------
constexpr double kRetryBudgetRatio = 0.05;      // retries earned per request: overload must not feed itself
constexpr double kHedgingBudgetRatio = 0.05;    // hedged requests earned per request
constexpr Duration kBudgetDecay = seconds(2);   // what was earned fades, so that it cannot feed an overload
constexpr double kImmediateFailureShare = 0.5;  // of the baseline latency: no work was done by then

// ---- outlier detection and health checks -----------------------------------------------------------------
constexpr int kConsecutiveFailuresToEject = 3;
constexpr Duration kMinEjection = milliseconds(500);
constexpr Duration kMaxEjection = seconds(8);
constexpr Duration kRejectionPause = milliseconds(250);     // an endpoint that rejects requests rests so long
constexpr Duration kHealthCheckTimeout = milliseconds(25);  // checks are answered beside the queue
constexpr std::size_t kHealthChecksPerSend = 2;             // one may reach the worse of two
constexpr int kHealthCheckWaitDivisor = 8;  // of the latency objective: wait for their answers
constexpr Duration kPrimaryDiscoveryInterval = milliseconds(250);  // between checks for a missing primary

// ---- slow start ------------------------------------------------------------------------------------------
constexpr double kReportedSlowStartFactor = 1.5;  // of its share, to a warming endpoint with known load

// ---- admission control -----------------------------------------------------------------------------------
constexpr double kMinExpectedValue = 0.85;   // of its priority weight: what a request must be likely to earn
constexpr double kMaxQueueingShare = 0.45;   // of its time: how long a request may wait for an endpoint
constexpr double kRetryAfterShare = 0.0625;  // of the silence timeout: its latency objective still runs
constexpr Duration kDemandDecay = seconds(10);  // requests and in-time responses count for about so long

// ---- discovery and gossip --------------------------------------------------------------------------------
constexpr Duration kMinPollBackoff = milliseconds(200);  // after a failed poll; doubles from there
constexpr Duration kPollJitterPerProxy = milliseconds(20);
constexpr Duration kMaxPollBackoff =
    seconds(2);  // changes bind after 6 s: 3 to notice silence, 1 for a response
constexpr Duration kDepartedRetention = seconds(10);  // a departed, quiet endpoint is kept so long
constexpr Duration kBroadcastInterval =
    milliseconds(250);  // one proxy broadcasts an endpoint, then none so long

constexpr Duration kTickInterval = milliseconds(20);  // waiting requests, silence, primary discovery

}  // namespace stonebay::balancer
