// The interface of the decision module: settings, events, actions and the LoadBalancer that joins them.
//
// An embedding program owns the network and the clock. It tells a LoadBalancer what happened, one event at a
// time and in order, and carries out the actions that come back through the ActionSink before the call
// returns. A LoadBalancer does no I/O, reads no clock, starts no thread and shares nothing with another one:
// the same settings, seed and events give the same actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace stonebay {

/// A span of time.
using Duration = std::chrono::microseconds;
/// The clock of the embedding program; it never goes back. Only its instants are used here.
struct CallerClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CallerClock>;
  static constexpr bool is_steady = true;
};
/// An instant on the caller's clock, in microseconds after an epoch of the caller's choice.
using TimePoint = CallerClock::time_point;
/// Opaque; the same for as long as the endpoint keeps its address.
using EndpointId = std::uint64_t;
/// Never used twice during the life of a LoadBalancer.
using RequestId = std::uint64_t;
/// A replica group: a primary and its replicas.
using GroupId = std::uint32_t;

/// Whether a request may run more than once.
enum class Idempotency { Idempotent, IdempotencyKey, NonIdempotent };
/// For requests with an idempotency key: which endpoints share the memory of keys and drop repeats.
enum class DeduplicationScope { All, Zone, ReplicaGroup };
/// What data a request needs. Writes go to the primary.
enum class Consistency { Eventual, BoundedStaleness, ReadYourWrites, Strong, Write };
/// What an endpoint does with a read that it lags for: answers from old data, rejects it, waits to catch up.
enum class StaleReadPolicy { Serve, Reject, Wait };
/// How the role in the endpoint list follows the real one.
enum class ListedRole { Never, AtStart, Delayed };
/// Whether endpoint lists come by themselves or have to be polled for.
enum class DiscoveryMode { Push, Poll };
/// Where load reports travel: nowhere, with responses, or as answers to health checks.
enum class LoadReports { None, Piggyback, Pull };
/// What a value of a load report says.
enum class ReportField { Position, Primary, InFlight, Queue, Other };

/// A class of requests.
struct ClassSettings {
  Consistency consistency = Consistency::Eventual;
  Idempotency idempotency = Idempotency::Idempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::All;  ///< IdempotencyKey only
  Duration
      deduplicationWindow{};    ///< IdempotencyKey only: how long repeats are dropped, from the first attempt
  Duration maxStaleness{};      ///< BoundedStaleness only: greatest age of the data when an attempt is sent
  Duration latencyObjective{};  ///< a response within this earns the whole priority weight
  Duration deadline{};          ///< how long a client waits at most
  double priorityWeight = 1;
  double latePriorityShare = 0;  ///< share of the priority weight that a response after the objective earns
};

/// What the installation and its rules prescribe; constant during the life of a LoadBalancer.
struct Settings {
  std::vector<ClassSettings> classes;
  StaleReadPolicy staleReadPolicy = StaleReadPolicy::Serve;
  ListedRole listedRole = ListedRole::Never;
  DiscoveryMode discovery = DiscoveryMode::Push;
  LoadReports reports = LoadReports::None;
  std::vector<ReportField> reportFields;  ///< order of the values in a report
  bool positionsInResponses = false;      ///< every response carries a position
  bool requestsCarrySessionToken =
      false;  ///< session reads carry the age of their last write; else it is remembered here
  bool synchronousReplication = false;  ///< a write is answered only once a replica has it
  bool healthChecksAllowed = false;
  bool cancellationAllowed = false;  ///< attempts may be cancelled
  bool hedgingAllowed = false;       ///< a read may go to several endpoints at once
  bool retryAfterAllowed = false;    ///< a rejection may say when to come back
  bool gossipAllowed = false;        ///< proxies may tell one another what they know
  bool removedEndpointsAcceptRequests =
      false;                  ///< only draining forbids new requests, removal from the list does not
  int maxAttempts = 1;        ///< attempts for one request
  int proxyCount = 1;         ///< proxies in front of the same endpoints, this one included
  Duration staleReadWait{};   ///< StaleReadPolicy::Wait: how long an endpoint waits to catch up
  TimePoint positionEpoch{};  ///< positions in responses and reports count from here
  Duration maxRetryAfter{};
  Duration drainGracePeriod{};
  Duration slowStartWindow{};  ///< how long an endpoint warms up after its start
  Duration overloadWindow{};   ///< in which the requests that overload a warming endpoint are counted
  Duration maxPollInterval{};  ///< DiscoveryMode::Poll: discovery has to be polled at least so often
  Duration timeStep{};         ///< resolution of the caller's clock
  double initialCapacity = 1;  ///< of an endpoint that has just started, as a share of a warm one's
  double overloadFactor = 1;   ///< multiple of its capacity at which a warming endpoint fails
  double totalServedGoalWeight =
      1;  ///< weight in the goal of the share of all priority weight that is served
  double worstClassGoalWeight =
      0;  ///< weight in the goal of the share that is served of the worst-served class
};

enum class Lifecycle { Removed, Ready, Draining };

/// One entry of an endpoint list.
struct EndpointUpdate {
  EndpointId id = 0;
  GroupId group = 0;
  int zone = 0;
  Lifecycle state = Lifecycle::Ready;
  bool primary = false;  ///< see Settings::listedRole
  double weight = 1;     ///< size, comparable among endpoints
  TimePoint started{};   ///< latest start; 0: long ago
};

/// Full and Cached lists are complete: what they lack is gone. Failed: discovery could not be polled.
enum class EndpointListKind { Delta, Full, Cached, Failed };

/// A client's request.
struct Request {
  RequestId id = 0;
  int classIndex = 0;  ///< into Settings::classes; anything else is rejected
  GroupId group = 0;
  std::uint64_t session = 0;  ///< 0: none
  float sessionTokenAgeMs =
      0;                 ///< Settings::requestsCarrySessionToken: age of the session's last commit; 0: none
  TimePoint deadline{};  ///< the client leaves then
};

/// How an attempt ended. NotSent: no byte of it went out. TooStale: the endpoint's data is too old for it.
enum class AttemptStatus { Ok, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent, TooStale };

/// What an endpoint is in its replica group, by some evidence.
enum class Role { Unknown, Primary, Replica };

/// The end of an attempt.
struct AttemptOutcome {
  RequestId request = 0;
  int attempt = 0;  ///< counted from 0 in the order of the sends of this request
  EndpointId endpoint = 0;
  AttemptStatus status = AttemptStatus::Ok;
  Duration latency{};
  bool requestFinished = false;  ///< the client has its final response
  Role role = Role::Unknown;     ///< that the endpoint gave itself with its answer
  std::optional<TimePoint>
      position;               ///< that came with the answer: the endpoint has applied all commits up to here
  std::vector<float> report;  ///< values in the order of Settings::reportFields; may be empty
};

/// The end of a health check.
struct HealthCheckResult {
  EndpointId endpoint = 0;
  bool ok = false;
  Duration latency{};
  std::vector<float> report;  ///< as in AttemptOutcome
};

/// What one proxy tells all others of an endpoint, from that endpoint's own report.
struct GossipMessage {
  EndpointId endpoint = 0;
  TimePoint position{};  ///< the endpoint has applied all commits up to here
  bool primary = false;
  int inFlight = 0;  ///< requests that it held
};

/// What a timer is for.
enum class TimerKind : std::uint8_t { Tick = 0, Poll = 1, Wake = 2 };

/// Names a timer; comes back through LoadBalancer::onTimer when it is due.
struct TimerToken {
  TimerKind kind = TimerKind::Tick;
  std::uint64_t id = 0;  ///< Poll: the generation of the poll; Wake: the request; below 2^56

  /// As one number, for an embedding program whose timers carry one.
  std::uint64_t encoded() const { return id << 8 | static_cast<std::uint64_t>(kind); }
  static TimerToken decode(std::uint64_t number) {
    return {static_cast<TimerKind>(number & 0xff), number >> 8};
  }
};

/// Why a LoadBalancer gives a request its final response itself.
enum class EndReason {
  UnknownClass,
  AttemptsExhausted,     ///< Settings::maxAttempts have been made
  NotRetryable,          ///< an attempt may have run, and the request is not idempotent
  DeadlineUnreachable,   ///< it would not be answered in time any more
  Overloaded,            ///< the endpoints that could serve it are too loaded for it
  RetryBudgetExhausted,  ///< all proxies' retries together must not feed an overload
};

/// Carries out what a LoadBalancer decides. Calls come during an event, in the order in which they take
/// effect.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  /// Sends an attempt; `until` 0: it ends when the client leaves. Answered by LoadBalancer::onAttemptOutcome.
  virtual void send(RequestId request, EndpointId endpoint, TimePoint until) = 0;
  /// Final: a new request is harmless. `retryAfter` 0: nothing is said about when to come back.
  virtual void reject(RequestId request, Duration retryAfter, EndReason reason) = 0;
  /// Final: the request may have run.
  virtual void fail(RequestId request, EndReason reason) = 0;
  /// Cancels an attempt; its AttemptOutcome still has to come.
  virtual void cancel(RequestId request, int attempt) = 0;
  /// Answered by LoadBalancer::onTimer, never early.
  virtual void scheduleTimer(Duration delay, TimerToken token) = 0;
  /// Answered by LoadBalancer::onHealthCheck.
  virtual void checkHealth(EndpointId endpoint) = 0;
  /// To all other proxies; may be late or lost.
  virtual void broadcast(const GossipMessage& message) = 0;
  /// Answered by LoadBalancer::onEndpointList.
  virtual void pollDiscovery() = 0;
  /// For the operators.
  virtual void log(const std::string& line) = 0;
};

/// The decisions of one proxy.
///
/// Every call takes the present, which never goes back. Events about what is not known (any more) are
/// ignored. The ActionSink must outlive the LoadBalancer and must not call into it. No call but the
/// constructor throws, other than for lack of memory.
class LoadBalancer {
 public:
  /// Throws std::invalid_argument for settings that contradict each other.
  LoadBalancer(const Settings& settings, std::uint64_t seed, ActionSink& sink);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&& other) noexcept;
  LoadBalancer& operator=(LoadBalancer&& other) = delete;

  /// The first one comes right after construction.
  void onEndpointList(TimePoint now, EndpointListKind kind, const std::vector<EndpointUpdate>& updates);
  /// From here on one final response is owed.
  void onRequest(TimePoint now, const Request& request);
  /// Exactly one for each send, the client's timeout included.
  void onAttemptOutcome(TimePoint now, const AttemptOutcome& outcome);
  /// Nothing is owed any more; outcomes still come.
  void onClientLeft(TimePoint now, RequestId id);
  /// Exactly one for each health check.
  void onHealthCheck(TimePoint now, const HealthCheckResult& result);
  void onTimer(TimePoint now, TimerToken token);
  /// From another proxy.
  void onGossip(TimePoint now, const GossipMessage& message);

  /// Whether a send that had to wait for its connection may still go out: since it was decided the endpoint
  /// may have drained, or its data grown too old. If not, its outcome is AttemptStatus::NotSent.
  bool isStillEligible(TimePoint now, RequestId id, EndpointId endpoint);
  /// Removes the endpoints that have been gone and quiet for long, and names them: their ids may be dropped.
  std::vector<EndpointId> removeDeparted(TimePoint now);
  /// Positions in later responses and reports count from here.
  void setPositionEpoch(TimePoint epoch);
  /// The caller has found its clock to be wrong by `shift`: positions, starts of endpoints and commits of
  /// sessions that came before are shifted by so much. Those that come from now on are converted by the
  /// corrected clock.
  void shiftUnixTimes(TimePoint now, Duration shift);

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace stonebay
