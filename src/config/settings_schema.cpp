#include "config/settings_schema.hpp"

#include "config/setting_keys.hpp"

namespace stonebay {

const std::vector<SettingsSection>& settingsSections() {
  static const std::vector<SettingsSection> sections{
      {"proxy", false, "This proxy: its name, its address, and how many proxies share the data servers.",
       proxyKeys()},
      {"limits", false,
       "The resource limits of the process. The limits on clients, on connections to data servers and on "
       "long statements are derived from them.",
       limitsKeys()},
      {"log", false, "The log, which is written to standard error.", logKeys()},
      {"discovery", false, "Where the list of data servers comes from.", discoveryKeys()},
      {"dnssd", false,
       "With `source = dnssd`: which service records are queried, from which name servers and how often. New "
       "values take effect on SIGHUP, without a restart.",
       dnssdKeys()},
      {"data_servers", false, "What the data servers of this installation support and allow.",
       dataServersKeys()},
      {"clients", false, "What the clients of this installation support.", clientsKeys()},
      {"rules", false, "The parameters of the rules that the proxy follows.", rulesKeys()},
      {"goal", false, "How the proxy sets priorities when it cannot serve all requests.", goalKeys()},
      {"class", true,
       "A request class. NAME is the class name that statements carry (`c=`). At least one is required.",
       classKeys()},
      {"group", true,
       "A replica group, which is a primary and its replicas. NAME is the name of the group in this file.",
       groupKeys()},
      {"member", true,
       "A data server that is known at startup. NAME is its instance name. With `source = fixed` there are "
       "no others.",
       memberKeys()},
  };
  return sections;
}

}  // namespace stonebay
