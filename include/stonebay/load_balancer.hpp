// The public interface of the decision module: settings, events, actions and the LoadBalancer that turns
// events into actions.
//
// An embedding program owns the network and the clock. It reports every event to a LoadBalancer, one at a
// time and in order. The LoadBalancer calls the ActionSink with its decisions before it returns from the
// event, and the embedding program carries them out. A LoadBalancer does no I/O, reads no clock, starts no
// thread and shares no state with other instances: the same settings, seed and events produce the same
// actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace stonebay {

using Duration = std::chrono::microseconds;
/// The clock type of TimePoint. It has no now(): the embedding program passes in every instant.
struct CallerClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CallerClock>;
  static constexpr bool is_steady = true;
};
/// An instant on the caller's clock, in microseconds since an epoch that the caller chooses.
using TimePoint = CallerClock::time_point;
/// Assigned by the caller; must not be 0. An endpoint keeps its id for as long as it keeps its address.
using EndpointId = std::uint64_t;
/// Assigned by the caller; must not be 0 and must not be reused during the life of a LoadBalancer.
using RequestId = std::uint64_t;
/// Identifies a replica group: a primary and its replicas.
using GroupId = std::uint32_t;

/// Whether a request may be executed more than once.
enum class Idempotency {
  Idempotent,      ///< may be executed any number of times
  IdempotencyKey,  ///< carries a key by which endpoints drop repeats; see ClassSettings
  NonIdempotent    ///< must be executed at most once
};
/// Idempotency::IdempotencyKey: which endpoints drop a repeat of a request that one of them has received.
enum class DeduplicationScope {
  All,          ///< all endpoints
  Zone,         ///< the endpoints of the same zone
  ReplicaGroup  ///< the endpoints of the same replica group
};
/// What data a request needs.
enum class Consistency {
  Eventual,          ///< any data
  BoundedStaleness,  ///< data no older than ClassSettings::maxStaleness
  ReadYourWrites,    ///< data that includes all earlier writes of the session
  Strong,            ///< data that includes all writes committed before the request arrived
  Write              ///< the request is a write; only the primary executes it
};
/// What an endpoint does with a read that requires newer data than it has.
enum class StaleReadPolicy {
  Serve,   ///< answers from its old data
  Reject,  ///< rejects the read
  Wait     ///< waits for up to Settings::staleReadWait to catch up
};
/// Whether endpoint lists name the primary (EndpointUpdate::primary), and how current that is.
enum class ListedRole {
  Never,    ///< lists do not name the primary
  AtStart,  ///< the role at the start of the installation's run; not updated when the role moves
  Delayed   ///< the current role, with a delay
};
/// How endpoint lists arrive.
enum class DiscoveryMode {
  Push,  ///< without a poll
  Poll   ///< a poll requests a list and starts a watch, through which further lists arrive until it ends
};
/// How load reports arrive.
enum class LoadReports {
  None,       ///< there are none
  Piggyback,  ///< with responses to requests
  Pull        ///< with responses to health checks
};
/// The meaning of one value of a load report.
enum class ReportField {
  Position,  ///< the endpoint's position, in seconds after Settings::positionEpoch
  Primary,   ///< 1 if the endpoint is the primary, 0 if it is a replica
  InFlight,  ///< number of requests in flight at the endpoint, from all proxies
  Queue,     ///< length of the endpoint's queue; not used
  Other      ///< not used
};

/// The settings of one request class.
struct ClassSettings {
  Consistency consistency = Consistency::Eventual;
  Idempotency idempotency = Idempotency::Idempotent;
  DeduplicationScope deduplicationScope = DeduplicationScope::All;  ///< IdempotencyKey only
  /// IdempotencyKey only: how long endpoints drop repeats, counted from the first attempt.
  Duration deduplicationWindow{};
  Duration maxStaleness{};      ///< BoundedStaleness only: greatest age of the data when an attempt is sent
  Duration latencyObjective{};  ///< a response within this time earns the whole priority weight
  Duration deadline{};        ///< how long a client waits for its response, unless its request says otherwise
  double priorityWeight = 1;  ///< relative to the other classes
  double latePriorityShare = 0;  ///< share of the priority weight that a response after the objective earns
};

/// The properties and rules of an installation; constant during the life of a LoadBalancer, except for
/// `positionEpoch`.
struct Settings {
  std::vector<ClassSettings> classes;
  StaleReadPolicy staleReadPolicy = StaleReadPolicy::Serve;
  ListedRole listedRole = ListedRole::Never;
  DiscoveryMode discovery = DiscoveryMode::Push;
  LoadReports reports = LoadReports::None;
  std::vector<ReportField> reportFields;  ///< the values of a load report, in their order
  bool positionsInResponses = false;      ///< every response carries the endpoint's position
  /// Read-your-writes requests carry the age of their session's last commit (Request::sessionTokenAgeMs). If
  /// false, the LoadBalancer remembers the last commit of each session.
  bool requestsCarrySessionToken = false;
  bool synchronousReplication = false;  ///< a write is answered only after a replica has received it
  bool healthChecksAllowed = false;
  bool cancellationAllowed = false;  ///< attempts may be cancelled
  bool hedgingAllowed = false;       ///< a read may be sent to several endpoints at the same time
  bool retryAfterAllowed = false;    ///< a rejection may tell the client when to retry
  bool gossipAllowed = false;        ///< proxies may broadcast what endpoints report to them
  /// An endpoint that was removed from the list may still receive requests; only draining forbids them.
  bool removedEndpointsAcceptRequests = false;
  int maxAttempts = 1;          ///< attempts of one request, the first one included
  int proxyCount = 1;           ///< proxies in front of the same endpoints, this one included
  Duration staleReadWait{};     ///< StaleReadPolicy::Wait: how long an endpoint waits to catch up
  TimePoint positionEpoch{};    ///< load reports give positions in seconds after this instant
  Duration maxRetryAfter{};     ///< upper bound of the Retry-After time of a rejection
  Duration drainGracePeriod{};  ///< how long a draining or removed endpoint may still receive requests
  Duration slowStartWindow{};   ///< how long an endpoint warms up after its start
  Duration overloadWindow{};    ///< see `overloadFactor`
  /// DiscoveryMode::Poll: longest time without a poll or a watch; 0 means no limit.
  Duration maxPollInterval{};
  Duration clockResolution{};  ///< resolution of the caller's clock
  double initialCapacity = 1;  ///< capacity of an endpoint that has just started, as a share of a warm one's
  /// A warming endpoint fails if it receives more than this multiple of its capacity over `overloadWindow`.
  double overloadFactor = 1;
  /// Weights of the two parts of the goal that load shedding pursues: the share of all priority weight that
  /// is served, and the served share of the class in which that share is lowest.
  double totalServedGoalWeight = 1;
  double worstClassGoalWeight = 0;
};

enum class Lifecycle {
  Removed,  ///< no longer in the list
  Ready,    ///< accepts requests
  Draining  ///< about to stop; accepts no new requests
};

/// One entry of an endpoint list.
struct EndpointUpdate {
  EndpointId id = 0;
  GroupId group = 0;
  int zone = 0;
  Lifecycle state = Lifecycle::Ready;
  bool primary = false;  ///< the endpoint is listed as the primary; see ListedRole
  double weight = 1;     ///< size of the endpoint relative to the others
  TimePoint started{};   ///< time of the latest start; 0 means long ago
};

enum class EndpointListKind {
  Delta,   ///< the entries that have changed
  Full,    ///< a complete list: endpoints without an entry have been removed
  Cached,  ///< a complete list from a cache; treated as Full
  Failed   ///< a poll failed or a watch ended; there are no entries
};

/// A request of a client.
struct Request {
  RequestId id = 0;
  int classIndex = 0;  ///< index into Settings::classes; a request with an invalid index is rejected
  GroupId group = 0;
  std::uint64_t session = 0;  ///< 0 means none
  /// Settings::requestsCarrySessionToken: age of the session's last commit in milliseconds; 0 means that the
  /// session has not written.
  float sessionTokenAgeMs = 0;
  TimePoint deadline{};  ///< when the client stops waiting
};

/// How an attempt ended.
enum class AttemptStatus {
  Ok,             ///< the endpoint executed the request
  Error,          ///< the endpoint answered with an error
  Rejected,       ///< the endpoint declined the request unexecuted: it is full, draining or about to stop
  Timeout,        ///< there was no response by the deadline of the request
  ConnectFailed,  ///< the connection could not be established
  Reset,          ///< the connection was closed before the response was complete
  Cancelled,      ///< the attempt was cancelled
  NotSent,        ///< no byte of the attempt was sent
  TooStale        ///< the endpoint's data is too old for the read, or a write was sent to a replica
};

/// The role of an endpoint in its replica group.
enum class Role { Unknown, Primary, Replica };

/// The end of an attempt.
struct AttemptOutcome {
  RequestId request = 0;
  int attempt = 0;  ///< number of the attempt; those of a request count from 0 in the order of their sends
  EndpointId endpoint = 0;
  AttemptStatus status = AttemptStatus::Ok;
  Duration latency{};
  bool requestFinished = false;  ///< the client has its final response
  Role role = Role::Unknown;     ///< the role that the endpoint stated in its response
  /// The position in the response: the endpoint has applied all commits up to this instant.
  std::optional<TimePoint> position;
  std::vector<float> report;  ///< load report, in the order of Settings::reportFields; may be empty
};

/// The end of a health check.
struct HealthCheckResult {
  EndpointId endpoint = 0;
  bool ok = false;  ///< the endpoint responded
  Duration latency{};
  std::vector<float> report;  ///< load report, in the order of Settings::reportFields; may be empty
};

/// The latest load report of an endpoint, as one proxy broadcasts it to all others.
struct GossipMessage {
  EndpointId endpoint = 0;
  TimePoint position{};  ///< the endpoint has applied all commits up to this instant
  bool primary = false;
  int inFlight = 0;  ///< number of requests in flight at the endpoint, from all proxies
};

/// What a timer is for.
enum class TimerKind : std::uint8_t {
  Tick = 0,  ///< periodic work while attempts are in flight or requests wait
  Poll = 1,  ///< the next poll of discovery
  Wake = 2   ///< the end of the time for which a request may wait
};

/// Identifies a timer; the embedding program passes it to LoadBalancer::onTimer() when the timer expires.
struct TimerToken {
  TimerKind kind = TimerKind::Tick;
  std::uint64_t id = 0;  ///< Poll: sequence number of the timer; Wake: id of the request; less than 2^56

  /// The token as one number, for an embedding program whose timers carry a number.
  std::uint64_t encoded() const { return id << 8 | static_cast<std::uint64_t>(kind); }
  static TimerToken decode(std::uint64_t number) {
    return {static_cast<TimerKind>(number & 0xff), number >> 8};
  }
};

/// Why a LoadBalancer rejects or fails a request.
enum class EndReason {
  UnknownClass,          ///< Request::classIndex is invalid
  AttemptsExhausted,     ///< Settings::maxAttempts have been made
  NotRetryable,          ///< an attempt may have been executed, and the request is not idempotent
  DeadlineUnreachable,   ///< a response would come too late, or no endpoint became available in time
  Overloaded,            ///< the endpoints that could serve the request have too much load
  RetryBudgetExhausted,  ///< retries are limited, so that those of all proxies do not feed an overload
};

/// The times by which an attempt must have made progress.
struct AttemptLimits {
  TimePoint response;  ///< the attempt times out: the deadline of the request
  /// The last byte of the attempt must not arrive at the endpoint later. Earlier than `response` if endpoints
  /// drop repeats of the request only until then.
  TimePoint arrival;
};

/// Carries out the decisions of a LoadBalancer. The LoadBalancer calls it during an event, in the order in
/// which the decisions take effect.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  /// Sends an attempt. Its end must be reported to LoadBalancer::onAttemptOutcome().
  virtual void send(RequestId request, EndpointId endpoint, const AttemptLimits& limits) = 0;
  /// Gives the client its final response: the request was rejected and may safely be sent again. `retryAfter`
  /// is how long the client should wait before it does so; 0 means that the response does not say.
  virtual void reject(RequestId request, Duration retryAfter, EndReason reason) = 0;
  /// Gives the client its final response: the request failed and may have been executed.
  virtual void fail(RequestId request, EndReason reason) = 0;
  /// Cancels an attempt. Its end must still be reported to LoadBalancer::onAttemptOutcome().
  virtual void cancel(RequestId request, int attempt) = 0;
  /// Schedules a call of LoadBalancer::onTimer() after `delay`. The call must not be early; it may be late.
  virtual void scheduleTimer(Duration delay, TimerToken token) = 0;
  /// Sends a health check. Its end must be reported to LoadBalancer::onHealthCheck().
  virtual void checkHealth(EndpointId endpoint) = 0;
  /// Sends a message to all other proxies. It may be delayed or lost.
  virtual void broadcast(const GossipMessage& message) = 0;
  /// Polls discovery for the endpoint list and starts a watch for later changes. The lists, and the end of
  /// the poll or watch by a failure, must be reported to LoadBalancer::onEndpointList().
  virtual void pollDiscovery() = 0;
  /// Writes a line to the log for operators.
  virtual void log(const std::string& line) = 0;
};

/// Makes the decisions of one proxy.
///
/// `now` is the caller's current time; it must not decrease from call to call. Events about endpoints or
/// requests that the LoadBalancer does not know, or no longer knows, are ignored. The ActionSink must outlive
/// the LoadBalancer and must not call into it. Apart from std::bad_alloc, only the constructor throws.
class LoadBalancer {
 public:
  /// Throws std::invalid_argument if a setting is out of range or contradicts another one.
  LoadBalancer(const Settings& settings, std::uint64_t seed, ActionSink& sink);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&& other) noexcept;
  LoadBalancer& operator=(LoadBalancer&& other) = delete;

  /// A list of endpoints arrived, or a poll or watch of discovery failed. The first call must come right
  /// after construction.
  void onEndpointList(TimePoint now, EndpointListKind kind, const std::vector<EndpointUpdate>& updates);
  /// A poll or watch of discovery failed, with the last sign of a working watch `sinceContact` ago. More
  /// exact than onEndpointList() with EndpointListKind::Failed, which stands for a contact just now.
  void onDiscoveryFailure(TimePoint now, Duration sinceContact);
  /// A request arrived. It ends with a successful attempt, with AttemptOutcome::requestFinished, with one
  /// call of ActionSink::reject() or ActionSink::fail(), or with onClientLeft().
  void onRequest(TimePoint now, const Request& request);
  /// An attempt ended. Must be called exactly once for each ActionSink::send(), also if the attempt ended
  /// because the client left or its deadline passed.
  void onAttemptOutcome(TimePoint now, const AttemptOutcome& outcome);
  /// A client left. Its request needs no final response; the ends of its attempts must still be reported.
  void onClientLeft(TimePoint now, RequestId id);
  /// A health check ended. Must be called exactly once for each ActionSink::checkHealth().
  void onHealthCheck(TimePoint now, const HealthCheckResult& result);
  /// A timer of ActionSink::scheduleTimer() expired.
  void onTimer(TimePoint now, TimerToken token);
  /// A broadcast of another proxy arrived.
  void onGossip(TimePoint now, const GossipMessage& message);

  /// Returns whether an attempt that had to wait for its connection may still be sent. Since the decision the
  /// request may have ended, the endpoint may have started to drain or been restarted, its data may have
  /// become too old, or the time for which endpoints drop repeats may have passed. If false, the attempt must
  /// not be sent and its outcome is AttemptStatus::NotSent.
  bool isStillEligible(TimePoint now, RequestId id, EndpointId endpoint);
  /// Removes the endpoints that left the list some time ago and have no attempt or health check in flight.
  /// Returns their ids, which the caller may forget.
  std::vector<EndpointId> removeDeparted(TimePoint now);
  /// Sets Settings::positionEpoch for the load reports that arrive from now on.
  void setPositionEpoch(TimePoint epoch);
  /// Adds `shift` to the positions, start times of endpoints and session commits that were received so far.
  /// For a caller that finds its conversion of Unix times to be wrong; it converts later ones correctly.
  void shiftUnixTimes(TimePoint now, Duration shift);

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace stonebay
