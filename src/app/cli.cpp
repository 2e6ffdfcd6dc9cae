#include "app/cli.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>

#include "app/members.hpp"
#include "app/serve.hpp"
#include "app/signals.hpp"
#include "config/config.hpp"

namespace stonebay {
namespace {

constexpr const char* kVersion = "0.2.0";
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

int serveWithPlatformConfig() {
  const char* const path = std::getenv("NODE_CONFIG");
  if (!path)
    throw InvalidInput("environment variable NODE_CONFIG is not set and no command is given; see --help");
  blockSignals();
  return serve(readConfig(path), [path] { return readConfig(path, InitialEndpoints::Skip); });
}

// Prints every error on a separate line, so that all can be corrected in one round.
int checkSettings(const std::string& path) {
  try {
    const Config config = readSettings(path);
    std::printf(
        "%s: valid; %zu request classes, %zu members known at startup, at most %zu client connections and "
        "%zu connections to data servers\n",
        path.c_str(), config.classes.size(), config.initialEndpoints.instances.size(),
        config.maxClientConnections, config.maxServerConnections);
    return 0;
  } catch (const InvalidSettings& e) {
    for (const ConfigError& error : e.errors) std::fprintf(stderr, "%s\n", error.text().c_str());
    return kExitFailure;
  }
}

int printSettingsPage() { return std::fputs(settingsPage().c_str(), stdout) < 0 ? kExitFailure : 0; }

// The command line parser and the options that it sets.
class Commands {
 public:
  Commands() {
    app_.set_version_flag("--version", std::string("stonebay ") + kVersion);
    app_.require_subcommand(1);
    app_.footer(
        "Without arguments, runs the proxy with the JSON file that the environment variable NODE_CONFIG "
        "names.");
    addServe();
    addCheck();
    addMembers();
  }

  int run(int argc, char** argv) {
    try {
      app_.parse(argc, argv);
      if (check_->parsed() && !printKeys_ && path_.empty()) throw CLI::RequiredError("FILE");
    } catch (const CLI::ParseError& e) {
      return app_.exit(e) == 0 ? 0 : kExitUsage;
    }
    if (check_->parsed()) return printKeys_ ? printSettingsPage() : checkSettings(path_);
    if (serve_->parsed()) blockSignals();
    const Config config = readSettings(path_);
    if (members_->parsed()) return showMembers(config, membersOptions_);
    return serve(config, [this] { return readSettings(path_); });
  }

 private:
  void addServe() {
    serve_ = app_.add_subcommand("serve", "run the proxy until SIGTERM; SIGHUP reloads the file");
    addConfigOption(*serve_);
  }

  void addCheck() {
    check_ = app_.add_subcommand(
        "check", "check a settings file and print each error with its line, key and correction");
    CLI::Option* const file = check_->add_option("FILE", path_, "settings file (INI)");
    check_->add_flag("--keys", printKeys_, "print every key with its kind, default and meaning (Markdown)")
        ->excludes(file);
  }

  void addMembers() {
    members_ = app_.add_subcommand("members", "list the data servers that discovery currently reports");
    addConfigOption(*members_);
    members_->add_flag("--json", membersOptions_.json, "print JSON instead of a table");
    members_->add_option("--wait", membersOptions_.waitSeconds, "seconds to wait for discovery")
        ->check(CLI::Range(0.1, 300.0))
        ->capture_default_str();
  }

  void addConfigOption(CLI::App& command) {
    command.add_option("--config", path_, "settings file (INI)")->required();
  }

  CLI::App app_{"stonebay: a proxy in front of replicated databases", "stonebay"};
  CLI::App* serve_ = nullptr;
  CLI::App* check_ = nullptr;
  CLI::App* members_ = nullptr;
  std::string path_;
  bool printKeys_ = false;
  MembersOptions membersOptions_;
};

}  // namespace

int runCommandLine(int argc, char** argv) {
  try {
    if (argc < 2) return serveWithPlatformConfig();
    return Commands().run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "stonebay: %s\n", e.what());
    return kExitFailure;
  }
}

}  // namespace stonebay
