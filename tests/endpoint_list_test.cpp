// Parsing of endpoint lists in the registry's JSON form.
#include "discovery/endpoint_list.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace stonebay {
namespace {

TEST(EndpointList, ReadsEveryFieldAndErrorsNameTheKey) {
  const std::string text =
      R"({"generation":43,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:5432","zone":"a",)"
      R"("machineType":"m2","cell":3,"lifecycle":"leaving","weight":1.5,"startedAtMs":7},)"
      R"({"instanceId":"s-2","lifecycle":"left"}]})";
  const EndpointListUpdate list = parseEndpointList(text);
  EXPECT_EQ(list.generation, 43u);
  EXPECT_FALSE(list.isComplete);
  ASSERT_EQ(list.instances.size(), 2u);
  EXPECT_EQ(list.instances[0].group, 3u);
  EXPECT_EQ(list.instances[0].state, Lifecycle::Draining);
  EXPECT_EQ(list.instances[0].startedMs, 7);
  EXPECT_EQ(list.instances[0].address.port(), 5432);
  EXPECT_EQ(list.instances[1].state, Lifecycle::Removed);
  const auto errorAfterReplacing = [&](const std::string& from, const std::string& to) {
    std::string invalid = text;
    invalid.replace(invalid.find(from), from.size(), to);
    try {
      parseEndpointList(invalid);
    } catch (const InvalidInput& error) {
      return std::string(error.what());
    }
    return std::string("no error");
  };
  EXPECT_NE(errorAfterReplacing("43", "-1").find("generation"), std::string::npos);
  EXPECT_NE(errorAfterReplacing("10.1.0.18:5432", "host:1").find("instances[0].hostPort"), std::string::npos);
  EXPECT_NE(errorAfterReplacing("\"cell\":3", "\"cell\":70000").find("instances[0].cell"), std::string::npos);
  EXPECT_NE(errorAfterReplacing("leaving", "gone").find("instances[0].lifecycle"), std::string::npos);
  EXPECT_NE(errorAfterReplacing("\"instanceId\":\"s-2\"", "\"x\":1").find("instances[1].instanceId"),
            std::string::npos);
  EXPECT_THROW(parseEndpointList("{\"generation\":"), InvalidInput);
}

TEST(EndpointList, ReadsAStreamInChunksOfAnySize) {
  const std::string one = R"({"generation":1,"reset":true,"instances":[]})";
  const std::string two =
      "{\n  \"generation\": 2,\n  \"reset\": false,\n  \"instances\": [\n    {\n      \"instanceId\": "
      "\"a}]\\\"{\\\\\",\n      \"lifecycle\": \"left\"\n    }\n  ]\n}";
  const std::string text = "\n" + one + "\r\n\n" + two + one;
  for (std::size_t chunkBytes : {std::size_t{1}, std::size_t{7}, text.size()}) {
    EndpointListReader reader;
    std::vector<EndpointListUpdate> lists;
    for (std::size_t at = 0; at < text.size(); at += chunkBytes)
      reader.feed(std::string_view(text).substr(at, chunkBytes),
                  [&](EndpointListUpdate list) { lists.push_back(std::move(list)); });
    ASSERT_EQ(lists.size(), 3u) << chunkBytes;
    ASSERT_EQ(lists[1].instances.size(), 1u);
    EXPECT_EQ(lists[1].instances[0].name, "a}]\"{\\");
    EXPECT_EQ(lists[2].generation, 1u);
  }
  const auto ignoreList = [](EndpointListUpdate) {};
  EXPECT_THROW(EndpointListReader().feed("x", ignoreList), InvalidInput);
  EXPECT_THROW(EndpointListReader().feed("{]", ignoreList), InvalidInput);
  int listsBeforeError = 0;
  EXPECT_THROW(EndpointListReader().feed(one + "]", [&](EndpointListUpdate) { ++listsBeforeError; }),
               InvalidInput);
  EXPECT_EQ(listsBeforeError, 1);
}

}  // namespace
}  // namespace stonebay
