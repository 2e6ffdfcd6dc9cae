// The command line: commands, exit statuses, and errors in the configuration.
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>

#include "config/config.hpp"
#include "scenario.hpp"

namespace stonebay::test {
namespace {

// Starts the program with an invalid configuration. Returns the error, which must be a single line.
std::string startupError(const std::string& text) {
  char path[] = "/tmp/stonebay-test-XXXXXX";
  close(mkstemp(path));
  std::ofstream(path) << text;
  int err = -1, status = 0;
  const int pid = spawn(path, {}, err);
  std::string output;
  char part[512];
  for (ssize_t n; (n = read(err, part, sizeof part)) > 0;) output.append(part, static_cast<std::size_t>(n));
  waitpid(pid, &status, 0);
  close(err);
  unlink(path);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 1) << output;
  EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), 1) << output;
  return output;
}
// Returns the exit status of a command, and its output on both streams.
std::pair<int, std::string> runCommand(const std::vector<std::string>& arguments) {
  int out = -1, status = 0;
  const int pid = spawn("", {}, out, arguments);
  std::string output;
  char part[4096];
  for (ssize_t n; (n = read(out, part, sizeof part)) > 0;) output.append(part, static_cast<std::size_t>(n));
  waitpid(pid, &status, 0);
  close(out);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, output};
}
// Guards against the loss of signals that arrive while the program starts. The configuration file is a pipe
// at first, so that the signals arrive while the program is reading it.
TEST(CommandLine, SignalsDuringStartupAreHandledOnceServing) {
  char path[] = "/tmp/stonebay-test-XXXXXX";
  close(mkstemp(path));
  unlink(path);
  ASSERT_EQ(mkfifo(path, 0600), 0);
  int err = -1;
  int status = 0;
  const int pid = spawn(path, {}, err);
  const int pipe = open(path, O_WRONLY | O_CLOEXEC);
  unlink(path);
  const std::string text = configuration({}, 1, {11});
  std::ofstream(path) << text;
  for (const int signal : {SIGHUP, SIGTERM, SIGHUP, SIGTERM}) kill(pid, signal);
  EXPECT_EQ(write(pipe, text.data(), text.size()), static_cast<ssize_t>(text.size()));
  close(pipe);
  waitpid(pid, &status, 0);
  close(err);
  unlink(path);
  EXPECT_TRUE(WIFEXITED(status)) << "signal " << WTERMSIG(status);
  EXPECT_EQ(WEXITSTATUS(status), 0);
}
TEST(CommandLine, ReportsErrorsAndSetsTheExitStatus) {
  EXPECT_EQ(runCommand({"--version"}).first, 0);
  EXPECT_EQ(runCommand({"--help"}).first, 0);
  EXPECT_EQ(runCommand({"serv"}).first, 2);
  EXPECT_EQ(runCommand({"check"}).first, 2);
  EXPECT_EQ(runCommand({"members", "--config", "/nonexistent", "--wait", "never"}).first, 2);
  const auto [unreadableStatus, error] = runCommand({"check", "/nonexistent"});
  EXPECT_EQ(unreadableStatus, 1);
  EXPECT_EQ(error, "/nonexistent: it cannot be read; check that it exists and is readable\n");
  EXPECT_EQ(runCommand({"serve", "--config", "/nonexistent"}).first, 1);

  char path[] = "/tmp/stonebay-test-XXXXXX";
  close(mkstemp(path));
  std::ofstream(path) << settingsFile({}, 1, {2});
  EXPECT_EQ(runCommand({"check", path}).first, 0);
  // Discovery is unreachable, so the endpoints in the settings file are printed and the exit status is 1.
  const auto [membersStatus, table] = runCommand({"members", "--config", path, "--wait", "5"});
  EXPECT_EQ(membersStatus, 1);
  EXPECT_NE(table.find("127.0.0.1:2"), std::string::npos) << table;
  EXPECT_NE(table.find("showing the members in the settings file"), std::string::npos) << table;
  std::ofstream(path) << settingsFile({}, 1, {2}) << "[log]\nlevel = loud\n[rules]\nfall_for = 3\n";
  const auto [invalidStatus, errors] = runCommand({"check", path});
  EXPECT_EQ(invalidStatus, 1);
  EXPECT_EQ(std::count(errors.begin(), errors.end(), '\n'), 2) << errors;
  unlink(path);
}
TEST(CommandLine, ServesAndReloadsFromAnIniFile) {
  Setting s;
  s.ini = true;
  Scenario t(s);
  t.run(R"(
    c1 send query SELECT 1 /* id=1,c=read,d=7000,cluster=3 */
    s2 expect query id=1
    s2 send row v
    c1 expect row v
    proxy reload broken
    proxy expect log event=settings_unchanged
    proxy reload moved
    list expect watch after=
    proxy send TERM
    proxy expect exit 0
  )");
}
// Guards against bounds that reject the smallest limits in use, 32 MB and 256 descriptors, as an earlier
// version did. A third of the descriptors must be available for clients with requests, and each of these
// clients may need a connection to an endpoint. With little memory and many descriptors the limit on clients
// was lower than that third.
TEST(Configuration, AcceptsTheSmallestLimitsInUse) {
  for (const auto& [memory, sockets] :
       {std::pair{32, 256}, {48, 384}, {64, 512}, {192, 1024}, {24, 1024}, {32, 1024}}) {
    Setting s;
    s.memoryMb = memory;
    s.sockets = sockets;
    const Config c = parseConfig(configuration(s, 1, {2}));
    EXPECT_GE(c.maxClientConnections, static_cast<std::size_t>(sockets) / 3);
    EXPECT_GE(c.maxServerConnections, c.maxClientConnections);
    EXPECT_LE(c.maxClientConnections + c.maxRefusedClients + c.maxServerConnections,
              static_cast<std::size_t>(sockets));
    EXPECT_GE(c.maxLargeStatementBytes, std::size_t{20} * 2 * 65536);
  }
}
TEST(Configuration, ErrorsNameTheKey) {
  const std::string valid = configuration({}, 1, {2});
  const auto errorWithReplaced = [&](const std::string& from, const std::string& to) {
    std::string text = valid;
    const std::size_t offset = text.find(from);
    EXPECT_NE(offset, std::string::npos) << from;
    return startupError(text.replace(offset, from.size(), to));
  };
  const auto expectNamesKey = [](const std::string& output, const std::string& key) {
    EXPECT_NE(output.find(key), std::string::npos) << output;
  };
  expectNamesKey(startupError("{"), "JSON");
  expectNamesKey(errorWithReplaced("\"listen\"", "\"listened\""), "key listen:");
  expectNamesKey(errorWithReplaced("127.0.0.1:0", "127.0.0.1:99999"), "key listen:");
  expectNamesKey(errorWithReplaced("8c1f30d27a5be964", "xyz"), "key seed:");
  expectNamesKey(errorWithReplaced("\"sockets\":1024", "\"sockets\":7"), "key limits.sockets:");
  expectNamesKey(errorWithReplaced("\"memory_mb\":192", "\"memory_mb\":8"), "key limits.memory_mb:");
  expectNamesKey(errorWithReplaced("\"sockets\":1024", "\"sockets\":\"many\""), "key limits.sockets:");
  expectNamesKey(errorWithReplaced("\"lifecycle\":\"active\"", "\"lifecycle\":\"odd\""),
                 "key known.instances[0].lifecycle:");
  expectNamesKey(errorWithReplaced("\"keyed\"", "\"key\""), "classes.1.effect");
  expectNamesKey(errorWithReplaced("\"promiseUs\":8000000", "\"promiseUs\":0"),
                 "key settings.classes[0].promiseUs:");
  expectNamesKey(errorWithReplaced("\"startCapacity\":0.21", "\"startCapacity\":2"),
                 "key settings.obligations.startCapacity:");
  expectNamesKey(errorWithReplaced("\"dialTimeoutUs\":250000", "\"dialTimeoutUs\":0"),
                 "key settings.allowed.dialTimeoutUs:");
}

}  // namespace
}  // namespace stonebay::test
