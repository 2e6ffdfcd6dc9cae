// The directory of a DNS-SD service: the queries that are due, and the instances that the responses describe.
#include <gtest/gtest.h>

#include "discovery/dnssd/directory.hpp"
#include "dnssd_fixture.hpp"

namespace stonebay {
namespace {

using dns::Type;
using std::chrono::seconds;

struct DnsSdDirectory : testing::Test {
  DnsSdSettings settings;
  std::optional<Directory> directory;
  Time now = seconds(1000);
  DnsSdDirectory() {
    settings.domain = kDomain;
    settings.service = kService;
    settings.minRefresh = seconds(1);
    settings.maxRefresh = seconds(10);
    settings.jitter = 0.1;
    settings.defaultGroup = 3;
    directory.emplace(settings, std::vector<GroupName>{}, 1);
  }
  // Takes the queries that are due and formats them as type numbers, with "t" for TCP: "12t" is a PTR query
  // over TCP.
  std::string takeDueQueries() {
    std::string queries;
    for (const Directory::Query& query : directory->dueQueries(now)) {
      if (!queries.empty()) queries += " ";
      queries += std::to_string(static_cast<int>(query.question.type)) + (query.overTcp ? "t" : "");
    }
    return queries;
  }
  dns::Message emptyResponse(const dns::Question& question) {
    dns::Message message;
    message.response = true;
    message.authoritative = true;
    message.question = question;
    return message;
  }
  dns::Message ptrResponse(const std::vector<std::string>& labels, std::uint32_t ttl,
                           bool additionals = true) {
    dns::Message message = emptyResponse({kServiceName, Type::Ptr});
    for (const auto& label : labels) {
      const auto instance = *dns::instanceName(label, kServiceName);
      message.answers.push_back({kServiceName, Type::Ptr, ttl, instance});
      if (!additionals) continue;
      message.additionals.push_back(
          {instance, Type::Srv, ttl, dns::Srv{0, 0, 5432, "h-" + label + ".ruwi.example.org."}});
      message.additionals.push_back({instance, Type::Txt, ttl, dns::Strings{"zone=a"}});
      message.additionals.push_back(
          {"h-" + label + ".ruwi.example.org.", Type::A, ttl, dns::Bytes{ipv4Bytes("10.0.0.1")}});
    }
    if (labels.empty()) message.rcode = dns::Rcode::NxDomain;
    return message;
  }
  void respond(const dns::Message& message, bool overTcp = false) {
    directory->onResponse(now, *message.question, message, overTcp);
  }
  std::string instanceNames() {
    std::string all;
    for (const Instance& instance : directory->instances()) all += (all.empty() ? "" : " ") + instance.name;
    return all;
  }
};

TEST_F(DnsSdDirectory, RefreshesWithOnePtrQueryIfAdditionalsHaveAllRecords) {
  EXPECT_EQ(takeDueQueries(), "12");
  EXPECT_EQ(takeDueQueries(), "");  // only one PTR query is in flight at a time
  EXPECT_FALSE(directory->isInitialized());
  respond(ptrResponse({"s-1", "s-2", "s-3"}, 5));
  EXPECT_TRUE(directory->isInitialized());
  EXPECT_EQ(instanceNames(), "s-1 s-2 s-3");
  EXPECT_EQ(directory->instances()[0].address.text(), "10.0.0.1:5432");
  EXPECT_EQ(takeDueQueries(), "");
  // Every refresh takes only the PTR query, whichever record set is due first.
  for (int k = 0; k < 20; ++k) {
    ASSERT_TRUE(directory->nextDeadline());
    now = *directory->nextDeadline();
    ASSERT_EQ(takeDueQueries(), "12") << k;
    respond(ptrResponse({"s-1", "s-2", "s-3"}, 5));
  }
}

TEST_F(DnsSdDirectory, RefreshesAfterTheBoundedTtl) {
  for (const std::uint32_t ttl : {0u, 1u, 5u, 86400u, 0x7fffffffu}) {
    directory.emplace(settings, std::vector<GroupName>{}, ttl + 1);
    takeDueQueries();
    respond(ptrResponse({"s-1"}, ttl));
    const Time wait = *directory->nextDeadline() - now;
    const Time maxWait = std::clamp<Time>(seconds(ttl), seconds(1), seconds(10));
    EXPECT_LE(wait, maxWait) << ttl;
    EXPECT_GE(wait, maxWait * 9 / 10) << ttl;
  }
}

TEST_F(DnsSdDirectory, QueriesEachRecordSetIfAdditionalsAreMissing) {
  takeDueQueries();
  respond(ptrResponse({"s-1"}, 5, false));
  EXPECT_FALSE(directory->isInitialized());
  EXPECT_EQ(takeDueQueries(), "16 33");
  const auto instance = *dns::instanceName("s-1", kServiceName);
  dns::Message txt = emptyResponse({instance, Type::Txt});
  txt.answers.push_back({instance, Type::Txt, 5, dns::Strings{"group=4"}});
  respond(txt);
  dns::Message srv = emptyResponse({instance, Type::Srv});
  srv.answers.push_back({instance, Type::Srv, 5, dns::Srv{5, 0, 1, "far.ruwi.example.org."}});
  srv.answers.push_back({instance, Type::Srv, 5, dns::Srv{1, 0, 5432, "h.ruwi.example.org."}});
  respond(srv);
  EXPECT_EQ(instanceNames(), "");  // the target has no address yet
  EXPECT_EQ(takeDueQueries(), "1");
  dns::Message address = emptyResponse({"h.ruwi.example.org.", Type::A});
  address.answers.push_back({"h.ruwi.example.org.", Type::A, 5, dns::Bytes{ipv4Bytes("10.0.0.9")}});
  address.answers.push_back({"h.ruwi.example.org.", Type::A, 5, dns::Bytes{ipv4Bytes("10.0.0.2")}});
  respond(address);
  ASSERT_EQ(instanceNames(), "s-1");
  EXPECT_EQ(directory->instances()[0].address.text(), "10.0.0.2:5432");
  EXPECT_EQ(directory->instances()[0].group, 4u);
  // The selected address is kept, although another one now sorts first.
  address.answers.push_back({"h.ruwi.example.org.", Type::A, 5, dns::Bytes{ipv4Bytes("10.0.0.1")}});
  respond(address);
  EXPECT_EQ(directory->instances()[0].address.text(), "10.0.0.2:5432");
  address.answers.erase(address.answers.begin() + 1);
  respond(address);
  EXPECT_EQ(directory->instances()[0].address.text(), "10.0.0.1:5432");
}

TEST_F(DnsSdDirectory, UsesTcpIfADatagramHasNoRoomForTheAdditionals) {
  const std::vector<std::string> labels{"s-1", "s-2", "s-3", "s-4", "s-5", "s-6"};
  takeDueQueries();
  respond(ptrResponse(labels, 5, false));
  EXPECT_EQ(takeDueQueries(), "12t");
  respond(ptrResponse(labels, 5), true);
  EXPECT_EQ(instanceNames(), "s-1 s-2 s-3 s-4 s-5 s-6");
  now = *directory->nextDeadline();
  EXPECT_EQ(takeDueQueries(), "12t");
  // TCP fails: the list is kept, and the next queries go over UDP.
  directory->onFailure(now, {kServiceName, Type::Ptr});
  EXPECT_EQ(instanceNames(), "s-1 s-2 s-3 s-4 s-5 s-6");
  now = *directory->nextDeadline();
  EXPECT_EQ(takeDueQueries(), "12");
  respond(ptrResponse(labels, 5, false));
  const std::string recordQueries = takeDueQueries();  // one query for each record set that is due
  EXPECT_NE(recordQueries.find("33"), std::string::npos);
  EXPECT_EQ(recordQueries.find("12"), std::string::npos);
}

TEST_F(DnsSdDirectory, OnlyANegativeResponseWithdraws) {
  takeDueQueries();
  respond(ptrResponse({"s-1"}, 5));
  const dns::Question question{kServiceName, Type::Ptr};
  for (const auto rcode : {dns::Rcode::ServFail, dns::Rcode::Refused, dns::Rcode::NotImp, dns::Rcode::NoError,
                           dns::Rcode::NxDomain}) {
    dns::Message message = emptyResponse(question);
    message.authoritative = false;
    message.rcode = rcode;
    EXPECT_EQ(classify(question, message), ResponseKind::Unusable) << static_cast<int>(rcode);
    respond(message);
    EXPECT_EQ(instanceNames(), "s-1");
    EXPECT_TRUE(directory->isFailing());
  }
  // A response from a cache has no AA flag, but the SOA record of the zone.
  dns::Message negative = emptyResponse(question);
  negative.authoritative = false;
  negative.rcode = dns::Rcode::NxDomain;
  negative.authorities.push_back({"ruwi.example.org.", Type::Soa, 9, dns::Soa{1, 2}});
  EXPECT_EQ(classify(question, negative), ResponseKind::Negative);
  respond(negative);
  EXPECT_EQ(instanceNames(), "");
  EXPECT_LE(*directory->nextDeadline() - now, seconds(2));
  now = *directory->nextDeadline();
  EXPECT_EQ(takeDueQueries(), "12");
  respond(ptrResponse({"s-1", "s-2"}, 5));
  EXPECT_EQ(instanceNames(), "s-1 s-2");
}

TEST_F(DnsSdDirectory, PtrFailuresBackOffAndStopOtherQueries) {
  takeDueQueries();
  respond(ptrResponse({"s-1"}, 1));
  Time previousQueryAt = now;
  Time maxInterval{};
  for (int k = 0; k < 12; ++k) {
    now = *directory->nextDeadline();
    maxInterval = std::max(maxInterval, now - previousQueryAt);
    previousQueryAt = now;
    ASSERT_EQ(takeDueQueries(), "12") << k;
    directory->onFailure(now, {kServiceName, Type::Ptr});
  }
  EXPECT_GE(maxInterval, seconds(4));
  EXPECT_LE(maxInterval, seconds(10));
  EXPECT_EQ(instanceNames(), "s-1");
}

TEST_F(DnsSdDirectory, IgnoresRecordsOutsideTheDomainAndUnsolicitedRecords) {
  takeDueQueries();
  dns::Message message = ptrResponse({"s-1"}, 5);
  std::get<dns::Srv>(message.additionals[0].data).target = "h.elsewhere.example.";
  message.additionals.push_back({"h.elsewhere.example.", Type::A, 5, dns::Bytes{ipv4Bytes("10.9.9.9")}});
  message.answers.push_back({kServiceName, Type::Ptr, 5, dns::Name("x.elsewhere.example.")});
  respond(message);
  EXPECT_EQ(instanceNames(), "");
  EXPECT_EQ(directory->faults().count("x.elsewhere.example."), 1u);
  EXPECT_EQ(takeDueQueries(), "1");  // the address is queried, not taken from the additional section
}

TEST_F(DnsSdDirectory, ExcludesOnlyInstancesWithInvalidRecords) {
  takeDueQueries();
  dns::Message message = ptrResponse({"s-1", "s-2", "s-3"}, 5);
  message.additionals[1].data = dns::Strings{"weight=heavy"};
  std::get<dns::Srv>(message.additionals[3].data).target = ".";
  respond(message);
  EXPECT_EQ(instanceNames(), "s-3");
  EXPECT_EQ(directory->faults().size(), 2u);
  EXPECT_EQ(directory->faults().at(*dns::instanceName("s-1", kServiceName)),
            "TXT: weight=heavy: not a number above 0");
  now = *directory->nextDeadline();
  takeDueQueries();
  respond(ptrResponse({"s-1", "s-2", "s-3"}, 5));
  EXPECT_EQ(instanceNames(), "s-1 s-2 s-3");
  EXPECT_TRUE(directory->faults().empty());
}

TEST_F(DnsSdDirectory, UsesIpv6AddressesIfThereIsNoIpv4Address) {
  takeDueQueries();
  dns::Message message = ptrResponse({"s-1"}, 5);
  message.additionals[2].type = Type::Aaaa;
  message.additionals[2].data = dns::Bytes{std::string(15, '\0') + "\1"};
  respond(message);
  ASSERT_EQ(instanceNames(), "s-1");
  EXPECT_EQ(directory->instances()[0].address.text(), "[::1]:5432");
  EXPECT_EQ(takeDueQueries(), "");
}

}  // namespace
}  // namespace stonebay
