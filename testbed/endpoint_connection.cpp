#include "testbed/endpoint_connection.hpp"

#include <sys/socket.h>

#include <cstdio>
#include <string_view>
#include <utility>

#include "codec/pg/pg.hpp"
#include "codec/pg/statement.hpp"
#include "testbed/audit.hpp"
#include "testbed/connection_io.hpp"
#include "testbed/endpoint_server.hpp"
#include "util/hash.hpp"

namespace stonebay::testbed {
namespace {

constexpr std::size_t kMinStartupBytes = 8;
constexpr std::size_t kLengthBytes = 4;

constexpr const char* kProtocolViolation = "08P01";  // SQLSTATE
constexpr const char* kReadOnlyTransaction = "25006";
constexpr const char* kInternalError = "XX000";
constexpr const char* kTooManyConnections = "53300";

// Returns a number in [0, 1) that depends only on the id, so that a request is the same work on every
// endpoint.
double hashToUnitInterval(std::string_view id) {
  constexpr std::uint64_t kSplitMix64Multiplier = 0xbf58476d1ce4e5b9ULL;
  constexpr double kTwoToThe53 = 9007199254740992.0;
  std::uint64_t hash = fnv1a(id);
  hash ^= hash >> 29;
  return static_cast<double>((hash * kSplitMix64Multiplier) >> 11) / kTwoToThe53;
}

// Returns the work of a request, in microseconds of a standard core.
double workOf(const RequestClass& requestClass, std::string_view id) {
  const auto min = static_cast<double>(requestClass.minWork.count());
  const auto range = static_cast<double>((requestClass.maxWork - requestClass.minWork).count());
  return min + hashToUnitInterval(id) * range;
}

// Returns the value of "NAME=VALUE" in the last comment of a statement, or an empty view if there is none.
std::string_view commentField(std::string_view statement, std::string_view name) {
  const std::size_t commentAt = statement.rfind("/*");
  if (commentAt == std::string_view::npos) return {};
  const std::string_view comment = statement.substr(commentAt);
  for (std::size_t at = comment.find(name); at != std::string_view::npos; at = comment.find(name, at + 1)) {
    const std::size_t equalsAt = at + name.size();
    const char before = comment[at - 1];
    const bool isName =
        (before == ' ' || before == ',') && equalsAt < comment.size() && comment[equalsAt] == '=';
    if (!isName) continue;
    const std::size_t valueAt = equalsAt + 1;
    return comment.substr(valueAt, comment.find_first_of(", ", valueAt) - valueAt);
  }
  return {};
}

std::string commandComplete(const std::string& tag) { return pg::message('C', tag + '\0'); }

}  // namespace

EndpointConnection::EndpointConnection(const EndpointEnvironment& environment, EndpointServer& endpoint,
                                       int proxy, evutil_socket_t fd)
    : environment_(environment),
      endpoint_(endpoint),
      proxy_(proxy),
      workDone_(environment.context, [this] { onWorkDone(); }) {
  disableNagle(fd);
  connection_.reset(bufferevent_socket_new(environment.context.eventBase(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(
      connection_.get(),
      [](bufferevent* /*connection*/, void* self) { static_cast<EndpointConnection*>(self)->onInput(); },
      nullptr,
      [](bufferevent* /*connection*/, short events, void* self) {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
          static_cast<EndpointConnection*>(self)->close();
      },
      this);
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
}

EndpointConnection::~EndpointConnection() { cancelQuery(); }

void EndpointConnection::resetOnClose() {
  const linger immediately{1, 0};
  setsockopt(bufferevent_getfd(connection_.get()), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
}

void EndpointConnection::close() { endpoint_.remove(*this); }

void EndpointConnection::onInput() {
  lastInputAt_ = environment_.context.now();
  processInput();
}

void EndpointConnection::processInput() {
  if (endpoint_.isVanished()) return;  // the input stays buffered until the endpoint recovers
  evbuffer* const input = bufferevent_get_input(connection_.get());
  if (!isGreeted_ && !readStartup(input)) return;
  PgMessage message;
  while (!isBusy_ && !isClosing_) {
    const ReadStatus status = readMessage(input, message);
    if (status == ReadStatus::Incomplete) return;
    if (status == ReadStatus::Malformed || message.type != 'Q') return close();
    if (!message.body.empty()) message.body.pop_back();  // the NUL that ends the statement
    onQuery(message.body);
  }
}

// Answers the startup message. Returns false if the message is incomplete.
bool EndpointConnection::readStartup(evbuffer* input) {
  char lengthBytes[kLengthBytes];
  const std::size_t available = evbuffer_get_length(input);
  if (available < kMinStartupBytes) return false;
  evbuffer_copyout(input, lengthBytes, sizeof lengthBytes);
  const std::size_t length = pg::readInt32(lengthBytes);
  if (available < length) return false;
  evbuffer_drain(input, length);
  isGreeted_ = true;
  write(connection_.get(), pg::greeting());
  return true;
}

void EndpointConnection::onQuery(const std::string& statement) {
  const Time now = environment_.context.now();
  if (statement.empty())
    write(connection_.get(), pg::message('I', {}) + pg::readyForQuery());
  else if (statement == "SHOW load")
    onHealthCheck(now);
  else
    onRequest(statement, now);
}

void EndpointConnection::onHealthCheck(Time now) {
  Machine& machine = endpoint_.machine();
  const auto work = static_cast<double>(environment_.settings.healthCheckWork.count());
  environment_.audit.onHealthCheck();
  machine.addOfferedWork(now, work);
  machine.enqueue(now, work);
  char report[96];
  std::snprintf(report, sizeof report, "x0=%.3f,x1=%d,inflight=%zu",
                static_cast<double>(environment_.context.unixMs(endpoint_.position(now))) / 1e3,
                endpoint_.isPrimary() ? 1 : 0, machine.inFlight(now));
  write(connection_.get(), rowMessages(report) + commandComplete("SHOW") + pg::readyForQuery());
}

void EndpointConnection::onRequest(const std::string& statement, Time now) {
  const pg::StatementComment comment = pg::parseStatementComment(statement);
  const RequestClass* requestClass = nullptr;
  if (comment.error == nullptr) requestClass = environment_.findClass(std::string(comment.className));
  if (requestClass == nullptr) return sendError(kProtocolViolation, "not in this form");
  query_ = Query();
  query_.id = std::string(comment.requestId);
  query_.idempotencyKey = std::string(commentField(statement, "k"));
  query_.requestClass = requestClass;
  query_.attemptToken = recordAttempt(now, std::chrono::milliseconds(comment.deadlineMs));
  isBusy_ = true;
  execute(workOf(*requestClass, query_.id), now);
}

std::uint64_t EndpointConnection::recordAttempt(Time now, Time remainingTime) const {
  AttemptRecord attempt;
  attempt.at = now;
  attempt.proxy = proxy_;
  attempt.endpoint = endpoint_.number();
  attempt.id = query_.id;
  attempt.idempotencyKey = query_.idempotencyKey;
  attempt.requestClass = query_.requestClass->name;
  attempt.isRead = !query_.requestClass->isWrite;
  attempt.dataAge = now - endpoint_.position(now);
  attempt.maxStaleness = query_.requestClass->maxStaleness;
  attempt.sentDeadline = lastInputAt_ + remainingTime;
  return environment_.audit.onAttempt(std::move(attempt));
}

void EndpointConnection::execute(double work, Time now) {
  if (endpoint_.machine().addOfferedWork(now, work)) return endpoint_.crashOfOverload(now);
  if (endpoint_.isHanging()) return;
  if (query_.requestClass->isWrite && !endpoint_.isPrimary())
    return sendError(kReadOnlyTransaction, "this is no primary");
  if (occursWithProbability(endpoint_.errorShare())) return sendError(kInternalError, "scripted");
  if (occursWithProbability(endpoint_.resetShare())) {
    resetOnClose();
    isClosing_ = true;
    return workDone_.startIn(Time(0));
  }
  if (work <= 0) return complete();
  const auto completesAt = endpoint_.machine().enqueue(now, work);
  if (!completesAt) return sendError(kTooManyConnections, "the queue is full");
  query_.completesAt = *completesAt;
  workDone_.startIn(query_.completesAt - now);
}

bool EndpointConnection::occursWithProbability(double probability) const {
  return probability > 0 && environment_.context.uniform(0.0, 1.0) < probability;
}

void EndpointConnection::onWorkDone() {
  if (isClosing_) return close();
  complete();
  processInput();
}

void EndpointConnection::complete() {
  if (!isBusy_ || endpoint_.isHanging() || endpoint_.isVanished()) return;
  const Time now = environment_.context.now();
  const std::size_t valueBytes = environment_.settings.valueBytes;
  std::string value = "v-" + query_.id;
  if (value.size() < valueBytes) value.resize(valueBytes, '.');
  Time position = endpoint_.position(now);
  if (query_.requestClass->isWrite) {
    if (!endpoint_.isPrimary()) return sendError(kInternalError, "it lost its role while it held the write");
    endpoint_.group().applyWrite(*query_.requestClass, query_.idempotencyKey, now);
    position = now;
  }
  isBusy_ = false;
  environment_.audit.onAttemptEnded(now, query_.attemptToken, true);
  sendResult(value, position);
}

void EndpointConnection::sendResult(const std::string& value, Time position) {
  const bool isWrite = query_.requestClass->isWrite;
  const std::int64_t appliedMs = environment_.context.unixMs(position) + (isWrite ? 1 : 0);
  write(connection_.get(), rowMessages(value) + commandComplete(isWrite ? "INSERT 0 1" : "SELECT 1") +
                               parameterStatus("role", endpoint_.isPrimary() ? "primary" : "replica") +
                               parameterStatus("applied_ms", std::to_string(appliedMs)) +
                               pg::readyForQuery());
}

void EndpointConnection::sendError(const char* code, const char* text) {
  if (isBusy_) environment_.audit.onAttemptEnded(environment_.context.now(), query_.attemptToken, false);
  isBusy_ = false;
  write(connection_.get(), pg::errorResponse("ERROR", code, text) + pg::readyForQuery());
}

// Cancels the remaining work of the request in flight.
void EndpointConnection::cancelQuery() {
  if (!isBusy_) return;
  isBusy_ = false;
  const Time now = environment_.context.now();
  if (query_.completesAt > now) endpoint_.machine().cancel(now, query_.completesAt);
  environment_.audit.onAttemptEnded(now, query_.attemptToken, false);
}

}  // namespace stonebay::testbed
