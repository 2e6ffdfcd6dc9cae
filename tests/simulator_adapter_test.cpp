// Tests the simulator's wire format byte by byte: frames, settings, events and actions.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "simulator/adapter.hpp"
#include "simulator/event_decoder.hpp"
#include "simulator/host.hpp"

namespace stonebay::simulator {
namespace {

using Bytes = std::vector<std::uint8_t>;

template <typename T>
void append(Bytes& to, T value) {
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(&value);
  to.insert(to.end(), bytes, bytes + sizeof value);
}
Bytes fromHex(const std::string& text) {
  std::string digits;
  for (const char c : text)
    if (c != ' ' && c != '\n') digits += c;
  Bytes bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    bytes.push_back(static_cast<std::uint8_t>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  return bytes;
}
void appendRecord(Bytes& to, std::uint8_t code, const Bytes& fields) {
  append(to, code);
  append(to, static_cast<std::uint32_t>(fields.size()));
  to.insert(to.end(), fields.begin(), fields.end());
}
Bytes emptyBatch(std::uint64_t clock = 8412250) {
  Bytes bytes;
  append(bytes, clock);
  return bytes;
}

const char* const kSettings =
    "allowed.attemptsCap=8\nallowed.cancel=true\nallowed.maxRetryAfterUs=1000000\nallowed.parallelTries="
    "false\n"
    "allowed.probing=true\nallowed.retryAfter=true\nbalancers=3\nclasses.count=2\n"
    "classes.0.deadlineUs=500000\nclasses.0.effect=safe\nclasses.0.lateWorth=0.2\nclasses.0.promiseUs="
    "200000\n"
    "classes.0.worth=2.0\nclasses.1.deadlineUs=3000000\nclasses.1.effect=unsafe\nclasses.1.lateWorth=0.7\n"
    "classes.1.promiseUs=1000000\nclasses.1.worth=4.0\ndiscovery=automatic\nobligations.coldUs=18000000\n"
    "obligations.drainGraceUs=2000000\nobligations.fallMultiple=3.0\nobligations.fallUs=2000000\n"
    "obligations.startCapacity=0.26\ngoal.whole=0.5\ngoal.worstClass=0.2\n"
    "report.how=pull\nreport.names=x0,x1\nspecifics.checks=silent\nspecifics.classBoundUs=800000,0\n"
    "specifics.consistency=any,write\nspecifics.holdsForUs=0\nspecifics.roleListed=silent\n"
    "specifics.sessionMarks=remembered\nspecifics.stamps=false\nspecifics.synchronous=true\n"
    "specifics.zeroUs=1000\nstepUs=5000\na.key.nobody.knows=1\n";

Bytes instanceStartedFields(const std::string& settings) {
  Bytes fields;
  append(fields, std::uint16_t{3});
  append(fields, std::uint64_t{42});
  append(fields, static_cast<std::uint32_t>(settings.size()));
  fields.insert(fields.end(), settings.begin(), settings.end());
  return fields;
}
// Returns a batch that starts instance 3 and gives it an endpoint list with one endpoint, in group 11.
Bytes instanceStartBatch(const std::string& settings = kSettings) {
  Bytes batch = emptyBatch();
  appendRecord(batch, 3, instanceStartedFields(settings));
  appendRecord(
      batch, 5,
      fromHex("00000000 01000000 0a124a07 431f 0000 0000 0b00 01 0000803f 0000803f 0000000000000000"));
  appendRecord(batch, 10, fromHex("0300 02 2900000000000000 00000000"));
  return batch;
}
// Returns the codes of a reply's records. Checks the record count and the size in the reply's header.
std::vector<int> recordCodes(const Bytes& reply) {
  std::vector<int> codes;
  std::uint32_t count = 0;
  std::uint32_t length = 0;
  std::memcpy(&count, reply.data(), 4);
  std::memcpy(&length, reply.data() + 4, 4);
  EXPECT_EQ(length, reply.size() - 8);
  for (std::size_t at = 8; at < reply.size();) {
    codes.push_back(reply[at]);
    std::uint32_t fieldBytes = 0;
    std::memcpy(&fieldBytes, &reply[at + 1], 4);
    at += 5 + fieldBytes;
  }
  EXPECT_EQ(count, codes.size());
  return codes;
}
bool contains(const std::vector<int>& codes, int code) {
  return std::find(codes.begin(), codes.end(), code) != codes.end();
}
bool contains(const Bytes& reply, const Bytes& part) {
  return std::search(reply.begin(), reply.end(), part.begin(), part.end()) != reply.end();
}
Bytes handle(Adapter& adapter, const Bytes& batch) {
  return adapter.handleBatch(batch.data(), batch.size(), 4);
}

TEST(SimulatorAdapter, AnswersAnEmptyBatchWithAnEmptyReply) {
  Adapter adapter;
  const Bytes batch = fromHex("5a5c800000000000");
  EXPECT_EQ(handle(adapter, batch), Bytes(8, 0));
}

TEST(SimulatorAdapter, SendsARequestToAnEndpointInTheDocumentedLayout) {
  Adapter adapter;
  Bytes batch = instanceStartBatch();
  const Bytes requestFields =
      fromHex("0300 c4913a5d 01 00000000 640ad2557c3bf091 0040ce43 da05940000000000 00003041 0000 e02e0000");
  appendRecord(batch, 7, requestFields);
  const Bytes reply = handle(adapter, batch);
  const Bytes expectedSend = fromHex("41 14000000 0300 c4913a5d da05940000000000 0a124a07 431f");
  EXPECT_TRUE(contains(reply, expectedSend));
  recordCodes(reply);
  Bytes laterBatch = emptyBatch(8500000);
  appendRecord(laterBatch, 1, fromHex("0300 c4913a5d 00 0a124a07 431f 0000 44480000 01 8e630000 00"));
  appendRecord(laterBatch, 2, fromHex("0300 c4913a5d 00 0a124a07 431f 22240000"));
  appendRecord(laterBatch, 4, fromHex("0300 02000000 0400 68692037"));
  appendRecord(laterBatch, 6, fromHex("0300 0a124a07 431f 78050000 0000 02 2b87c640 00000000"));
  appendRecord(laterBatch, 8, fromHex("0300 192b6f0e"));
  appendRecord(laterBatch, 9, fromHex("0300 4d00000000000000"));
  appendRecord(laterBatch, 200, fromHex("0102"));  // a record of a later version
  appendRecord(laterBatch, 11, fromHex("0300"));
  appendRecord(laterBatch, 9, fromHex("0300 4d00000000000000"));  // for an instance that has been stopped
  recordCodes(handle(adapter, laterBatch));
}

TEST(SimulatorAdapter, BroadcastsAndReceivesGossipInTheSameLayout) {
  const std::string settings = std::string(kSettings) + "allowed.peers=true\n";
  Adapter adapter;
  Bytes batch = instanceStartBatch(settings);
  // The load report: position 7 s after the epoch, and the endpoint is a replica.
  appendRecord(batch, 6, fromHex("0300 0a124a07 431f 78050000 0000 02 0000e040 00000000"));
  const Bytes reply = handle(adapter, batch);
  const Bytes broadcast = fromHex("48 12000000 0300 ffff 0c00 0a124a07 431f 571b0000 00 00");
  EXPECT_TRUE(contains(reply, broadcast));
  Adapter other;
  Bytes received = instanceStartBatch(settings);
  appendRecord(received, 4, fromHex("0300 02000000 0c00 0a124a07 431f 571b0000 01 00"));
  appendRecord(received, 4, fromHex("0300 02000000 0300 0a124a"));
  appendRecord(
      received, 7,
      fromHex("0300 c4913a5d 05 00000000 640ad2557c3bf091 00000000 da05940000000000 00003041 0100 e02e0000"));
  const std::vector<int> codes = recordCodes(handle(other, received));
  EXPECT_TRUE(contains(codes, 65)) << "the write is sent to the primary named by the gossip";
}
TEST(SimulatorAdapter, RejectsRecordsTruncatedAtAnyByte) {
  const std::vector<std::pair<int, Bytes>> records{
      {3, instanceStartedFields(kSettings)},
      {5, fromHex("00000000 01000000 0a124a07 431f 0000 0000 0b00 01 0000803f 0000803f 0000000000000000")},
      {10, fromHex("0300 02 2900000000000000 00000000")},
      {7, fromHex(
              "0300 c4913a5d 01 00000000 640ad2557c3bf091 0040ce43 da05940000000000 00003041 0000 e02e0000")},
      {1, fromHex("0300 c4913a5d 00 0a124a07 431f 0000 44480000 01 8e630000 01 00000000")},
      {6, fromHex("0300 0a124a07 431f 78050000 0000 02 2b87c640 00000000")},
      {4, fromHex("0300 02000000 0c00 0a124a07 431f 571b0000 01 00")},
      {8, fromHex("0300 192b6f0e")},
      {9, fromHex("0300 4d00000000000000")},
      {11, fromHex("0300")}};
  for (const auto& [code, fields] : records) {
    for (std::size_t n = 0; n < fields.size(); ++n) {
      Adapter adapter;
      handle(adapter, instanceStartBatch());
      Bytes batch = emptyBatch();
      appendRecord(batch, static_cast<std::uint8_t>(code),
                   Bytes(fields.begin(), fields.begin() + static_cast<long>(n)));
      EXPECT_THROW(handle(adapter, batch), MalformedFrame) << code << " truncated at " << n;
    }
  }
  const Bytes complete = instanceStartBatch();
  // Truncates the batch itself, which is valid if it ends between two records.
  for (std::size_t n = 0; n < complete.size(); ++n) {
    Adapter adapter;
    const Bytes part(complete.begin(), complete.begin() + static_cast<long>(n));
    try {
      handle(adapter, part);
    } catch (const MalformedFrame& e) {
      EXPECT_NE(std::string(e.what()).find("at byte"), std::string::npos);
    }
  }
}

TEST(SimulatorAdapter, StartsANewReplyAfterAMalformedBatch) {
  Adapter adapter;
  Bytes batch = instanceStartBatch();
  appendRecord(batch, 8, {});
  EXPECT_THROW(handle(adapter, batch), MalformedFrame);
  EXPECT_EQ(handle(adapter, emptyBatch()), Bytes(8, 0));
}

// The note of an outcome is 4 x the position in ms after the epoch, plus 1 from a primary or 2 from a
// replica.
TEST(SimulatorAdapter, DecodesTheNoteOfAnOutcomeToRoleAndPosition) {
  const TimePoint epoch(std::chrono::seconds(100));
  const auto outcomeWith = [&](std::uint32_t note) {
    Bytes fields = fromHex("c4913a5d 00 0a124a07 431f 0000 44480000 01");
    append(fields, note);
    append(fields, std::uint8_t{0});  // no load report
    FrameReader record(fields.data(), fields.size(), 0);
    return decodeAttemptOutcome(record, epoch);
  };
  const auto after = [&](std::int64_t ms) {
    return std::optional<TimePoint>(epoch + std::chrono::milliseconds(ms));
  };

  EXPECT_EQ(outcomeWith(4 * 6371 + 1).role, Role::Primary);
  EXPECT_EQ(outcomeWith(4 * 6371 + 1).position, after(6371));
  EXPECT_EQ(outcomeWith(4 * 6371 + 2).role, Role::Replica);
  EXPECT_EQ(outcomeWith(4 * 6371 + 2).position, after(6371));
  EXPECT_EQ(outcomeWith(4 * 6371).role, Role::Unknown);
  EXPECT_EQ(outcomeWith(4 * 6371 + 3).role, Role::Unknown) << "a role of a later version";
  EXPECT_EQ(outcomeWith(4 * 6371 + 3).position, after(6371));
  EXPECT_EQ(outcomeWith(1).role, Role::Primary);
  EXPECT_EQ(outcomeWith(1).position, std::nullopt) << "no position";
  EXPECT_EQ(outcomeWith(0).role, Role::Unknown);
  EXPECT_EQ(outcomeWith(0).position, std::nullopt);
  EXPECT_EQ(outcomeWith(0xffffffff).position, after(0x3fffffff))
      << "the latest position that a note can contain";
}

TEST(SimulatorFrameWriter, TruncatesLongText) {
  FrameWriter writer;
  writer.beginRecord(ActionCode::Log, 3);
  writer.putText(std::string(FrameWriter::kMaxTextBytes + 1, 'x'));
  const Bytes reply = writer.finish();
  EXPECT_EQ(recordCodes(reply), std::vector<int>{73});
  EXPECT_EQ(Bytes(reply.begin() + 8, reply.begin() + 17), fromHex("49 64ea0000 0300 60ea"));
  EXPECT_EQ(reply.size(), 17 + FrameWriter::kMaxTextBytes);
}

TEST(SimulatorAdapter, ReportsInvalidSettingsWithKeyAndValue) {
  const auto failureWith = [](std::string settings, const std::string& from, const std::string& to) {
    settings.replace(settings.find(from), from.size(), to);
    Adapter adapter;
    const Bytes reply = handle(adapter, instanceStartBatch(settings));
    EXPECT_EQ(recordCodes(reply), std::vector<int>{74});
    return std::string(reply.begin() + 17, reply.end());
  };
  EXPECT_NE(failureWith(kSettings, "balancers=3\n", "").find("balancers is missing"), std::string::npos);
  EXPECT_NE(failureWith(kSettings, "balancers=3", "balancers=few").find("'few'"), std::string::npos);
  EXPECT_NE(failureWith(kSettings, "checks=silent", "checks=maybe").find("specifics.checks"),
            std::string::npos);
  EXPECT_NE(failureWith(kSettings, "any,write", "any").find("specifics.consistency"), std::string::npos);
  EXPECT_NE(failureWith(kSettings, "attemptsCap=8", "attemptsCap=0").find("'0'"), std::string::npos);
  EXPECT_NE(failureWith(kSettings, "startCapacity=0.26", "startCapacity=nan").find("'nan'"),
            std::string::npos);
}

// Runs the host's main loop on `input`. Returns its exit status and appends what it wrote to `output`.
int runOn(const Bytes& input, Bytes* output = nullptr) {
  int in[2];
  int out[2];
  EXPECT_EQ(pipe(in), 0);
  EXPECT_EQ(pipe(out), 0);
  EXPECT_EQ(write(in[1], input.data(), input.size()), static_cast<ssize_t>(input.size()));
  close(in[1]);
  const int status = run(in[0], out[1]);
  close(in[0]);
  close(out[1]);
  std::uint8_t buffer[4096];
  ssize_t n = read(out[0], buffer, sizeof buffer);
  while (n > 0) {
    if (output) output->insert(output->end(), buffer, buffer + n);
    n = read(out[0], buffer, sizeof buffer);
  }
  close(out[0]);
  return status;
}
TEST(SimulatorHost, AcceptsTheEndOfInputOnlyBetweenFrames) {
  const Bytes frame = fromHex("08000000 5a5c800000000000");
  EXPECT_EQ(runOn({}), 0);
  Bytes reply;
  EXPECT_EQ(runOn(frame, &reply), 0);
  EXPECT_EQ(reply, Bytes(8, 0));
  for (std::size_t n = 1; n < frame.size(); ++n)
    EXPECT_EQ(runOn(Bytes(frame.begin(), frame.begin() + static_cast<long>(n))), 1);
  EXPECT_EQ(runOn(fromHex("03000000 000000")), 1);
  EXPECT_EQ(runOn(fromHex("ffffffff 000000")), 1);
}

TEST(SimulatorAdapter, RejectsUnknownClassesAndMalformedGroups) {
  Adapter adapter;
  Bytes batch = instanceStartBatch();
  appendRecord(
      batch, 7,
      fromHex("0300 c4913a5d 01 00000000 0000000000000000 00000000 da05940000000000 00003041 6300 00000000"));
  EXPECT_TRUE(contains(recordCodes(handle(adapter, batch)), 66));
  Bytes malformed = emptyBatch();
  appendRecord(
      malformed, 7,
      fromHex("0300 c5913a5d 01 00000000 0000000000000000 00000000 da05940000000000 0000c07f 0000 00000000"));
  EXPECT_THROW(handle(adapter, malformed), MalformedFrame);
}

}  // namespace
}  // namespace stonebay::simulator
