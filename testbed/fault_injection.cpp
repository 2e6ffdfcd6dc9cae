// Runs a proxy that breaks one rule on purpose, to test that each auditor finds the violations of its rule.
// It is started with the arguments of the real proxy. The environment variable STONEBAY_FAULT selects the
// fault; see faultNamed(). Each client is served by its own thread.
#include <sys/socket.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "codec/dns/message.hpp"
#include "testbed/blocking_socket.hpp"
#include "testbed/faulty_proxy.hpp"
#include "testbed/socket_address.hpp"
#include "testbed/unique_fd.hpp"
#include "util/ini.hpp"

namespace {

using namespace stonebay;
using namespace stonebay::testbed;

struct Settings {
  std::string nameServers;
  std::string domain;
};

Settings readSettings(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  Settings settings;
  for (const IniSection& section : parseIni(text.str(), path).sections) {
    for (const IniEntry& entry : section.entries) {
      if (entry.key == "name_servers") settings.nameServers = entry.value;
      if (entry.key == "domain") settings.domain = entry.value;
    }
  }
  return settings;
}

Fault faultFromEnvironment() {
  const char* const name = std::getenv("STONEBAY_FAULT");
  return faultNamed(name != nullptr ? name : "");
}

int serve(const std::string& settingsPath) {
  const Settings settings = readSettings(settingsPath);
  const auto service = dns::parseName("_postgresql._tcp." + settings.domain);
  if (!service) return 1;
  FaultyProxy proxy(faultFromEnvironment(), parseAddress(settings.nameServers), *service);
  proxy.updateEndpoints();
  const UniqueFd listener = listenOnLoopback();
  if (!listener.isOpen()) return 1;
  std::thread([&proxy] { proxy.pollDiscovery(); }).detach();
  std::fprintf(stderr, "event=listening name=fault-injection port=%d\n", boundPort(listener.get()));
  for (;;) {
    UniqueFd client(accept(listener.get(), nullptr, nullptr));
    if (!client.isOpen()) continue;
    std::thread([&proxy, client = std::move(client)] { proxy.serveClient(client); }).detach();
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) return 2;  // the arguments are: serve --config FILE
  signal(SIGPIPE, SIG_IGN);
  try {
    return serve(argv[3]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
}
