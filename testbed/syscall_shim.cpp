// A library to be loaded into a proxy with LD_PRELOAD. It injects system call failures and shifts the wall
// clock.
//
// STONEBAY_SHIM_FAULTS is a comma-separated list of faults. CALL:ERROR:FIRST:COUNT makes the calls FIRST to
// FIRST+COUNT-1 of the function CALL fail, counted from 1. CALL:ERROR:PERMILLE makes each call fail at random
// with this probability; STONEBAY_SHIM_SEED seeds the random numbers. ERROR is a name such as ECONNABORTED,
// or SHORT for a readv or writev that transfers only one byte. STONEBAY_SHIM_CLOCK is the path of a file that
// contains an offset in milliseconds, which is added to CLOCK_REALTIME.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace {

constexpr int kShortTransfer = -1;  // not an errno value: transfer only one byte
constexpr long kNanosecondsPerMillisecond = 1000000;
constexpr long kNanosecondsPerSecond = 1000000000;
constexpr long kMillisecondsPerSecond = 1000;
constexpr std::uint64_t kPermille = 1000;

struct Fault {
  int error = 0;
  std::uint64_t first = 0;
  std::uint64_t count = 0;
  std::uint64_t permille = 0;  // 0 if the fault is given by first and count
};

// Returns 0 for an unknown name.
int errorNamed(const std::string& name) {
  static const std::map<std::string, int> errors{
      {"SHORT", kShortTransfer}, {"ECONNABORTED", ECONNABORTED}, {"ENFILE", ENFILE},
      {"EMFILE", EMFILE},        {"ENOBUFS", ENOBUFS},           {"EADDRNOTAVAIL", EADDRNOTAVAIL},
      {"EINTR", EINTR},          {"ENETUNREACH", ENETUNREACH},   {"ETIMEDOUT", ETIMEDOUT},
      {"EAGAIN", EAGAIN},        {"EHOSTUNREACH", EHOSTUNREACH}, {"ECONNRESET", ECONNRESET},
  };
  const auto it = errors.find(name);
  return it == errors.end() ? 0 : it->second;
}

// The faults of one system call, with a count of its calls.
class FaultPlan {
 public:
  explicit FaultPlan(const std::string& call) : randomState_(seed()) {
    const char* const text = std::getenv("STONEBAY_SHIM_FAULTS");
    std::istringstream faults(text ? text : "");
    for (std::string fault; std::getline(faults, fault, ',');) parse(fault, call);
  }

  // Counts a call and returns its fault: an errno value, kShortTransfer, or 0 for none.
  int nextError() {
    ++calls_;
    for (const Fault& fault : faults_) {
      const bool isInRange = calls_ >= fault.first && calls_ < fault.first + fault.count;
      if (isInRange || (fault.permille > 0 && nextRandom() % kPermille < fault.permille)) return fault.error;
    }
    return 0;
  }

 private:
  static std::uint64_t seed() {
    const char* const text = std::getenv("STONEBAY_SHIM_SEED");
    return text ? std::strtoull(text, nullptr, 10) : 1;
  }

  void parse(const std::string& fault, const std::string& call) {
    std::vector<std::string> parts;
    std::istringstream text(fault);
    for (std::string part; std::getline(text, part, ':');) parts.push_back(part);
    if (parts.size() < 3 || parts[0] != call) return;
    Fault parsed;
    parsed.error = errorNamed(parts[1]);
    const std::uint64_t number = std::strtoull(parts[2].c_str(), nullptr, 10);
    if (parts.size() == 3) {
      parsed.permille = number;
    } else {
      parsed.first = number;
      parsed.count = std::strtoull(parts[3].c_str(), nullptr, 10);
    }
    faults_.push_back(parsed);
  }

  std::uint64_t nextRandom() {  // splitmix64
    randomState_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = (randomState_ ^ (randomState_ >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
  }

  std::vector<Fault> faults_;
  std::uint64_t calls_ = 0;
  std::uint64_t randomState_;
};

template <typename Function>
Function* original(const char* name) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}

// Faults of readv and writev apply to stream sockets only; calls for other descriptors are not counted.
bool isStreamSocket(int fd) {
  int type = 0;
  socklen_t size = sizeof type;
  return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

long clockOffsetMs() {
  static const char* const path = std::getenv("STONEBAY_SHIM_CLOCK");
  if (!path) return 0;
  const int fd = open(path, O_RDONLY | O_CLOEXEC);
  if (fd < 0) return 0;
  char text[32] = {};
  const ssize_t size = original<ssize_t(int, void*, size_t)>("read")(fd, text, sizeof text - 1);
  close(fd);
  return size > 0 ? std::strtol(text, nullptr, 10) : 0;
}

int fail(int error) {
  errno = error;
  return -1;
}

}  // namespace

// Each function replaces the C library function that its assembler label names.
extern "C" {

int shimAccept4(int fd, sockaddr* address, socklen_t* size, int flags) __asm__("accept4");
int shimSocket(int domain, int type, int protocol) __asm__("socket");
int shimConnect(int fd, const sockaddr* address, socklen_t size) __asm__("connect");
ssize_t shimReadv(int fd, const iovec* buffers, int count) __asm__("readv");
ssize_t shimWritev(int fd, const iovec* buffers, int count) __asm__("writev");
int shimEpollWait(int fd, epoll_event* events, int count, int timeout) __asm__("epoll_wait");
int shimClockGettime(clockid_t clock, timespec* time) __asm__("clock_gettime");
int shimGettimeofday(timeval* time, void* zone) __asm__("gettimeofday");

int shimAccept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static FaultPlan plan("accept4");
  static auto* const real = original<int(int, sockaddr*, socklen_t*, int)>("accept4");
  const int error = plan.nextError();
  if (error > 0) return fail(error);
  return real(fd, address, size, flags);
}

int shimSocket(int domain, int type, int protocol) {
  static FaultPlan plan("socket");
  static auto* const real = original<int(int, int, int)>("socket");
  const int error = plan.nextError();
  return error > 0 ? fail(error) : real(domain, type, protocol);
}

int shimConnect(int fd, const sockaddr* address, socklen_t size) {
  static FaultPlan plan("connect");
  static auto* const real = original<int(int, const sockaddr*, socklen_t)>("connect");
  const int error = plan.nextError();
  return error > 0 ? fail(error) : real(fd, address, size);
}

ssize_t shimReadv(int fd, const iovec* buffers, int count) {
  static FaultPlan plan("readv");
  static auto* const real = original<ssize_t(int, const iovec*, int)>("readv");
  const int error = isStreamSocket(fd) ? plan.nextError() : 0;
  if (error > 0) return fail(error);
  if (error == 0 || count < 1 || buffers[0].iov_len < 1) return real(fd, buffers, count);
  const iovec oneByte{buffers[0].iov_base, 1};
  return real(fd, &oneByte, 1);
}

ssize_t shimWritev(int fd, const iovec* buffers, int count) {
  static FaultPlan plan("writev");
  static auto* const real = original<ssize_t(int, const iovec*, int)>("writev");
  const int error = isStreamSocket(fd) ? plan.nextError() : 0;
  if (error > 0) return fail(error);
  if (error == 0 || count < 1 || buffers[0].iov_len < 1) return real(fd, buffers, count);
  const iovec oneByte{buffers[0].iov_base, 1};
  return real(fd, &oneByte, 1);
}

int shimEpollWait(int fd, epoll_event* events, int count, int timeout) {
  static FaultPlan plan("epoll_wait");
  static auto* const real = original<int(int, epoll_event*, int, int)>("epoll_wait");
  const int error = plan.nextError();
  return error > 0 ? fail(error) : real(fd, events, count, timeout);
}

int shimClockGettime(clockid_t clock, timespec* time) {
  static auto* const real = original<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, time);
  if (result != 0 || clock != CLOCK_REALTIME) return result;
  const long offset = clockOffsetMs();
  time->tv_sec += offset / kMillisecondsPerSecond;
  time->tv_nsec += offset % kMillisecondsPerSecond * kNanosecondsPerMillisecond;
  if (time->tv_nsec < 0) {
    time->tv_nsec += kNanosecondsPerSecond;
    --time->tv_sec;
  } else if (time->tv_nsec >= kNanosecondsPerSecond) {
    time->tv_nsec -= kNanosecondsPerSecond;
    ++time->tv_sec;
  }
  return result;
}

int shimGettimeofday(timeval* time, void* /*zone*/) {
  timespec now{};
  shimClockGettime(CLOCK_REALTIME, &now);
  time->tv_sec = now.tv_sec;
  time->tv_usec = now.tv_nsec / 1000;
  return 0;
}

}  // extern "C"
