// Tests what of a client's statement is forwarded to endpoints.
#include "downstream/pg/client_statement.hpp"

#include <gtest/gtest.h>

#include <string>

namespace stonebay {
namespace {

std::string contentsOf(const Buffer& buffer) {
  std::string contents(evbuffer_get_length(buffer.get()), '\0');
  evbuffer_copyout(buffer.get(), contents.data(), contents.size());
  return contents;
}

// Returns the statement as it is written to an endpoint, with `remainingTime` in place of its deadline.
std::string forwarded(const std::string& text, const std::string& remainingTime) {
  Buffer body = newBuffer();
  append(body.get(), text + '\0');
  ClientStatement statement(std::move(body));
  EXPECT_FALSE(statement.parse()) << text;
  const ForwardedRequest request = statement.takeForwardedRequest();
  const std::string inserted = request.hasRemainingTime ? remainingTime : "";
  const std::string whole =
      contentsOf(request.beforeRemainingTime) + inserted + contentsOf(request.afterRemainingTime);
  EXPECT_EQ(whole.back(), '\0');
  return whole.substr(0, whole.size() - 1);
}

TEST(ClientStatement, OnlyTheDeadlineIsReplaced) {
  EXPECT_EQ(forwarded("SELECT 1 /* id=1,d=1200,cluster=3 */", "7"), "SELECT 1 /* id=1,d=7,cluster=3 */");
  EXPECT_EQ(forwarded("SELECT 1 /* d = 1200 ,id=1,cluster=3 */ ;", "7"),
            "SELECT 1 /* d = 7 ,id=1,cluster=3 */ ;");
  const std::string value(100000, '5');
  EXPECT_EQ(forwarded("INSERT '" + value + "' /* id=1,cluster=3,d=9 */", "12345"),
            "INSERT '" + value + "' /* id=1,cluster=3,d=12345 */");
}

// Guards against changed statements: the remaining time was written before the first word of a statement
// without a deadline.
TEST(ClientStatement, StatementWithoutADeadlineIsUnchanged) {
  for (const std::string text :
       {"SELECT 1 /* id=1,cluster=3 */", "SELECT 'd=5' /* id=1,cluster=3,deadline=5 */"})
    EXPECT_EQ(forwarded(text, "7"), text);
}

}  // namespace
}  // namespace stonebay
