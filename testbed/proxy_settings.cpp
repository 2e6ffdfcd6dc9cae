#include "testbed/proxy_settings.hpp"

#include <sstream>

namespace stonebay::testbed {
namespace {

std::string joinZones(const std::vector<std::string>& zones) {
  std::string list;
  for (const std::string& zone : zones) list += (list.empty() ? "" : ", ") + zone;
  return list;
}

std::string generatedSettings(const Experiment& experiment, int proxy, const std::string& discoverySettings) {
  const MachineSettings& machine = experiment.fleet.machine;
  std::string text = "[proxy]\nname = p" + std::to_string(proxy) + "\nlisten = 127.0.0.1:0\nproxies = " +
                     std::to_string(experiment.tierSize > 0 ? experiment.tierSize : experiment.proxies) +
                     "\nzones = " + joinZones(experiment.fleet.zones) +
                     "\n[rules]\ncold_capacity = " + std::to_string(machine.warmUpInitialShare) +
                     "\ncold_for = " + std::to_string(machine.warmUpDuration.count()) +
                     "us\nfall_multiple = " + std::to_string(machine.overloadFactor) +
                     "\nfall_for = " + std::to_string(machine.overloadWindow.count()) + "us\n[discovery]\n" +
                     discoverySettings;
  for (const RequestClass& requestClass : experiment.classes)
    text += "[class " + requestClass.name + "]\n" + requestClass.settings;
  return text;
}

}  // namespace

std::string mergeSettings(std::string settings, const std::string& additions) {
  std::istringstream lines(additions);
  std::string header;
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line[0] == '[') {
      header = line + "\n";
      if (settings.find(header) == std::string::npos) settings += header;
      continue;
    }
    settings.insert(settings.find(header) + header.size(), line + "\n");
  }
  return settings;
}

std::string proxySettings(const Experiment& experiment, int proxy, const std::string& discoverySettings) {
  return mergeSettings(generatedSettings(experiment, proxy, discoverySettings), experiment.proxySettings);
}

}  // namespace stonebay::testbed
