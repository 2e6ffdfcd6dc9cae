#include "testbed/soak_day.hpp"

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>
#include <random>
#include <sstream>
#include <vector>

namespace stonebay::testbed {
namespace {

constexpr int kEndpointsPerGroup = 5;
constexpr double kMinGroups = 2;
constexpr double kMaxGroups = 640;
constexpr int kDurationMs = 9000;
constexpr int kEarliestFaultMs = 500;
constexpr int kLatestFaultMs = 7000;
// A proxy may be killed no earlier than the longest request deadline plus this margin after SIGTERM.
constexpr int kKillMarginMs = 700;
constexpr int kRestartDelayMs = 50;  // from the kill of a proxy
// A SIGHUP before the program handles signals ends the process.
constexpr int kMinReloadAfterStartMs = 200;

// Generates one experiment.
class SoakExperimentGenerator {
 public:
  explicit SoakExperimentGenerator(std::uint64_t seed) : random_(seed), seed_(seed) {}

  std::string text() {
    chooseGeneralSettings();
    chooseDeadlines();
    addDiscoveryChanges();
    addEndpointFaults();
    addProxySignals();
    addSystemFaults();
    return ini();
  }

 private:
  int uniform(int min, int max) { return std::uniform_int_distribution<int>(min, max)(random_); }
  // Returns true with a probability of `percent`.
  bool randomBool(int percent) { return uniform(1, 100) <= percent; }
  int randomFaultTimeMs() { return uniform(kEarliestFaultMs, kLatestFaultMs); }
  void addStep(int atMs, const std::string& action) { script_ << atMs << "ms " << action << "\n"; }
  std::string randomEndpoint() { return "s-" + std::to_string(uniform(1, groups_ * kEndpointsPerGroup)); }
  // Returns the first and the last name of a range of consecutive endpoints, at most a tenth of all.
  std::string randomEndpointRange() {
    const int count = uniform(1, std::max(1, groups_ * kEndpointsPerGroup / 10));
    const int first = uniform(1, groups_ * kEndpointsPerGroup - count + 1);
    return "s-" + std::to_string(first) + " s-" + std::to_string(first + count - 1);
  }

  void chooseGeneralSettings() {
    const double share = std::uniform_real_distribution<>(0, 1)(random_);
    groups_ = static_cast<int>(kMinGroups * std::pow(kMaxGroups / kMinGroups, share));
    tier_ = randomBool(50) ? uniform(100, 900) : uniform(1, 20);
    cpuPercent_ = randomBool(50) ? 100 : uniform(15, 60);
    rate_ = uniform(20, 80);
  }

  void chooseDeadlines() {
    readDeadlineMs_ = randomBool(50) ? uniform(150, 500) : uniform(500, 1500);
    writeDeadlineMs_ = randomBool(50) ? readDeadlineMs_ : uniform(500, 2500);
  }

  void addDiscoveryChanges() {
    if (randomBool(60)) addStep(randomFaultTimeMs(), "registry restart");
    if (randomBool(50)) {
      const int down = randomFaultTimeMs();
      addStep(down, "registry down");
      addStep(down + uniform(100, 2500), "registry up");
    }
    for (int change = uniform(1, 4); change > 0; --change) {
      const std::string which = randomEndpointRange();
      const int at = randomFaultTimeMs();
      addStep(at, (randomBool(60) ? "drain " : "withdraw ") + which);
      if (randomBool(60)) addStep(at + uniform(200, 2000), "publish " + which);
    }
  }

  void addEndpointFaults() {
    for (int fault = uniform(0, 4); fault > 0; --fault) {
      const std::string which = randomEndpoint();
      const int at = randomFaultTimeMs();
      const int end = at + uniform(300, 2500);
      switch (uniform(1, 5)) {
        case 1:
          addStep(at, "kill " + which);
          addStep(end, "start " + which);
          break;
        case 2:
          addStep(at, "hang " + which);
          addStep(end, "back " + which);
          break;
        case 3:
          addStep(at, "vanish " + which);
          addStep(end, "back " + which);
          break;
        case 4:
          addStep(at, "resets " + which + " 30");
          break;
        default:
          addStep(at, "errors " + which + " 30");
      }
    }
  }

  // Sends up to three SIGHUPs. With 60% probability also terminates the proxy, possibly with further signals
  // during the shutdown, kills it at the earliest time allowed and starts a new process.
  void addProxySignals() {
    std::vector<int> reloads;
    for (int signal = uniform(0, 3); signal > 0; --signal) reloads.push_back(randomFaultTimeMs());
    if (!randomBool(60)) return addReloads(reloads);
    const int term = uniform(1000, 4000);
    const int kill = term + std::max(readDeadlineMs_, writeDeadlineMs_) + kKillMarginMs;
    addReloads(delayedPastRestart(reloads, kill));
    addStep(term, "proxy 1 term");
    if (randomBool(40)) addStep(term + uniform(0, 400), "proxy 1 term");
    if (randomBool(40)) addStep(term + uniform(0, 600), "proxy 1 hup");
    addStep(kill, "proxy 1 kill");
    addStep(kill + kRestartDelayMs, "proxy 1 start");
    if (randomBool(30)) addStep(kill + uniform(250, 400), "proxy 1 hup");
  }

  void addReloads(const std::vector<int>& timesMs) {
    for (const int atMs : timesMs) addStep(atMs, "proxy 1 hup");
  }

  // Delays the reloads that come between the kill at `killMs` and the time at which the new process can
  // handle signals.
  static std::vector<int> delayedPastRestart(std::vector<int> reloadsMs, int killMs) {
    const int earliestMs = killMs + kRestartDelayMs + kMinReloadAfterStartMs;
    for (int& atMs : reloadsMs)
      if (atMs >= killMs) atMs = std::max(atMs, earliestMs);
    return reloadsMs;
  }

  void addSystemFaults() {
    if (randomBool(40)) addStep(randomFaultTimeMs(), "crowd " + std::to_string(uniform(50, 400)));
    for (const int offsetMs : {3600 * 1000, -3600 * 1000, 4000, -4000, 0})
      if (randomBool(20)) addStep(randomFaultTimeMs(), "clock " + std::to_string(offsetMs));
    static const std::vector<std::string> faults{
        "accept4:ECONNABORTED:100", "accept4:ENFILE:50",   "socket:ENFILE:20",      "socket:ENOBUFS:20",
        "connect:EADDRNOTAVAIL:20", "readv:SHORT:100",     "writev:SHORT:100",      "readv:EINTR:50",
        "writev:EAGAIN:50",         "epoll_wait:EINTR:50", "connect:ENETUNREACH:20"};
    for (const std::string& fault : faults)
      if (randomBool(25)) faults_ += (faults_.empty() ? "" : ",") + fault;
  }

  std::string ini() const {
    std::ostringstream text;
    text << "[experiment]\ntitle = soak, seed " << seed_ << "\ndiscovery = registry\nseed = " << seed_
         << "\ntier = " << tier_ << "\ncpu_share = " << cpuPercent_ << "%\nduration = " << kDurationMs
         << "ms\nwarmup = 1500ms\n";
    if (!faults_.empty()) text << "faults = " << faults_ << "\n";
    text << "[fleet]\ngroups = " << groups_ << "\nmembers = " << kEndpointsPerGroup
         << "\napply_work = 1ms\n[load]\nrate = " << rate_
         << "\nretries = 1\nleave = 5%\ncancel = 3%\nshort = 8%\nanswer_grace = 500ms\n[class read]\nshare = "
            "85%\n"
            "work_least = 1ms\nwork_most = 20ms\ndata = bounded\nmax_age = 3s\nrepeats = safe\naim = "
         << readDeadlineMs_ / 2 << "ms\ngive_up = " << readDeadlineMs_
         << "ms\n[class write]\nshare = 15%\nwork_least = 1ms\nwork_most = 20ms\ndata = write\nrepeats = "
            "keyed\n"
            "repeats_dropped_for = 1s\naim = "
         << writeDeadlineMs_ / 2 << "ms\ngive_up = " << writeDeadlineMs_ << "ms\n[script]\n"
         << script_.str()
         << "[claims]\nlost = 0\nended_sends = 0\nlate_sends = 0\nstale_reads = 0\nsecond_copies = 0\n"
            "double_effects = 0\nfelled = 0\nextra_answers = 0\ncrashes = 0\nserved > 0\n";
    return text.str();
  }

  pcg64 random_;
  const std::uint64_t seed_;
  int groups_ = 0;
  int tier_ = 0;
  int cpuPercent_ = 100;
  int rate_ = 0;
  int readDeadlineMs_ = 0;
  int writeDeadlineMs_ = 0;
  std::string faults_;
  std::ostringstream script_;
};

}  // namespace

std::string generateSoakExperiment(std::uint64_t seed) { return SoakExperimentGenerator(seed).text(); }

}  // namespace stonebay::testbed
