// Stand-ins for the cases of the review: data servers, discovery, clients, and the start of real proxies.
// Everything listens on loopback with ports that the system chooses. Thread per connection, no library but
// the C++ standard library and POSIX.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

// ---- time and record -------------------------------------------------------------------------------------
inline double unixMs() {
  using namespace std::chrono;
  return static_cast<double>(duration_cast<microseconds>(system_clock::now().time_since_epoch()).count()) /
         1000.0;
}

inline void sleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
}

inline void sleepUntil(double atMs) { sleepMs(atMs - unixMs()); }

// The record of a run. Times are in milliseconds since its start.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = fopen(path.c_str(), "w"); }
  double start() const { return start_; }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(mutex_);
    const double at = unixMs() - start_;
    if (file_) {
      fprintf(file_, "%9.1f  %s\n", at, text);
      fflush(file_);
    }
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
  const double start_ = unixMs();
};

// A case that couldn't run.
[[noreturn]] inline void cannotRun(const std::string& why) {
  Record::get().line("COULD NOT RUN: %s", why.c_str());
  fprintf(stderr, "could not run: %s\n", why.c_str());
  _exit(2);
}

// ---- sockets ---------------------------------------------------------------------------------------------
inline int listenOnLoopback(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 512) != 0)
    cannotRun(std::string("listen: ") + strerror(errno));
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// A port that was free a moment ago.
inline int freePort() {
  int port = 0;
  close(listenOnLoopback(port));
  return port;
}

inline bool sendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

inline void resetAndClose(int fd) {
  const linger abort{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
  close(fd);
}

inline void noDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// ---- PostgreSQL messages ---------------------------------------------------------------------------------
inline std::string int32(std::uint32_t number) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(number >> shift));
  return bytes;
}
inline std::uint32_t readInt32(const char* bytes) {
  std::uint32_t number = 0;
  for (int i = 0; i < 4; ++i) number = number << 8 | static_cast<unsigned char>(bytes[i]);
  return number;
}
inline std::string message(char type, const std::string& body) {
  return std::string(1, type) + int32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}
inline std::string zeroTerminated(const std::string& text) { return text + std::string(1, '\0'); }
inline std::string parameter(const std::string& name, const std::string& value) {
  return message('S', zeroTerminated(name) + zeroTerminated(value));
}
inline std::string errorMessage(const std::string& code, const std::string& text) {
  return message('E', "S" + zeroTerminated("ERROR") + "C" + zeroTerminated(code) + "M" +
                          zeroTerminated(text) + std::string(1, '\0'));
}
inline std::string rowMessages(const std::string& value, const std::string& tag) {
  const std::string column = zeroTerminated("blob") + int32(0) + std::string(2, '\0') + int32(17) +
                             std::string("\xff\xff", 2) + int32(0xffffffff) + std::string("\0\1", 2);
  return message('T', std::string("\0\1", 2) + column) +
         message('D', std::string("\0\1", 2) + int32(static_cast<std::uint32_t>(value.size())) + value) +
         message('C', zeroTerminated(tag));
}
inline std::string ready() { return message('Z', "I"); }
inline std::string startup() {
  const std::string body = int32(196608) + zeroTerminated("user") + zeroTerminated("api") +
                           zeroTerminated("database") + zeroTerminated("ledger") + std::string(1, '\0');
  return int32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

// Returns the value of a field of the comment at a statement's end; empty if there is none.
inline std::string commentField(const std::string& statement, const std::string& name) {
  const std::size_t open = statement.rfind("/*");
  const std::size_t end = statement.rfind("*/");
  if (open == std::string::npos || end == std::string::npos) return "";
  std::istringstream fields(statement.substr(open + 2, end - open - 2));
  for (std::string field; std::getline(fields, field, ',');) {
    field.erase(0, field.find_first_not_of(' '));
    while (!field.empty() && field.back() == ' ') field.pop_back();
    const std::size_t equals = field.find('=');
    if (equals != std::string::npos && field.substr(0, equals) == name) return field.substr(equals + 1);
  }
  return "";
}

inline std::string quotedKey(const std::string& statement) {
  const std::size_t open = statement.find('\'');
  const std::size_t end = statement.find('\'', open + 1);
  return open == std::string::npos || end == std::string::npos ? ""
                                                               : statement.substr(open + 1, end - open - 1);
}

// ---- data servers ----------------------------------------------------------------------------------------
struct Connection;

// A statement as it arrived at a data server, whole.
struct Arrival {
  double at = 0;  // Unix time of its last byte
  std::string server;
  std::string text;
  std::string id;
  std::string key;
  bool isWrite = false;
};

// What a data server does with a statement.
struct Reaction {
  enum class Kind { Serve, Hold, Refuse } kind = Kind::Serve;
  double afterMs = 2;   // Serve, Refuse: time until the answer
  std::string extra{};  // Serve: bytes sent right behind the answer
};

// A data server: one listener, one thread for each connection.
class DataServer {
 public:
  using OnStatement = std::function<Reaction(DataServer&, const Arrival&)>;

  DataServer(std::string name, int cell) : name_(std::move(name)), cell_(cell) { start(); }
  ~DataServer() { stop(); }

  const std::string& name() const { return name_; }
  int port() const { return port_; }
  int cell() const { return cell_; }

  std::atomic<bool> primary{false};
  std::atomic<double> lagMs{5};           // replica: age of its data
  std::atomic<double> frozenAt{0};        // replica: Unix time at which its data stands still; 0: it follows
  std::atomic<double> connectDelayMs{0};  // time until the startup of a new connection is answered
  std::atomic<bool> silent{false};        // vanished: nothing is read or answered
  std::atomic<std::int64_t> startedAtMs{0};
  OnStatement onStatement;

  double position() const {
    if (primary) return unixMs();
    return frozenAt > 0 ? frozenAt.load() : unixMs() - lagMs;
  }
  // Closes the connections on which nothing is under way.
  void closeIdle() { ++closeIdleRequest_; }
  // Resets the connection on which the statement with this id is held.
  void resetHolding(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    resetIds_.insert(id);
  }
  // The process dies: connections are reset, new ones refused.
  void kill() {
    Record::get().line("server %s is killed", name_.c_str());
    stop();
  }
  // It starts again, at its old port.
  void restart() {
    startedAtMs = static_cast<std::int64_t>(unixMs());
    Record::get().line("server %s starts again", name_.c_str());
    start();
  }
  std::vector<Arrival> arrivals() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return arrivals_;
  }
  int inFlight() const { return inFlight_; }

 private:
  void start() {
    stopping_ = false;
    listener_ = listenOnLoopback(port_);
    acceptThread_ = std::thread([this] { acceptLoop(); });
  }
  void stop() {
    if (!acceptThread_.joinable()) return;
    stopping_ = true;
    acceptThread_.join();
    close(listener_);
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }
  void acceptLoop() {
    while (!stopping_) {
      pollfd poller{listener_, POLLIN, 0};
      if (silent || poll(&poller, 1, 2) <= 0) {
        if (silent) sleepMs(2);
        continue;
      }
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      noDelay(fd);
      threads_.emplace_back([this, fd] { serve(fd); });
    }
  }

  // Reads more input; returns false if the connection has ended or has to end.
  bool fill(int fd, std::string& input, int timeoutMs) const {
    if (silent) {
      sleepMs(2);
      return true;
    }
    pollfd poller{fd, POLLIN, 0};
    if (poll(&poller, 1, timeoutMs) <= 0) return true;
    char bytes[16384];
    const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    input.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  std::string report() const {
    char text[160];
    snprintf(text, sizeof text, "x0=%.3f,x1=%d,inflight=%d,queue=0", std::floor(position()) / 1000.0,
             primary ? 1 : 0, inFlight_.load());
    return text;
  }
  std::string status(double commitMs) const {
    std::string text = parameter("role", primary ? "primary" : "replica");
    if (commitMs > 0)
      text += parameter("applied_ms", std::to_string(static_cast<std::int64_t>(commitMs) + 1));
    return text + parameter("load", report());
  }

  void serve(int fd) {
    std::string input;
    bool started = false;
    double startupAt = 0;
    const int closeIdleSeen = closeIdleRequest_;
    while (!stopping_) {
      if (closeIdleSeen != closeIdleRequest_ && input.empty() && started) {
        close(fd);
        return;
      }
      if (!started) {
        if (startupAt == 0) {
          if (!fill(fd, input, 2)) break;
          if (input.size() < 4 || input.size() < readInt32(input.data())) continue;
          input.erase(0, readInt32(input.data()));
          startupAt = unixMs() + connectDelayMs;
        }
        if (unixMs() < startupAt || silent) {
          sleepMs(0.5);
          continue;
        }
        sendAll(fd, message('R', int32(0)) + parameter("server_version", "15.0") +
                        message('K', int32(1) + int32(2)) + ready());
        started = true;
        continue;
      }
      if (input.size() < 5 || input.size() < 1 + readInt32(input.data() + 1)) {
        if (!fill(fd, input, 2)) break;
        continue;
      }
      const char type = input[0];
      const std::size_t length = 1 + readInt32(input.data() + 1);
      const std::string body = input.substr(5, length - 5);
      input.erase(0, length);
      if (type == 'X') break;
      if (type != 'Q') break;
      if (!onQuery(fd, body.substr(0, body.size() - 1), input)) return;
    }
    if (stopping_)
      resetAndClose(fd);
    else
      close(fd);
  }

  // Returns false if the connection is closed.
  bool onQuery(int fd, const std::string& text, std::string& input) {
    if (text == "SHOW load") return sendAll(fd, rowMessages(report(), "SHOW") + status(0) + ready());
    if (text == "SELECT 1") return sendAll(fd, rowMessages("1", "SELECT 1") + ready());
    if (text.empty()) return sendAll(fd, message('I', "") + ready());
    Arrival arrival;
    arrival.at = unixMs();
    arrival.server = name_;
    arrival.text = text;
    arrival.id = commentField(text, "id");
    arrival.key = commentField(text, "k");
    arrival.isWrite = text.rfind("INSERT INTO rows (handle, blob) VALUES ('", 0) == 0;
    const bool isRead = text.rfind("SELECT blob FROM rows WHERE handle = '", 0) == 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      arrivals_.push_back(arrival);
    }
    Record::get().line("%s got: %s", name_.c_str(), text.c_str());
    if (!arrival.isWrite && !isRead) {
      Record::get().line("%s answers 08P01 to a statement that is not of the clients' form", name_.c_str());
      return sendAll(fd, errorMessage("08P01", "no such statement") + ready());
    }
    Reaction reaction = onStatement ? onStatement(*this, arrival) : Reaction();
    if (reaction.kind == Reaction::Kind::Refuse) {
      sleepMs(reaction.afterMs);
      return sendAll(fd, errorMessage("53300", "turned away") + status(0) + ready());
    }
    if (arrival.isWrite && !primary)
      return sendAll(fd, errorMessage("25006", "not the primary") + status(0) + ready());
    ++inFlight_;
    const double due = arrival.at + reaction.afterMs;
    bool open = true;
    while (open && !stopping_ && (reaction.kind == Reaction::Kind::Hold || unixMs() < due)) {
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (resetIds_.erase(arrival.id) > 0) {
          Record::get().line("%s resets the connection of %s", name_.c_str(), arrival.id.c_str());
          --inFlight_;
          resetAndClose(fd);
          return false;
        }
      }
      open = reaction.kind == Reaction::Kind::Hold ? fill(fd, input, 2) : (sleepMs(0.5), true);
    }
    --inFlight_;
    if (!open || stopping_) {
      resetAndClose(fd);
      return false;
    }
    const std::string value = "value of " + arrival.id + " from " + name_;
    Record::get().line("%s ran and answers %s (data of %.0f ms ago)", name_.c_str(), arrival.id.c_str(),
                       unixMs() - position());
    return sendAll(fd, rowMessages(value, arrival.isWrite ? "INSERT 0 1" : "SELECT 1") +
                           status(arrival.isWrite ? unixMs() : 0) + ready() + reaction.extra);
  }

  const std::string name_;
  const int cell_;
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<int> closeIdleRequest_{0};
  std::atomic<int> inFlight_{0};
  std::thread acceptThread_;
  std::vector<std::thread> threads_;
  mutable std::mutex mutex_;
  std::set<std::string> resetIds_;
  std::vector<Arrival> arrivals_;
};

// ---- discovery -------------------------------------------------------------------------------------------
// The service that holds the list: whole lists, and watches that carry the changes.
class Registry {
 public:
  explicit Registry(int generation = 41) : generation_(generation) {
    listener_ = listenOnLoopback(port_);
    acceptThread_ = std::thread([this] { acceptLoop(); });
  }
  ~Registry() {
    stopping_ = true;
    acceptThread_.join();
    close(listener_);
    for (std::thread& thread : threads_) thread.join();
  }
  int port() const { return port_; }

  std::atomic<bool> silent{false};  // open watches and new calls get nothing
  std::atomic<bool> down{false};    // connections are reset
  // Calls are handled in turn, each in this time. One that would wait longer than kLongestWaitMs ends in 503.
  std::atomic<double> callMs{0};
  // All watches that are open now fall silent: they stay open, and nothing comes any more.
  void silenceWatches() {
    silencedWatches_ = openedWatches_.load();
    Record::get().line("all open watches fall silent");
  }

  static std::string entry(const DataServer& server, const std::string& lifecycle) {
    std::ostringstream text;
    text << R"({"instanceId":")" << server.name() << R"(","hostPort":"127.0.0.1:)" << server.port()
         << R"(","zone":"a","machineType":"m","cell":)" << server.cell() << R"(,"lifecycle":")" << lifecycle
         << R"(","weight":1.0,"startedAtMs":)" << server.startedAtMs.load() << "}";
    return text.str();
  }
  // Sets an entry; returns the time from which watches are told.
  double set(const DataServer& server, const std::string& lifecycle) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++generation_;
    entries_[server.name()] = {entry(server, lifecycle), lifecycle, generation_};
    Record::get().line("discovery has %s as %s (generation %d)", server.name().c_str(), lifecycle.c_str(),
                       generation_);
    return unixMs();
  }
  int generation() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return generation_;
  }
  std::string list() const { return text(-1); }
  int calls() const { return calls_; }
  int refused() const { return refused_; }

 private:
  struct Entry {
    std::string json;
    std::string lifecycle;
    int changedAt = 0;
  };

  // The whole list if `after` is negative, else what changed after it.
  std::string text(int after) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string instances;
    for (const auto& [name, each] : entries_) {
      if (after < 0 ? each.lifecycle == "left" : each.changedAt <= after) continue;
      instances += (instances.empty() ? "" : ",") + each.json;
    }
    return R"({"generation":)" + std::to_string(generation_) + R"(,"reset":)" +
           (after < 0 ? "true" : "false") + R"(,"instances":[)" + instances + "]}";
  }
  void acceptLoop() {
    while (!stopping_) {
      pollfd poller{listener_, POLLIN, 0};
      if (poll(&poller, 1, 2) <= 0) continue;
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      noDelay(fd);
      threads_.emplace_back([this, fd] {
        serve(fd);
        close(fd);
      });
    }
  }
  static std::string chunk(const std::string& bytes) {
    char size[24];
    snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  void serve(int fd) {
    std::string request;
    while (!stopping_ && request.find("\r\n\r\n") == std::string::npos) {
      pollfd poller{fd, POLLIN, 0};
      if (poll(&poller, 1, 2) <= 0) continue;
      char bytes[4096];
      const ssize_t count = recv(fd, bytes, sizeof bytes, 0);
      if (count <= 0) return;
      request.append(bytes, static_cast<std::size_t>(count));
    }
    ++calls_;
    Record::get().line("discovery is called: %s", request.substr(0, request.find("\r\n")).c_str());
    double answerAt = 0;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const double begin = std::max(unixMs(), busyUntil_);
      if (begin <= unixMs() + kLongestWaitMs) answerAt = busyUntil_ = begin + callMs;
    }
    sleepMs(answerAt > 0 ? answerAt - unixMs() : kLongestWaitMs);
    if (answerAt == 0) {
      ++refused_;
      Record::get().line("discovery answers 503 to a call that has waited too long");
      sendAll(fd, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    while (silent && !stopping_) sleepMs(2);
    if (request.find("watch=1") == std::string::npos) {
      const std::string body = list() + "\n";
      sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
      return;
    }
    sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    const int watch = ++openedWatches_;
    int told = generation();
    sendAll(fd, chunk(text(-1) + "\n"));
    Record::get().line("discovery writes the whole list, generation %d", told);
    double lastWrite = unixMs();
    while (!stopping_) {
      pollfd poller{fd, POLLIN, 0};
      if (poll(&poller, 1, 2) > 0) {
        char byte = 0;
        if (recv(fd, &byte, 1, 0) <= 0) return;
      }
      if (down) {
        resetAndClose(dup(fd));
        return;
      }
      if (silent || watch <= silencedWatches_) {  // a watch that has fallen silent stays silent
        while (!stopping_) {
          pollfd waiter{fd, POLLIN, 0};
          char byte = 0;
          if (poll(&waiter, 1, 5) > 0 && recv(fd, &byte, 1, 0) <= 0) return;
        }
        return;
      }
      const int now = generation();
      if (now != told) {
        if (!sendAll(fd, chunk(text(told) + "\n"))) return;
        Record::get().line("discovery writes the changes up to generation %d", now);
        told = now;
        lastWrite = unixMs();
      } else if (unixMs() - lastWrite >= 2000) {
        if (!sendAll(fd, chunk("\n"))) return;
        lastWrite = unixMs();
      }
    }
  }

  static constexpr double kLongestWaitMs = 1000;

  double busyUntil_ = 0;
  std::atomic<int> openedWatches_{0};
  std::atomic<int> silencedWatches_{0};
  int port_ = 0;
  int listener_ = -1;
  int generation_;
  std::map<std::string, Entry> entries_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> calls_{0};
  std::atomic<int> refused_{0};
  mutable std::mutex mutex_;
  std::thread acceptThread_;
  std::vector<std::thread> threads_;
};

// ---- clients ---------------------------------------------------------------------------------------------
struct Answer {
  enum class Kind { Served, Refused, Failed, Closed, None } kind = Kind::None;
  std::string code;   // SQLSTATE of a refusal or failure
  std::string value;  // of a row
  double at = 0;

  const char* name() const {
    static const char* const names[] = {"served", "refused", "failed", "closed", "no answer"};
    return names[static_cast<int>(kind)];
  }
};

// A client connection. Not thread-safe.
class Client {
 public:
  // With `eager`, the client does not wait for the answer to its startup message.
  explicit Client(int port, bool eager = false) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int flags = fcntl(fd_, F_GETFL);
    fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
    connected_ = connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    if (!connected_ && errno == EINPROGRESS) {
      pollfd poller{fd_, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof error;
      connected_ = poll(&poller, 1, kConnectTimeoutMs) > 0 &&
                   getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    fcntl(fd_, F_SETFL, flags);
    noDelay(fd_);
    if (connected_) sendAll(fd_, startup());
    if (eager)
      readyToSkip_ = 1;
    else if (connected_ && !readUntilReady(2000, nullptr))
      connected_ = false;
  }
  ~Client() { close(fd_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  bool connected() const { return connected_; }
  int fd() const { return fd_; }
  // Whether the proxy has ever sent a byte.
  bool greeted() const { return greeted_; }

  void sendQuery(const std::string& statement) {
    Record::get().line("client sends: %s", statement.c_str());
    sendAll(fd_, message('Q', zeroTerminated(statement)));
  }
  Answer readAnswer(double timeoutMs) {
    Answer answer;
    readUntilReady(timeoutMs, &answer);
    answer.at = unixMs();
    Record::get().line("client gets: %s %s%s", answer.name(), answer.code.c_str(), answer.value.c_str());
    return answer;
  }
  Answer query(const std::string& statement, double timeoutMs) {
    sendQuery(statement);
    return readAnswer(timeoutMs);
  }

 private:
  static constexpr int kConnectTimeoutMs = 300;

  bool readUntilReady(double timeoutMs, Answer* answer) {
    const double end = unixMs() + timeoutMs;
    bool isComplete = false;
    std::string value;
    for (;;) {
      while (input_.size() >= 5 && input_.size() >= 1 + readInt32(input_.data() + 1)) {
        const char type = input_[0];
        const std::size_t length = 1 + readInt32(input_.data() + 1);
        const std::string body = input_.substr(5, length - 5);
        input_.erase(0, length);
        if (type == 'D' && body.size() >= 6) value = body.substr(6);
        if (type == 'C') isComplete = true;
        if (type == 'E' && answer) onError(body, *answer);
        if (type == 'Z' && readyToSkip_ > 0) {
          --readyToSkip_;
        } else if (type == 'Z') {
          if (answer && isComplete && answer->kind == Answer::Kind::None) {
            answer->kind = Answer::Kind::Served;
            answer->value = value;
          }
          return true;
        }
      }
      const double left = end - unixMs();
      if (left <= 0) return false;
      pollfd poller{fd_, POLLIN, 0};
      if (poll(&poller, 1, static_cast<int>(left) + 1) <= 0) continue;
      char bytes[16384];
      const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
      if (count <= 0) {
        if (answer && answer->kind == Answer::Kind::None) answer->kind = Answer::Kind::Closed;
        connected_ = false;
        return false;
      }
      input_.append(bytes, static_cast<std::size_t>(count));
      greeted_ = true;
    }
  }
  static void onError(const std::string& body, Answer& answer) {
    std::size_t at = 0;
    while (at < body.size() && body[at] != '\0') {
      const char field = body[at];
      const std::string text = body.c_str() + at + 1;
      if (field == 'C') answer.code = text;
      at += text.size() + 2;
    }
    const bool refused = answer.code == "53300" || answer.code == "57P03";
    answer.kind = refused ? Answer::Kind::Refused : Answer::Kind::Failed;
  }

  int fd_ = -1;
  bool connected_ = false;
  bool greeted_ = false;
  int readyToSkip_ = 0;  // ReadyForQuery messages that belong to the startup
  std::string input_;
};

inline std::string newId() {
  static std::atomic<std::uint64_t> next{0x5c0f6e1a2b3d4c59ULL};
  char text[24];
  snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next += 0x9e3779b97f4a7c15ULL));
  return text;
}
inline std::string readOf(const std::string& requestClass, const std::string& id, const std::string& key,
                          int deadlineMs, int cluster, const std::string& more = "") {
  return "SELECT blob FROM rows WHERE handle = '" + key + "' /* id=" + id + ",c=" + requestClass +
         ",d=" + std::to_string(deadlineMs) + ",cluster=" + std::to_string(cluster) + more + " */";
}
inline std::string writeOf(const std::string& id, const std::string& key, const std::string& idempotencyKey,
                           int deadlineMs, int cluster) {
  return "INSERT INTO rows (handle, blob) VALUES ('" + key + "', '\\x9f03') RETURNING blob /* id=" + id +
         ",c=ticket-write,d=" + std::to_string(deadlineMs) +
         (idempotencyKey.empty() ? "" : ",k=" + idempotencyKey) + ",cluster=" + std::to_string(cluster) +
         " */";
}

struct Request {
  std::string requestClass;
  int deadlineMs = 0;
  int cluster = 0;
  double sentAt = 0;
  Answer answer;
  bool greeted = false;  // the proxy has sent something on its connection
};

// A client system: holds on to its connections, and opens more when every one is busy.
class ClientSystem {
 public:
  ClientSystem(int port, int maxConnections) : port_(port), maxConnections_(maxConnections) {}

  // Sends a request, and up to `repeats` times more with a new id if it is refused, within its time.
  void run(const Request& first, int repeats, std::vector<Request>& tries) {
    const double end = unixMs() + first.deadlineMs;
    double pauseMs = 50;
    for (int k = 0; k <= repeats; ++k, pauseMs *= 2) {
      Request request = first;
      request.deadlineMs = static_cast<int>(end - unixMs());
      if (request.deadlineMs < 100) return;
      runOnce(request);
      tries.push_back(request);
      if (request.answer.kind != Answer::Kind::Refused) return;
      sleepMs(pauseMs);
    }
  }
  int mostOpen() const { return mostOpen_; }

 private:
  // Sends a request and waits for its answer until half a second after its time. If a connection from the
  // pool was closed under it, sends it once more, on a new connection.
  void runOnce(Request& request) {
    std::unique_ptr<Client> client = takeIdle();
    const bool isPooled = client != nullptr;
    if (!isPooled && !(client = open())) return;  // the system's own limit
    const std::string id = newId();
    const bool isWrite = request.requestClass == "ticket-write";
    const std::string statement =
        isWrite ? writeOf(id, newId(), newId(), request.deadlineMs, request.cluster)
                : readOf(request.requestClass, id, newId(), request.deadlineMs, request.cluster);
    if (!client->connected()) return release(nullptr);
    request.sentAt = unixMs();
    client->sendQuery(statement);
    request.answer = client->readAnswer(request.deadlineMs + 550);
    if (isPooled && request.answer.kind == Answer::Kind::Closed) {
      release(nullptr);
      request.answer = Answer();
      client = open();
      if (!client || !client->connected()) {
        if (client) release(nullptr);
        request.sentAt = 0;
        return;
      }
      client->sendQuery(statement);
      request.answer = client->readAnswer(request.sentAt + request.deadlineMs + 550 - unixMs());
    }
    request.greeted = client->greeted();
    release(client->connected() && request.answer.kind != Answer::Kind::None ? std::move(client) : nullptr);
  }
  std::unique_ptr<Client> takeIdle() {
    const std::lock_guard<std::mutex> lock(mutex_);
    while (!idle_.empty()) {
      std::unique_ptr<Client> client = std::move(idle_.back());
      idle_.pop_back();
      pollfd poller{client->fd(), POLLIN, 0};
      if (poll(&poller, 1, 0) == 0) return client;
      --open_;  // the proxy has closed it
    }
    return nullptr;
  }
  std::unique_ptr<Client> open() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (open_ >= maxConnections_) return nullptr;
      mostOpen_ = std::max(mostOpen_, ++open_);
    }
    return std::make_unique<Client>(port_, true);
  }
  // Puts a connection back into the pool, or counts it as closed.
  void release(std::unique_ptr<Client> client) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (client)
      idle_.push_back(std::move(client));
    else
      --open_;
  }

  const int port_;
  const int maxConnections_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Client>> idle_;
  int open_ = 0;
  int mostOpen_ = 0;
};

// What became of the requests. One that was sent is lost if it has no final answer half a second after its
// time.
struct Outcomes {
  static constexpr double kSlackMs = 500 + 50;

  std::map<std::string, int> counts;
  int lost = 0;
  int notGreeted = 0;  // lost ones on connections on which the proxy sent no byte
  std::map<int, int> lostByGroup{};

  void add(const Request& request) {
    if (request.sentAt == 0) {
      ++counts["not sent by the clients"];
      return;
    }
    const bool isLate = request.answer.at > request.sentAt + request.deadlineMs + kSlackMs;
    const bool isLost = request.answer.kind == Answer::Kind::None || isLate;
    ++counts[isLost ? "lost" : request.answer.name()];
    if (!isLost) return;
    ++lost;
    ++lostByGroup[request.cluster];
    if (!request.greeted) ++notGreeted;
  }
  std::string text() const {
    std::string text;
    for (const auto& [name, count] : counts) text += name + " " + std::to_string(count) + ", ";
    return text + "on " + std::to_string(notGreeted) +
           " of the lost ones' connections the proxy sent no byte";
  }
};

// ---- proxies ---------------------------------------------------------------------------------------------
// The settings of a small deployment: those of the operators' site, with the parts that a case may set.
struct Deployment {
  std::string discovery = "subscribe";
  int balancers = 3;
  bool probing = true;
  bool peers = false;
  int dialTimeoutMs = 250;
  int sockets = 512;
  int memoryMb = 128;
  std::string writeEffect = R"("effect":"keyed","group":"cell","memorySpanUs":3000000)";
  int writeDeadlineMs = 5000;
  std::string checks = "silent";

  std::string json(const std::string& name, int listen, int discoveryPort, const std::string& known) const {
    std::ostringstream text;
    text << R"({"name":")" << name << R"(","listen":"127.0.0.1:)" << listen << R"(","discovery":"127.0.0.1:)"
         << discoveryPort << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" << memoryMb
         << R"(,"sockets":)" << sockets << R"(},"known":)" << known
         << R"(,"settings":{"allowed":{"attemptsCap":6,"cancel":true,)"
         << R"("cpuUsPerRequest":0.0,"cpuUsPerS":117524,"dialTimeoutUs":)" << dialTimeoutMs * 1000
         << R"(,"idleCloseUs":30000000,"maxRetryAfterUs":500000,"mostHeld":29381,"multiplex":1,)"
         << R"("parallelTries":true,"peers":)" << (peers ? "true" : "false") << R"(,"probing":)"
         << (probing ? "true" : "false") << R"(,"retryAfter":false},"balancers":)" << balancers
         << R"(,"classes":[)"
         << R"({"deadlineUs":1500000,"effect":"safe","group":"all","lateWorth":0.2,"memorySpanUs":5000000,)"
         << R"("name":"queue-view","promiseUs":500000,"stream":false,"worth":1.0},)"
         << R"({"deadlineUs":600000,"effect":"safe","group":"all","lateWorth":0.0,"memorySpanUs":5000000,)"
         << R"("name":"own-ticket","promiseUs":250000,"stream":false,"worth":1.0},)"
         << R"({"deadlineUs":1200000,"effect":"safe","group":"all","lateWorth":0.2,"memorySpanUs":5000000,)"
         << R"("name":"parts-lookup","promiseUs":400000,"stream":false,"worth":2.0},)"
         << R"({"deadlineUs":)" << writeDeadlineMs * 1000 << "," << writeEffect
         << R"(,"lateWorth":0.5,"name":"ticket-write","promiseUs":1000000,"stream":false,"worth":6.0}],)"
         << R"("clients":{"marksRetry":true},"countedBy":"request","discovery":")" << discovery
         << R"(","family":"replicas","goal":{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,)"
         << R"("worstWindow":0.2},"kinds":["m"],"layers":["ticket-db"],"myZone":0,)"
         << R"("obligations":{"answerSlackUs":20000,"coldUs":17000000,"drainGraceUs":250000,)"
         << R"("fallMultiple":4.0,"fallUs":3000000,"mustAskInUs":10000000,"startCapacity":0.19},)"
         << R"("report":{"how":"piggyback","names":["x0","x1","inflight","queue"]},"slotNo":0,)"
         << R"("specifics":{"checks":")" << checks << R"(","classBoundUs":[1500000,0,0,0],)"
         << R"("consistency":["bounded","session","any","write"],"holdsForUs":0,"roleListed":"silent",)"
         << R"("sessionMarks":"carried","stamps":false,"synchronous":false,"zeroUs":0},"stage":0,)"
         << R"("stepUs":5000,"tenants":[],"weights":"rough","zones":["a"]}})";
    return text.str();
  }
};

// A real proxy, started with the run line of the deploy file.
class Proxy {
 public:
  Proxy(const Deployment& deployment, std::string name, int discoveryPort, std::string known)
      : deployment_(deployment), name_(std::move(name)), known_(std::move(known)) {
    const char* const folder = getenv("CASE_TMP");
    folder_ = folder ? folder : "/tmp";
    config_ = folder_ + "/" + name_ + ".json";
    port_ = freePort();
    configure(discoveryPort);
    start();
  }
  ~Proxy() { kill(); }

  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  void configure(int discoveryPort) {
    discoveryPort_ = discoveryPort;
    std::ofstream(config_ + ".new") << deployment_.json(name_, port_, discoveryPort, known_);
    rename((config_ + ".new").c_str(), config_.c_str());
  }
  void start() {
    const char* const run = getenv("RUN_LINE");
    const char* const root = getenv("REPOSITORY_ROOT");
    if (!run || !root) cannotRun("RUN_LINE or REPOSITORY_ROOT is not set");
    const std::string log = folder_ + "/" + name_ + ".log";
    const std::string listen = "127.0.0.1:" + std::to_string(port_);
    const std::string discovery = "127.0.0.1:" + std::to_string(discoveryPort_);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      if (chdir(root) != 0) _exit(127);
      setenv("NODE_CONFIG", config_.c_str(), 1);
      setenv("NODE_NAME", name_.c_str(), 1);
      setenv("NODE_LISTEN", listen.c_str(), 1);
      setenv("NODE_DISCOVERY", discovery.c_str(), 1);
      execl("/bin/sh", "sh", "-c", run, static_cast<char*>(nullptr));
      _exit(127);
    }
    for (int i = 0; i < 500; ++i) {
      Client client(port_);
      if (client.connected()) {
        sendAll(client.fd(), message('Q', std::string(1, '\0')));
        client.readAnswer(1000);
        Record::get().line("proxy %s is ready", name_.c_str());
        return;
      }
      if (hasEnded()) cannotRun("proxy " + name_ + " does not start; see " + log);
      sleepMs(20);
    }
    cannotRun("proxy " + name_ + " is not ready");
  }
  void signal(int number) {
    Record::get().line("proxy %s gets signal %d", name_.c_str(), number);
    ::kill(pid_, number);
  }
  bool hasEnded() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    status_ = status;
    pid_ = -1;
    return true;
  }
  int status() const { return status_; }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  Deployment deployment_;
  std::string name_;
  std::string known_;
  std::string folder_;
  std::string config_;
  int port_ = 0;
  int discoveryPort_ = 0;
  pid_t pid_ = -1;
  int status_ = 0;
};

// ---- cases -----------------------------------------------------------------------------------------------
inline bool withTrouble() {
  const char* const trouble = getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

// Ends the run with the result: 1 if the rule was broken, else 0.
inline int verdict(bool broken, const std::string& what) {
  Record::get().line("%s: %s", broken ? "BROKEN" : "HELD", what.c_str());
  printf("%s: %s\n", broken ? "BROKEN" : "HELD", what.c_str());
  return broken ? 1 : 0;
}

}  // namespace review
