#include "config/settings_schema.hpp"

#include "config/setting_keys.hpp"

namespace stonebay {

const std::vector<SettingsSection>& settingsSections() {
  static const std::vector<SettingsSection> sections{
      {"proxy", false, "This proxy: its name, where it listens, who stands beside it.", proxyKeys()},
      {"limits", false,
       "What the process may hold. The bounds on clients, on connections to data servers and on long "
       "statements follow from it.",
       limitsKeys()},
      {"log", false, "The log, on standard error.", logKeys()},
      {"discovery", false, "Where the list of data servers comes from.", discoveryKeys()},
      {"dnssd", false,
       "With `source = dnssd`: which service records, asked of whom and how often. SIGHUP takes new values "
       "while serving.",
       dnssdKeys()},
      {"data_servers", false, "What the data servers of this installation do and allow.", dataServersKeys()},
      {"clients", false, "What the clients of this installation understand.", clientsKeys()},
      {"rules", false, "The figures of the rules that the proxy keeps.", rulesKeys()},
      {"goal", false, "What counts when not all can be served.", goalKeys()},
      {"class", true, "A class of requests, by the name that statements carry (`c=`). At least one.",
       classKeys()},
      {"group", true, "A name for a group: a primary and its replicas.", groupKeys()},
      {"member", true,
       "A data server that is known at the start, by its instance name. With `source = fixed` these are all.",
       memberKeys()},
  };
  return sections;
}

}  // namespace stonebay
