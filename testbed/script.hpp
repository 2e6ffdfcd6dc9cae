// The script of an experiment: timed actions on endpoints, discovery, load and proxies.
#pragma once

#include <string>
#include <vector>

#include "testbed/time.hpp"
#include "util/units.hpp"

namespace stonebay::testbed {

enum class ScriptAction {
  Withdraw,     ///< ENDPOINT [LAST]: removed from discovery
  Publish,      ///< ENDPOINT [LAST]: listed in discovery
  Toggle,       ///< ENDPOINT: withdrawn if it is listed, published if it is not
  Drain,        ///< ENDPOINT [LAST]: listed as leaving
  Rename,       ///< ENDPOINT NAME: the endpoint is listed under the new name
  WithdrawAll,  ///< all endpoints
  PublishAll,   ///< all endpoints
  Kill,         ///< ENDPOINT: stops as if its process had died; its connections are reset
  Start,        ///< ENDPOINT: starts again and warms up
  Vanish,       ///< ENDPOINT: neither sends nor accepts anything; its connections stay open
  Recover,      ///< ENDPOINT: no longer vanished or hanging
  Hang,         ///< ENDPOINT: accepts requests and answers none
  Slow,         ///< ENDPOINT FACTOR: requests take this many times as long
  Errors,       ///< ENDPOINT PERCENT: share of requests answered with an error
  Resets,       ///< ENDPOINT PERCENT: share of requests whose connection is reset
  Lag,          ///< ENDPOINT FACTOR: applying the log takes this many times as long
  NameServers,  ///< BEHAVIOR: of all name servers; see NameServer::Behavior
  Registry,     ///< down, up, or restart: watches end, and new ones receive complete lists
  Rate,         ///< RATE: requests a second, over all proxies together
  Crowd,        ///< CLIENTS: number of idle clients that connect to each proxy
  Clock,        ///< MILLISECONDS: offset of the proxies' wall clocks
  Proxy,        ///< NUMBER term|hup|kill|start
  Primary       ///< kill|hang|vanish GROUP
};

struct ScriptStep {
  Time at{};  ///< since the start of the load
  ScriptAction action{};
  std::vector<std::string> arguments;  ///< at least the number that the action requires
  int line = 0;                        ///< line number in the experiment file
};

/// Reads "5s withdraw s-3" or "from 2s every 400ms until 42s toggle s-4".
/// Returns one step for each repetition. If the line is invalid, appends to `errors` and returns none.
std::vector<ScriptStep> parseScriptLine(const std::string& text, int line, std::vector<ValueError>& errors);

}  // namespace stonebay::testbed
