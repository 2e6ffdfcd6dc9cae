#include "testbed/load_generator.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace stonebay::testbed {
namespace {

constexpr std::size_t kMaxIdleConnections = 40;
constexpr double kMinArrivalRate = 0.1;  // requests a second; avoids an infinite interval at a rate of 0
constexpr Time kMaxRetryJitter = std::chrono::milliseconds(20);
constexpr Time kMinShortDeadline = std::chrono::milliseconds(5);
constexpr Time kMaxShortDeadline = std::chrono::milliseconds(80);
constexpr std::uint64_t kRowHandleCount = 1000;  // distinct rows used in statements

}  // namespace

LoadGenerator::LoadGenerator(RunContext& context, RunAudit& audit, const std::vector<RequestClass>& classes,
                             const LoadSettings& settings, std::string idPrefix)
    : context_(context),
      audit_(audit),
      classes_(classes),
      settings_(settings),
      idPrefix_(std::move(idPrefix)),
      arrival_(context, [this] { onArrival(); }),
      retry_(context, [this] { onRetryDue(); }) {}

void LoadGenerator::start() {
  running_ = true;
  arrival_.startIn(Time(0));
}

void LoadGenerator::onArrival() {
  if (!running_) return;
  if (settings_.closedLoop) return sendAttempt(newRequest());
  // Arrival times do not depend on when the timer fires, so a late timer does not lower the rate.
  const Time now = context_.now();
  if (nextArrivalAt_ == Time(0)) nextArrivalAt_ = now;
  while (nextArrivalAt_ <= now) {
    if (settings_.rate > 0) sendAttempt(newRequest());
    std::exponential_distribution<> secondsBetweenArrivals(std::max(settings_.rate, kMinArrivalRate));
    nextArrivalAt_ += fromMicroseconds(secondsBetweenArrivals(context_.random()) * 1e6);
  }
  arrival_.startIn(nextArrivalAt_ - now);
}

const RequestClass& LoadGenerator::drawClass() {
  double remainder = context_.uniform(0.0, 1.0);
  for (const RequestClass& requestClass : classes_) {
    remainder -= requestClass.share;
    if (remainder < 0) return requestClass;
  }
  return classes_.back();
}

ClientRequest LoadGenerator::newRequest() {
  ClientRequest request;
  request.requestClass = &drawClass();
  if (request.requestClass->isWrite) request.idempotencyKey = idPrefix_ + "k" + std::to_string(attempts_);
  request.retriesLeft = settings_.retries;
  std::uniform_int_distribution<int> anyGroup(1, std::max(settings_.groups, 1));
  request.group = anyGroup(context_.random());
  request.firstAttemptAt = context_.now();
  request.deadline = request.firstAttemptAt + request.requestClass->deadline;
  const bool isShort = settings_.shortShare > 0 && context_.uniform(0.0, 1.0) < settings_.shortShare;
  if (isShort)
    request.deadline = request.firstAttemptAt + context_.uniform(kMinShortDeadline, kMaxShortDeadline);
  drawLeaveTime(request);
  return request;
}

void LoadGenerator::drawLeaveTime(ClientRequest& request) {
  const double share = settings_.leaveShare + settings_.cancelShare;
  if (share <= 0) return;
  const double drawn = context_.uniform(0.0, 1.0);
  if (drawn >= share) return;
  request.cancels = drawn < settings_.cancelShare;
  request.leavesAt =
      request.firstAttemptAt + context_.uniform(Time(0), (request.deadline - request.firstAttemptAt) / 2);
}

// Gives the request a new id and a statement with the time left until its deadline.
void LoadGenerator::prepareAttempt(ClientRequest& request, Time now) {
  request.id = idPrefix_ + std::to_string(++attempts_);
  request.attemptAt = now;
  request.statement = statementOf(request, now);
}

std::string LoadGenerator::statementOf(const ClientRequest& request, Time now) const {
  const auto remainingMs = std::max<std::int64_t>((request.deadline - now).count() / 1000, 1);
  std::string comment =
      " /* id=" + request.id + ",c=" + request.requestClass->name + ",d=" + std::to_string(remainingMs);
  if (!request.idempotencyKey.empty()) comment += ",k=" + request.idempotencyKey;
  comment += ",cluster=" + std::to_string(request.group) + " */";
  const std::string handle = "'h" + std::to_string(attempts_ % kRowHandleCount) + "'";
  if (!request.requestClass->isWrite) return "SELECT blob FROM rows WHERE handle = " + handle + comment;
  return "INSERT INTO rows (handle, blob) VALUES (" + handle + ", '" +
         std::string(settings_.valueBytes, 'x') + "') RETURNING blob" + comment;
}

void LoadGenerator::sendAttempt(ClientRequest request) {
  prepareAttempt(request, context_.now());
  audit_.onRequest(context_.now(), request.id, request.deadline);
  ++inFlight_;
  idleConnection().send(std::move(request));
}

ClientConnection& LoadGenerator::idleConnection() {
  if (!idle_.empty()) {
    ClientConnection* const connection = idle_.back();
    idle_.pop_back();
    return *connection;
  }
  connections_.push_back(std::make_unique<ClientConnection>(context_, *this, target_, settings_.answerGrace));
  return *connections_.back();
}

bool LoadGenerator::onResponse(ClientConnection& connection, const ClientRequest& request,
                               const ClientResponse& response) {
  const bool keep = idle_.size() < kMaxIdleConnections;
  if (keep)
    idle_.push_back(&connection);
  else
    remove(connection);
  finish(request, response);
  return keep;
}

void LoadGenerator::onDeadline(ClientConnection& connection, const ClientRequest& request) {
  remove(connection);
  ClientResponse response;
  response.result = RequestResult::Unanswered;
  finish(request, response);
}

// A client that cancels keeps its connection open for the response.
void LoadGenerator::onLeave(ClientConnection& connection, const ClientRequest& request) {
  audit_.onClientLeft(context_.now(), request.id);
  if (request.cancels) return;
  remove(connection);
  --inFlight_;
}

void LoadGenerator::onClosed(ClientConnection& connection, const std::optional<ClientRequest>& request) {
  remove(connection);
  const bool isExcused = request && excusedFrom_ && request->attemptAt >= *excusedFrom_;
  if (request) audit_.onClosedUnanswered(context_.now(), request->id, isExcused);
  // A connection that closes without a response counts as a failed request.
  if (request) finish(*request, ClientResponse());
}

void LoadGenerator::remove(const ClientConnection& connection) {
  idle_.erase(std::remove(idle_.begin(), idle_.end(), &connection), idle_.end());
  connections_.remove_if([&connection](const auto& owned) { return owned.get() == &connection; });
}

void LoadGenerator::onRetryDue() {
  const Time now = context_.now();
  while (!retries_.empty() && retries_.begin()->first <= now) {
    ClientRequest request = std::move(retries_.begin()->second);
    retries_.erase(retries_.begin());
    sendAttempt(std::move(request));
  }
  if (!retries_.empty()) retry_.startIn(retries_.begin()->first - now);
}

void LoadGenerator::scheduleRetry(ClientRequest request, Time dueAt) {
  --request.retriesLeft;
  retries_.emplace(dueAt + context_.uniform(Time(0), kMaxRetryJitter), std::move(request));
  retry_.startIn(retries_.begin()->first - context_.now());
}

void LoadGenerator::finish(const ClientRequest& request, const ClientResponse& response) {
  --inFlight_;
  const Time now = context_.now();
  const bool isServed = response.result == RequestResult::Served;
  const bool isRetried = response.result == RequestResult::Rejected && request.retriesLeft > 0 &&
                         now + response.retryAfter < request.deadline;
  ResponseEvent event;
  event.record = {now, now - request.firstAttemptAt, request.id, response.result};
  event.value = response.value;
  // The endpoints pad values with dots up to the configured length.
  if (settings_.valueBytes > 0) event.value = event.value.substr(0, event.value.find('.'));
  event.onTime = isServed && event.record.latency <= request.requestClass->latencyObjective;
  // The weight of a request counts only once, for its last attempt.
  event.priorityWeight = isRetried ? 0 : request.requestClass->priorityWeight;
  if (isServed)
    event.earnedWeight =
        event.onTime ? event.priorityWeight : event.priorityWeight * request.requestClass->latePriorityShare;
  audit_.onResponse(event);
  if (isServed) latencies_.push_back(toMilliseconds(now - request.attemptAt));
  if (isRetried)
    scheduleRetry(request, now + response.retryAfter);
  else if (settings_.closedLoop && running_)
    arrival_.startIn(Time(0));
}

}  // namespace stonebay::testbed
