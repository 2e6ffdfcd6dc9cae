// The steps of a Scenario's registry and name server.
#include <signal.h>
#include <sys/socket.h>

#include <sstream>

#include "scenario.hpp"
#include "scenario_sockets.hpp"
#include "testbed/name_server.hpp"

namespace stonebay::test {

std::string Scenario::list(int endpoint, const std::string& lifecycle, int generation) const {
  std::ostringstream json;
  json << R"({"generation":)" << generation << R"(,"reset":false,"instances":[{"instanceId":"s-)" << endpoint
       << R"(","hostPort":"127.0.0.1:)" << endpoints_[static_cast<std::size_t>(endpoint - 1)].port
       << R"(","zone":"a","cell":3,"lifecycle":")" << lifecycle << R"(","weight":1.0,"startedAtMs":0}]})";
  return json.str();
}

void Scenario::runRegistryStep(const std::string& verb, const std::string& object,
                               const std::string& arguments) {
  if (object == "calls") {
    EXPECT_EQ(watchConnections_.size(), std::stoul(arguments)) << currentStep_;
    return;
  }
  if (verb == "expect") {
    std::string request;
    waitUntil(
        [&] {
          const bool hasRequest = !watchConnections_.empty() && watchConnections_.back().isNew &&
                                  watchConnections_.back().input.find("\r\n\r\n") != std::string::npos;
          if (hasRequest) request = watchConnections_.back().input;
          return hasRequest;
        },
        "a watch");
    if (request.empty()) return;
    EXPECT_EQ(request.rfind("GET /registry/instances?watch=1&", 0), 0u) << request;
    EXPECT_NE(request.find(arguments), std::string::npos) << currentStep_ << ": got " << request;
    watchConnections_.back().isNew = false;
    if (object == "watch")
      sendAll(watchConnections_.back().fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (object == "endless") sendAll(watchConnections_.back().fd, "HTTP/1.1 200 OK\r\n\r\n");
    return;
  }
  ASSERT_FALSE(watchConnections_.empty()) << currentStep_;
  const int fd = watchConnections_.back().fd;
  const auto sendChunk = [&](const std::string& text) {
    std::ostringstream chunk;
    chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
    sendAll(fd, chunk.str());
  };
  if (verb == "close") {
    shutdown(fd, SHUT_RDWR);
  } else if (verb == "reset") {
    reset(watchConnections_.back());
  } else if (object == "raw") {  // part of a response without chunks
    sendAll(fd, arguments);
  } else if (object == "indented") {
    std::string text;
    for (const char byte : arguments) {
      text += byte;
      if (byte == '{' || byte == '[' || byte == ',') text += "\n    ";
    }
    sendChunk(text + "\n");
  } else if (object == "line") {
    sendChunk(arguments + "\n");
  } else if (object == "bits") {  // a line in chunks of one byte each
    for (const char byte : arguments + "\n") sendChunk(std::string(1, byte));
  } else if (object == "status") {
    sendAll(fd, "HTTP/1.1 " + arguments + "\r\nContent-Length: 0\r\n\r\n");
  } else {
    FAIL() << "unknown step: " << currentStep_;
  }
}

void Scenario::runDnsStep(const std::string& verb, const std::string& object, const std::string& arguments) {
  if (verb == "behavior") {
    testbed::NameServer::Behavior behavior{};
    ASSERT_TRUE(testbed::NameServer::findBehavior(object, behavior)) << currentStep_;
    return nameServer_->setBehavior(behavior);
  }
  if (verb == "move") {  // the name server serves another domain at the same port
    const int port = nameServer_->port();
    nameServer_.reset();
    domain_ = object;
    nameServer_ = std::make_unique<testbed::NameServer>(eventBase_.get(), domain_, "_postgresql._tcp", port);
    configure(port);
    kill(proxyPid_, SIGHUP);
    return;
  }
  const std::string label = "s-" + object.substr(1);
  if (verb == "withdraw") return nameServer_->withdraw(label);
  ASSERT_EQ(verb, "publish") << currentStep_;
  testbed::ServiceInstance instance;
  instance.label = label;
  instance.addresses = {"127.0.0.1"};
  instance.port = static_cast<std::uint16_t>(endpoints_.at(std::stoul(object.substr(1)) - 1).port);
  std::istringstream words(arguments);
  for (std::string word; words >> word;) instance.txt.push_back(word);
  nameServer_->publish(instance);
}

}  // namespace stonebay::test
