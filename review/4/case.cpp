// A client's statement whose deadline can't be read reaches a data server changed.
#include "standins.hpp"

using namespace review;

int main(int, char** argv) {
  Record::get().open(argv[1]);
  DataServer primary("s-1", 2);
  DataServer replica("s-2", 2);
  primary.primary = true;
  Registry discovery;
  for (DataServer* server : {&primary, &replica}) discovery.set(*server, "active");
  Proxy proxy(Deployment(), "n1", discovery.port(), discovery.list());

  std::set<std::string> sent;  // without the value of d, which a proxy replaces
  const std::string deadlines[] = {",d = soon", ",d", ",d:1200", ""};
  for (const std::string& deadline : deadlines) {
    const std::string id = newId();
    const std::string text = "SELECT blob FROM rows WHERE handle = '7f3a9c21e0b4d655' /* id=" + id +
                             ",c=parts-lookup" + (withTrouble() ? deadline : ",d=1200") + ",cluster=2 */";
    sent.insert(text);
    Client client(proxy.port());
    client.query(text, 3000);
  }
  sleepMs(300);
  int changed = 0;
  std::string example;
  for (DataServer* server : {&primary, &replica})
    for (const Arrival& arrival : server->arrivals()) {
      std::string text = arrival.text;
      const std::size_t d = text.find(",d=");
      if (d != std::string::npos) {
        std::size_t end = d + 3;
        while (end < text.size() && isdigit(static_cast<unsigned char>(text[end]))) ++end;
        text.replace(d, end - d, ",d=1200");
      }
      if (sent.count(text) > 0) continue;
      ++changed;
      example = arrival.text;
    }
  return verdict(changed > 0, std::to_string(changed) +
                                  " statements that no client sent reached data servers" +
                                  (changed > 0 ? ", such as: " + example : std::string()));
}
