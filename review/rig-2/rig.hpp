// Stand-ins for the cases of the second review: data servers, discovery, clients and the start of a proxy.
// Blocking sockets on loopback addresses, a thread for each connection. They follow PROTOCOL-stonebay.md.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

// ---- time and record -------------------------------------------------------------------------------------
inline std::int64_t nowMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// The file record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), startedAt_(nowMs()) {
    if (file_ == nullptr) {
      std::perror(path.c_str());
      std::exit(2);
    }
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::fprintf(file_, "%8.3f ", static_cast<double>(nowMs() - startedAt_) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  std::int64_t startedAt_;
};

// ---- sockets ---------------------------------------------------------------------------------------------
inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int portOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// Binds and listens; port 0 takes a free one.
inline int listenOn(int port, int receiveBuffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (receiveBuffer > 0) setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
  const sockaddr_in address = loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  return fd;
}

inline int freePort() {
  const int fd = listenOn(0);
  const int port = portOf(fd);
  close(fd);
  return port;
}

/// Returns -1 if the connection is refused.
inline int connectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(fd);
    return -1;
  }
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  return fd;
}

inline bool sendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads exactly `size` bytes. Returns false at the end of the connection or after `untilMs` (0: no limit).
inline bool readExact(int fd, std::size_t size, std::string& bytes, std::int64_t untilMs = 0) {
  bytes.clear();
  while (bytes.size() < size) {
    int wait = -1;
    if (untilMs > 0) wait = static_cast<int>(std::max<std::int64_t>(untilMs - nowMs(), 0));
    pollfd poller{fd, POLLIN, 0};
    if (poll(&poller, 1, wait) <= 0) return false;
    char buffer[65536];
    const ssize_t n = recv(fd, buffer, std::min(size - bytes.size(), sizeof buffer), 0);
    if (n <= 0) return false;
    bytes.append(buffer, static_cast<std::size_t>(n));
  }
  return true;
}

// ---- messages --------------------------------------------------------------------------------------------
inline std::string int32(std::uint32_t value) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(value >> shift));
  return bytes;
}

inline std::uint32_t readInt32(const std::string& bytes, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i) value = value << 8U | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

inline std::string message(char type, const std::string& body) {
  return std::string(1, type) + int32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

inline std::string text(const std::string& value) { return value + '\0'; }

inline std::string parameter(const std::string& name, const std::string& value) {
  return message('S', text(name) + text(value));
}

inline std::string ready() { return message('Z', "I"); }

/// One row of one binary column, with its description and command tag.
inline std::string row(const std::string& column, const std::string& value, const std::string& tag) {
  const std::string description = std::string("\0\1", 2) + text(column) + int32(0) + std::string("\0\0", 2) +
                                  int32(17) + std::string("\377\377", 2) + int32(0xffffffffU) +
                                  std::string("\0\1", 2);
  return message('T', description) +
         message('D', std::string("\0\1", 2) + int32(static_cast<std::uint32_t>(value.size())) + value) +
         message('C', text(tag));
}

inline std::string error(const std::string& code, const std::string& why, const char* severity = "ERROR") {
  return message('E', text(std::string("S") + severity) + text("C" + code) + text("M" + why) + '\0');
}

struct Message {
  char type = 0;
  std::string body;
};

inline bool readMessage(int fd, Message& result, std::int64_t untilMs = 0) {
  std::string header;
  if (!readExact(fd, 5, header, untilMs)) return false;
  result.type = header[0];
  return readExact(fd, readInt32(header, 1) - 4, result.body, untilMs);
}

/// Threads that serve one connection each. They end by themselves; the destructor of their owner waits for
/// them.
class ConnectionThreads {
 public:
  template <typename Function>
  void start(Function function) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++running_;
    }
    std::thread([this, function] {
      function();
      const std::lock_guard<std::mutex> lock(mutex_);
      --running_;
      ended_.notify_all();
    }).detach();
  }
  void wait() {
    std::unique_lock<std::mutex> lock(mutex_);
    ended_.wait(lock, [this] { return running_ == 0; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable ended_;
  int running_ = 0;
};

/// The fields of the comment at the end of a statement.
inline std::map<std::string, std::string> commentOf(const std::string& sql) {
  std::map<std::string, std::string> fields;
  const std::size_t open = sql.rfind("/*");
  const std::size_t close = sql.rfind("*/");
  if (open == std::string::npos || close == std::string::npos) return fields;
  std::string rest = sql.substr(open + 2, close - open - 2);
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    const std::string field = rest.substr(0, comma);
    rest.erase(0, comma + 1);
    const std::size_t begin = field.find_first_not_of(' ');
    const std::size_t equals = field.find('=');
    if (begin == std::string::npos || equals == std::string::npos) continue;
    std::string value = field.substr(equals + 1);
    while (!value.empty() && value.back() == ' ') value.pop_back();
    fields[field.substr(begin, equals - begin)] = value;
  }
  return fields;
}

/// The first quoted text of a statement, which is its key.
inline std::string keyOf(const std::string& sql) {
  const std::size_t open = sql.find('\'');
  const std::size_t close = sql.find('\'', open + 1);
  return open == std::string::npos ? "" : sql.substr(open + 1, close - open - 1);
}

// ---- data servers ----------------------------------------------------------------------------------------
/// A data server. Accepts any user at once and hands each statement to `onStatement`, which answers on the
/// descriptor and returns whether the connection stays open.
class DataServer {
 public:
  using Handler = std::function<bool(int fd, const std::string& sql)>;

  DataServer(std::string name, int group, Handler onStatement)
      : name_(std::move(name)), group_(group), onStatement_(std::move(onStatement)) {
    listening_ = listenOn(0, kReceiveBuffer);
    port_ = portOf(listening_);
    accepting_ = std::thread([this] { accept(); });
  }
  ~DataServer() { stop(); }

  const std::string& name() const { return name_; }
  int port() const { return port_; }
  int group() const { return group_; }
  /// While it hangs, nothing is read and nothing more is answered; what is open stays open.
  void hang(bool hangs) {
    const std::lock_guard<std::mutex> lock(mutex_);
    hangs_ = hangs;
    hangEnded_.notify_all();
  }
  /// The most bytes that wait unread on one connection.
  int unread() {
    const std::lock_guard<std::mutex> lock(mutex_);
    int most = 0;
    for (const int fd : open_) {
      int waiting = 0;
      if (ioctl(fd, FIONREAD, &waiting) == 0) most = std::max(most, waiting);
    }
    return most;
  }
  void waitWhileHanging() {
    std::unique_lock<std::mutex> lock(mutex_);
    hangEnded_.wait(lock, [this] { return !hangs_ || stopped_; });
  }
  /// Ends the process that this stands for: resets its connections and refuses new ones.
  void stop() {
    if (stopped_.exchange(true)) return;
    shutdown(listening_, SHUT_RDWR);
    accepting_.join();
    close(listening_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      hangEnded_.notify_all();
      for (const int fd : open_) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown(fd, SHUT_RDWR);
      }
    }
    threads_.wait();
  }

 private:
  void accept() {
    for (;;) {
      const int fd = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0 && (errno == EINTR || errno == ECONNABORTED) && !stopped_) continue;
      if (fd < 0) return;
      const int enabled = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.insert(fd);
      threads_.start([this, fd] { serve(fd); });
    }
  }
  void serve(int fd) {
    std::string length;
    std::string startup;
    bool open = readExact(fd, 4, length) && readExact(fd, readInt32(length, 0) - 4, startup) &&
                sendAll(fd, message('R', int32(0)) + ready());
    Message query;
    while (open && !stopped_ && readNext(fd, query) && query.type == 'Q')
      open = onStatement_(fd, query.body.substr(0, query.body.size() - 1));
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(fd);
    close(fd);
  }

  static constexpr int kReceiveBuffer = 32 << 10;  // the same on every machine

  // Reads in pieces of 4 KB and not while the server hangs, so that what it has not read waits in the socket.
  bool readNext(int fd, Message& query) {
    std::string bytes;
    std::size_t size = 5;
    while (bytes.size() < size) {
      pollfd poller{fd, POLLIN, 0};
      if (poll(&poller, 1, -1) <= 0) return false;
      waitWhileHanging();
      char buffer[4096];
      const ssize_t n = recv(fd, buffer, std::min(size - bytes.size(), sizeof buffer), 0);
      if (n <= 0) return false;
      bytes.append(buffer, static_cast<std::size_t>(n));
      if (bytes.size() >= 5) size = readInt32(bytes, 1) + 1;
    }
    query.type = bytes[0];
    query.body = bytes.substr(5);
    return true;
  }

  const std::string name_;
  const int group_;
  const Handler onStatement_;
  int listening_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::condition_variable hangEnded_;
  bool hangs_ = false;
  std::set<int> open_;
  ConnectionThreads threads_;
  std::thread accepting_;
};

/// What a data server says of itself behind an answer. `positionMs`: the data up to this instant are applied.
inline std::string selfReport(bool primary, std::int64_t positionMs, int inFlight,
                              std::int64_t commitMs = 0) {
  char load[160];
  std::snprintf(load, sizeof load, "x0=%lld.%03d,x1=%d,inflight=%d,queue=0",
                static_cast<long long>(positionMs / 1000), static_cast<int>(positionMs % 1000),
                primary ? 1 : 0, inFlight);
  std::string bytes = parameter("role", primary ? "primary" : "replica");
  if (commitMs > 0) bytes += parameter("applied_ms", std::to_string(commitMs));
  return bytes + parameter("load", load);
}

/// The text of a load report, as the row of SHOW load.
inline std::string loadText(bool primary, std::int64_t positionMs, int inFlight) {
  char load[160];
  std::snprintf(load, sizeof load, "x0=%lld.%03d,x1=%d,inflight=%d,queue=0",
                static_cast<long long>(positionMs / 1000), static_cast<int>(positionMs % 1000),
                primary ? 1 : 0, inFlight);
  return load;
}

/// One entry of the list of data servers.
struct Entry {
  std::string name;
  int port = 0;
  int group = 0;
  std::string lifecycle = "active";
  std::int64_t startedAtMs = 0;

  std::string json() const {
    return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"127.0.0.1:" + std::to_string(port) +
           "\",\"zone\":\"z1\",\"machineType\":\"m1\",\"cell\":" + std::to_string(group) +
           ",\"lifecycle\":\"" + lifecycle +
           "\",\"weight\":1.0,\"startedAtMs\":" + std::to_string(startedAtMs) + "}";
  }
};

// ---- members of a replica group --------------------------------------------------------------------------
/// The commits of a replica group, in order.
class GroupLog {
 public:
  /// Commits a value and returns the instant in milliseconds, rounded up.
  std::int64_t commit(const std::string& key, const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::int64_t at = nowMs() + 1;
    commits_[key].push_back({at, value});
    return at;
  }
  /// The value of a key in data that are applied up to `positionMs`; empty if there is none.
  std::string valueAt(const std::string& key, std::int64_t positionMs) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::string value;
    for (const auto& [at, each] : commits_[key])
      if (at <= positionMs) value = each;
    return value;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<std::pair<std::int64_t, std::string>>> commits_;
};

/// A data server of a replica group.
class Member {
 public:
  /// May answer a statement itself: returns 0 if it did not, 1 if the connection stays open, -1 if it ends.
  using Hook = std::function<int(Member& member, int fd, const std::string& sql)>;

  Member(Record& record, std::string name, int group, GroupLog& log, bool primary, Hook hook = nullptr)
      : record_(record),
        log_(log),
        hook_(std::move(hook)),
        primary_(primary),
        server_(std::move(name), group,
                [this](int fd, const std::string& sql) { return onStatement(fd, sql); }) {}

  DataServer& server() { return server_; }
  const std::string& name() const { return server_.name(); }
  Entry entry(const std::string& lifecycle = "active") const {
    return {server_.name(), server_.port(), server_.group(), lifecycle, 0};
  }
  bool primary() const { return primary_; }
  void setPrimary(bool primary) { primary_ = primary; }
  /// From now on a replica applies nothing.
  void freeze() { frozenAt_ = positionMs(); }
  void unfreeze() { frozenAt_ = 0; }
  void setWorkMs(int ms) { workMs_ = ms; }
  int statements() const { return statements_; }
  std::int64_t positionMs() const {
    std::int64_t position = nowMs();
    if (!primary_) position = frozenAt_ > 0 ? frozenAt_.load() : nowMs() - 20;
    // A position never moves back, also when the primary becomes a replica.
    std::int64_t highest = highest_;
    while (highest < position && !highest_.compare_exchange_weak(highest, position)) {
    }
    return std::max(highest, position);
  }
  std::string self(std::int64_t commitMs = 0) {
    return selfReport(primary_, positionMs(), inFlight_, commitMs);
  }
  Record& record() { return record_; }
  GroupLog& log() { return log_; }

 private:
  bool onStatement(int fd, const std::string& sql) {
    if (sql == "SHOW load")
      return sendAll(fd, row("load", loadText(primary_, positionMs(), inFlight_), "SHOW") + ready());
    if (sql == "SELECT 1") return sendAll(fd, row("one", "1", "SELECT 1") + ready());
    if (sql.empty()) return sendAll(fd, message('I', "") + ready());
    ++statements_;
    ++inFlight_;
    const bool open = answer(fd, sql);
    --inFlight_;
    return open;
  }
  bool answer(int fd, const std::string& sql) {
    if (hook_) {
      const int handled = hook_(*this, fd, sql);
      if (handled != 0) return handled > 0;
    }
    if (workMs_ > 0) sleepMs(workMs_);
    const std::string key = keyOf(sql);
    if (sql.compare(0, 6, "INSERT") != 0)
      return sendAll(fd, row("blob", log_.valueAt(key, positionMs()), "SELECT 1") + self() + ready());
    if (!primary_) return sendAll(fd, error("25006", "not the primary") + self() + ready());
    const std::string value = commentOf(sql)["id"];
    const std::int64_t at = log_.commit(key, value);
    return sendAll(fd, row("blob", value, "INSERT 0 1") + self(at) + ready());
  }

  Record& record_;
  GroupLog& log_;
  const Hook hook_;
  std::atomic<bool> primary_;
  std::atomic<std::int64_t> frozenAt_{0};
  mutable std::atomic<std::int64_t> highest_{0};
  std::atomic<int> workMs_{5};
  std::atomic<int> statements_{0};
  std::atomic<int> inFlight_{0};
  DataServer server_;
};

// ---- the network between a proxy and a data server --------------------------------------------------------
/// Forwards connections to a port, with a delay in each direction.
class Relay {
 public:
  Relay(int target, int delayUs) : target_(target), delayUs_(delayUs) {
    listening_ = listenOn(0);
    port_ = portOf(listening_);
    accepting_ = std::thread([this] { accept(); });
  }
  ~Relay() {
    shutdown(listening_, SHUT_RDWR);
    accepting_.join();
    close(listening_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const int fd : open_) shutdown(fd, SHUT_RDWR);
    }
    threads_.wait();
  }
  int port() const { return port_; }

 private:
  void accept() {
    for (;;) {
      const int fd = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int other = connectTo(target_);
      if (other < 0) {
        close(fd);
        continue;
      }
      const int enabled = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        open_.insert(fd);
        open_.insert(other);
      }
      const auto halves = std::make_shared<std::atomic<int>>(2);
      threads_.start([this, fd, other, halves] { forward(fd, other, halves); });
      threads_.start([this, fd, other, halves] { forward(other, fd, halves); });
    }
  }
  void forward(int from, int to, const std::shared_ptr<std::atomic<int>>& halves) {
    char buffer[65536];
    for (;;) {
      const ssize_t n = recv(from, buffer, sizeof buffer, 0);
      if (n <= 0) break;
      std::this_thread::sleep_for(std::chrono::microseconds(delayUs_));
      if (!sendAll(to, std::string(buffer, static_cast<std::size_t>(n)))) break;
    }
    shutdown(to, SHUT_WR);
    if (--*halves > 0) return;
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(from);
    open_.erase(to);
    close(from);
    close(to);
  }

  const int target_;
  const int delayUs_;
  int listening_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  std::set<int> open_;
  ConnectionThreads threads_;
  std::thread accepting_;
};

// ---- discovery -------------------------------------------------------------------------------------------
inline std::string listJson(std::uint64_t generation, bool reset, const std::vector<Entry>& entries) {
  std::string json = "{\"generation\":" + std::to_string(generation) +
                     ",\"reset\":" + (reset ? "true" : "false") + ",\"instances\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) json += (i > 0 ? "," : "") + entries[i].json();
  return json + "]}";
}

/// Discovery: the whole list and watches on changes, with an empty line every 2 s.
class Registry {
 public:
  Registry(Record& record, std::vector<Entry> entries) : record_(record) {
    for (Entry& entry : entries) {
      const std::string name = entry.name;
      entries_[name] = std::move(entry);
    }
    listening_ = listenOn(0);
    port_ = portOf(listening_);
    accepting_ = std::thread([this] { accept(); });
  }
  ~Registry() {
    stopped_ = true;
    changed_.notify_all();
    shutdown(listening_, SHUT_RDWR);
    accepting_.join();
    close(listening_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const int fd : open_) shutdown(fd, SHUT_RDWR);
    }
    threads_.wait();
  }

  int port() const { return port_; }
  std::uint64_t generation() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return generation_;
  }
  std::vector<Entry> entries() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return allEntries();
  }
  /// From now on nothing comes on the watches that are open; new ones work.
  void silenceOpenWatches() { silentBefore_ = watches_.load(); }
  /// When a line was last written on a watch.
  std::int64_t lastLineAt() const { return lastLineAt_; }
  /// The next calls wait in turn for a second and fail.
  void failNextCalls(int calls) { callsToFail_ = calls; }
  /// How many watches have been opened.
  int watches() const { return watches_; }
  /// Changes or adds an entry.
  void set(const Entry& entry) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++generation_;
    if (entry.lifecycle == "left")
      entries_.erase(entry.name);
    else
      entries_[entry.name] = entry;
    history_[generation_] = entry;
    record_.line("discovery: %s is %s (generation %llu)", entry.name.c_str(), entry.lifecycle.c_str(),
                 static_cast<unsigned long long>(generation_));
    changed_.notify_all();
  }

 private:
  std::vector<Entry> allEntries() const {
    std::vector<Entry> all;
    for (const auto& [name, entry] : entries_) all.push_back(entry);
    return all;
  }
  void accept() {
    for (;;) {
      const int fd = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const std::lock_guard<std::mutex> lock(mutex_);
      open_.insert(fd);
      threads_.start([this, fd] { serve(fd); });
    }
  }
  static std::string chunk(const std::string& bytes) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  void serve(int fd) {
    std::string request;
    std::string byte;
    while (request.size() < 8192 && request.find("\r\n\r\n") == std::string::npos && readExact(fd, 1, byte))
      request += byte;
    if (request.find("watch=1") != std::string::npos) {
      serveWatch(fd, request);
    } else {
      const std::lock_guard<std::mutex> lock(mutex_);
      const std::string body = listJson(generation_, true, allEntries());
      sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(fd);
    close(fd);
  }
  void serveWatch(int fd, const std::string& request) {
    const std::size_t after = request.find("after=");
    std::uint64_t known =
        after == std::string::npos ? 0 : std::strtoull(request.c_str() + after + 6, nullptr, 10);
    if (callsToFail_ > 0) {
      --callsToFail_;
      sleepMs(1000);
      record_.line("discovery: a call has waited too long: 503");
      sendAll(fd, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    const int number = ++watches_;
    record_.line("discovery: a watch is open after generation %llu", static_cast<unsigned long long>(known));
    if (!sendAll(fd,
                 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
      return;
    bool first = true;
    while (!stopped_) {
      std::string line;
      {
        std::unique_lock<std::mutex> lock(mutex_);
        if (!first)
          changed_.wait_for(lock, std::chrono::seconds(2), [&] { return stopped_ || generation_ > known; });
        const bool complete = known < firstGeneration_;
        std::vector<Entry> changes;
        if (complete) {
          changes = allEntries();
        } else {
          std::map<std::string, Entry> latest;
          for (auto it = history_.upper_bound(known); it != history_.end(); ++it)
            latest[it->second.name] = it->second;
          for (const auto& [name, entry] : latest) changes.push_back(entry);
        }
        if (first || generation_ > known) line = listJson(generation_, complete, changes);
        known = generation_;
      }
      first = false;
      if (number <= silentBefore_) {
        sleepMs(100);
        continue;
      }
      if (!sendAll(fd, chunk(line + "\n"))) return;
      lastLineAt_ = nowMs();
    }
  }

  Record& record_;
  int listening_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_{false};
  std::atomic<int> watches_{0};
  std::atomic<int> silentBefore_{0};
  std::atomic<int> callsToFail_{0};
  std::atomic<std::int64_t> lastLineAt_{0};
  std::mutex mutex_;
  std::condition_variable changed_;
  const std::uint64_t firstGeneration_ = 41;
  std::uint64_t generation_ = 41;
  std::map<std::string, Entry> entries_;
  std::map<std::uint64_t, Entry> history_;
  std::set<int> open_;
  ConnectionThreads threads_;
  std::thread accepting_;
};

// ---- clients ---------------------------------------------------------------------------------------------
struct Answer {
  enum class Kind { Served, Refused, Failed, None };
  Kind kind = Kind::None;
  std::string value;  ///< of a served request
  std::string code;   ///< of a refused or failed request

  const char* name() const {
    switch (kind) {
      case Kind::Served:
        return "served";
      case Kind::Refused:
        return "refused";
      case Kind::Failed:
        return "failed";
      case Kind::None:
        break;
    }
    return "no answer";
  }
};

/// A client connection to a proxy.
class Client {
 public:
  explicit Client(int port) : fd_(connectTo(port)) {}
  ~Client() { end(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  int fd() const { return fd_; }
  bool isOpen() const { return fd_ >= 0; }
  void end() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  static std::string startupBytes() {
    const std::string body =
        int32(196608) + text("user") + text("api") + text("database") + text("ledger") + '\0';
    return int32(static_cast<std::uint32_t>(body.size() + 4)) + body;
  }
  bool startUp(std::int64_t timeoutMs = 3000) {
    if (!isOpen() || !sendAll(fd_, startupBytes())) return false;
    return readUntilReady(timeoutMs).second;
  }
  bool sendQuery(const std::string& sql) { return isOpen() && sendAll(fd_, message('Q', text(sql))); }
  Answer readAnswer(std::int64_t timeoutMs) { return readUntilReady(timeoutMs).first; }
  Answer query(const std::string& sql, std::int64_t timeoutMs) {
    if (!sendQuery(sql)) return {};
    return readAnswer(timeoutMs);
  }

 private:
  // Returns the answer, and whether ReadyForQuery came.
  std::pair<Answer, bool> readUntilReady(std::int64_t timeoutMs) {
    Answer answer;
    const std::int64_t until = nowMs() + timeoutMs;
    Message part;
    std::string value;
    while (isOpen() && readMessage(fd_, part, until)) {
      if (part.type == 'D' && part.body.size() >= 6) value = part.body.substr(6);
      if (part.type == 'C') {
        answer.kind = Answer::Kind::Served;
        answer.value = value;
      }
      if (part.type == 'E') readError(part.body, answer);
      if (part.type == 'Z') return {answer, true};
    }
    return {answer, false};
  }
  static void readError(std::string body, Answer& answer) {
    while (!body.empty() && body[0] != '\0') {
      const std::size_t end = body.find('\0');
      if (body[0] == 'C') answer.code = body.substr(1, end - 1);
      body.erase(0, end + 1);
    }
    const bool refused = answer.code == "53300" || answer.code == "57P03";
    answer.kind = refused ? Answer::Kind::Refused : Answer::Kind::Failed;
  }

  int fd_;
};

// ---- the proxy -------------------------------------------------------------------------------------------
/// A class of requests, as the settings describe it.
struct ClassOf {
  std::string name;
  std::string effect = "safe";
  std::string group = "all";
  int promiseMs = 500;
  int deadlineMs = 1500;
  int memorySpanMs = 3000;
  std::string consistency = "any";
  int boundMs = 0;
  double worth = 1;
};

struct ProxySettings {
  std::vector<ClassOf> classes;
  std::string discovery = "subscribe";
  std::string sessionMarks = "carried";
  std::string checks = "silent";
  bool parallelTries = true;
  bool probing = true;
  int attemptsCap = 6;
  int dialTimeoutMs = 250;
  int idleCloseMs = 30000;
  int memoryMb = 96;
  int sockets = 512;
  int proxies = 3;
  int drainGraceMs = 250;
  std::string seed = "8c1f30d27a5be964";

  std::string json() const {
    std::string list;
    std::string consistency;
    std::string bounds;
    for (const ClassOf& each : classes) {
      const std::string separator = list.empty() ? "" : ",";
      list += separator + "{\"name\":\"" + each.name + "\",\"effect\":\"" + each.effect + "\",\"group\":\"" +
              each.group + "\",\"promiseUs\":" + us(each.promiseMs) +
              ",\"deadlineUs\":" + us(each.deadlineMs) + ",\"memorySpanUs\":" + us(each.memorySpanMs) +
              ",\"lateWorth\":0.2,\"stream\":false,\"worth\":" + std::to_string(each.worth) + "}";
      consistency += separator + "\"" + each.consistency + "\"";
      bounds += separator + us(each.boundMs);
    }
    const std::string yes = "true";
    const std::string no = "false";
    return "{\"allowed\":{\"attemptsCap\":" + std::to_string(attemptsCap) +
           ",\"cancel\":true,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":117524,\"dialTimeoutUs\":" +
           us(dialTimeoutMs) + ",\"idleCloseUs\":" + us(idleCloseMs) +
           ",\"maxRetryAfterUs\":500000,\"mostHeld\":29381,\"multiplex\":1,\"parallelTries\":" +
           (parallelTries ? yes : no) + ",\"peers\":false,\"probing\":" + (probing ? yes : no) +
           ",\"retryAfter\":false},\"balancers\":" + std::to_string(proxies) + ",\"classes\":[" + list +
           "],\"clients\":{\"marksRetry\":true},\"countedBy\":\"request\",\"discovery\":\"" + discovery +
           "\",\"family\":\"replicas\",\"goal\":{\"whole\":0.6,\"worstClass\":0.2,\"worstTenant\":0.0,"
           "\"worstWindow\":0.2},\"kinds\":[\"m1\"],\"layers\":[\"db\"],\"myZone\":0,\"obligations\":{"
           "\"answerSlackUs\":20000,\"coldUs\":17000000,\"drainGraceUs\":" +
           us(drainGraceMs) + ",\"fallMultiple\":4.0,\"fallUs\":3000000," +
           (discovery == "subscribe" ? "\"mustAskInUs\":10000000," : "") +
           "\"startCapacity\":0.19},\"overShareWorth\":0.1,\"prices\":{},\"report\":{\"how\":\"piggyback\","
           "\"names\":[\"x0\",\"x1\",\"inflight\",\"queue\"]},\"slotNo\":0,\"specifics\":{\"checks\":\"" +
           checks + "\",\"classBoundUs\":[" + bounds + "],\"consistency\":[" + consistency +
           "],\"holdsForUs\":0,\"notes\":\"n\",\"reportX0\":\"p\",\"reportX1\":\"p\",\"roleListed\":"
           "\"silent\","
           "\"sessionMarks\":\"" +
           sessionMarks +
           "\",\"stamps\":false,\"synchronous\":false,\"zeroUs\":0},\"stage\":0,\"stepUs\":5000,\"tenants\":["
           "],"
           "\"weights\":\"rough\",\"zones\":[\"z1\"]}";
  }

 private:
  static std::string us(int ms) { return std::to_string(static_cast<long long>(ms) * 1000); }
};

/// The proxy, started by the `run` line of the deploy file (environment variable RUN_LINE).
class Proxy {
 public:
  Proxy(std::string folder, ProxySettings settings)
      : folder_(std::move(folder)), settings_(std::move(settings)), port_(freePort()) {}
  ~Proxy() { kill(); }

  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  std::string configPath() const { return folder_ + "/config.json"; }
  void writeConfig(int discoveryPort, const std::string& known) const {
    const std::string temporary = configPath() + ".new";
    std::FILE* const file = std::fopen(temporary.c_str(), "w");
    if (file == nullptr) std::exit(2);
    std::fprintf(file,
                 "{\"name\":\"n3\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"127.0.0.1:%d\",\"seed\":"
                 "\"%s\",\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},\"known\":%s,"
                 "\"settings\":%s}\n",
                 port_, discoveryPort, settings_.seed.c_str(), settings_.memoryMb, settings_.sockets,
                 known.c_str(), settings_.json().c_str());
    std::fclose(file);
    std::rename(temporary.c_str(), configPath().c_str());
  }
  void start(int discoveryPort) {
    const char* const run = std::getenv("RUN_LINE");
    const std::string command = run != nullptr ? run : "exec build-platform/stonebay";
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // it must not outlive the case
      const std::string log = folder_ + "/proxy.log";
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      setenv("NODE_NAME", "n3", 1);
      setenv("NODE_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
      setenv("NODE_DISCOVERY", ("127.0.0.1:" + std::to_string(discoveryPort)).c_str(), 1);
      setenv("NODE_CONFIG", configPath().c_str(), 1);
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  /// Waits until an empty query is answered, as the front does.
  bool waitUntilReady(std::int64_t timeoutMs = 30000) const {
    const std::int64_t until = nowMs() + timeoutMs;
    while (nowMs() < until) {
      Client client(port_);
      if (client.isOpen() && client.startUp()) {
        client.sendQuery("");
        Message part;
        if (readMessage(client.fd(), part, nowMs() + 1000) && part.type == 'I') return true;
      }
      sleepMs(50);
    }
    return false;
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  /// Whether the process has ended; sets `status`.
  bool hasEnded(int& status) {
    if (pid_ <= 0) return true;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

 private:
  const std::string folder_;
  const ProxySettings settings_;
  const int port_;
  pid_t pid_ = -1;
};

// ---- cases -----------------------------------------------------------------------------------------------
/// What a case gets: its record, a temporary folder, and whether the disruption is to happen.
struct Case {
  Case(int argc, char** argv) : record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt") {
    const char* const value = std::getenv("TROUBLE");
    trouble = value == nullptr || std::string(value) != "0";
    const char* const folder = std::getenv("CASE_TMP");
    temporary = folder != nullptr ? folder : ".";
    ::signal(SIGPIPE, SIG_IGN);
  }
  /// The exit code: 1 if the rule was broken, 0 if it held.
  int verdict(bool broken, const std::string& why) {
    record.line("verdict: %s: %s", broken ? "broken" : "held", why.c_str());
    std::printf("%s: %s\n", broken ? "broken" : "held", why.c_str());
    return broken ? 1 : 0;
  }
  int cannotRun(const std::string& why) {
    record.line("verdict: the case could not run: %s", why.c_str());
    std::printf("could not run: %s\n", why.c_str());
    return 2;
  }

  Record record;
  bool trouble = true;
  std::string temporary;
};

}  // namespace rig
