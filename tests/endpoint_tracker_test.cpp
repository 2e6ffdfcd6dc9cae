// The endpoint tracker: immediate withdrawals, inferred start times, flap damping, one instance per address.
#include "discovery/endpoint_tracker.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <pcg_random.hpp>

namespace stonebay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = EndpointTracker::Time;

Instance makeInstance(const std::string& name, int port, std::int64_t startedMs = 0) {
  Instance instance;
  instance.name = name;
  instance.address = *Address::parse("127.0.0.1:" + std::to_string(port));
  instance.group = 3;
  instance.startedMs = startedMs;
  return instance;
}

// Takes all updates that are due and formats them as "s-1 s-2! s-3~"; "!" marks removed and "~" draining
// instances.
std::string takeAll(EndpointTracker& tracker, Time now) {
  std::string all;
  while (const auto list = tracker.takeUpdate(now))
    for (const Instance& instance : list->instances)
      all += (all.empty() ? "" : " ") + instance.name +
             (instance.state == Lifecycle::Removed    ? "!"
              : instance.state == Lifecycle::Draining ? "~"
                                                      : "");
  return all;
}

const Time kStart = seconds(1000000);

TEST(EndpointTracker, PublishesTheCompleteListThenChanges) {
  EndpointTracker tracker;
  tracker.onSnapshot(kStart, {makeInstance("s-1", 1), makeInstance("s-2", 2)});
  const auto initial = tracker.takeUpdate(kStart);
  ASSERT_TRUE(initial);
  EXPECT_TRUE(initial->isComplete);
  EXPECT_EQ(initial->instances.size(), 2u);
  EXPECT_EQ(initial->instances[0].startedMs, 0);  // instances of the initial list started long ago
  EXPECT_FALSE(tracker.takeUpdate(kStart));
  tracker.onSnapshot(kStart + seconds(1), {makeInstance("s-1", 1), makeInstance("s-2", 2)});
  EXPECT_FALSE(tracker.takeUpdate(kStart + seconds(1)));  // nothing has changed
  Instance draining = makeInstance("s-2", 2);
  draining.state = Lifecycle::Draining;
  tracker.onSnapshot(kStart + seconds(2), {draining, makeInstance("s-3", 3)});
  const auto change = tracker.takeUpdate(kStart + seconds(2));
  ASSERT_TRUE(change);
  EXPECT_FALSE(change->isComplete);
  EXPECT_GT(change->generation, initial->generation);
  EXPECT_EQ(change->instances.size(), 3u);
}

TEST(EndpointTracker, WithdrawsAndRepublishesAllInstancesOfAnEmptiedZone) {
  EndpointTracker tracker;
  tracker.onSnapshot(kStart, {makeInstance("s-1", 1), makeInstance("s-2", 2)});
  takeAll(tracker, kStart);
  tracker.onSnapshot(kStart + seconds(1), {});
  EXPECT_EQ(takeAll(tracker, kStart + seconds(1)), "s-1! s-2!");
  tracker.onSnapshot(kStart + seconds(9), {makeInstance("s-1", 1), makeInstance("s-2", 2)});
  EXPECT_EQ(takeAll(tracker, kStart + seconds(9)), "s-1 s-2");
}

// An instance that is new or returns is assumed to have started at that moment, unless the source gives a
// start time.
TEST(EndpointTracker, InfersTheStartOfNewAndReturningInstances) {
  EndpointTracker tracker;
  tracker.onSnapshot(kStart, {makeInstance("s-1", 1), makeInstance("s-2", 2, 77)});
  takeAll(tracker, kStart);
  tracker.onSnapshot(kStart + seconds(1), {});
  takeAll(tracker, kStart + seconds(1));
  const Time returnedAt = kStart + seconds(5);
  tracker.onSnapshot(returnedAt,
                     {makeInstance("s-1", 1), makeInstance("s-2", 2, 77), makeInstance("s-3", 3)});
  const auto list = tracker.takeUpdate(returnedAt);
  ASSERT_TRUE(list);
  for (const Instance& instance : list->instances)
    EXPECT_EQ(instance.startedMs, instance.name == "s-2" ? 77 : returnedAt.count() / 1000) << instance.name;
  // A start time in the future is replaced by the current time.
  tracker.onSnapshot(returnedAt + seconds(1),
                     {makeInstance("s-1", 1, (returnedAt + seconds(900)).count() / 1000)});
  const auto future = tracker.takeUpdate(returnedAt + seconds(1));
  ASSERT_TRUE(future);
  for (const Instance& instance : future->instances)
    if (instance.name == "s-1") {
      EXPECT_EQ(instance.startedMs, (returnedAt + seconds(1)).count() / 1000);
    }
}

TEST(EndpointTracker, SuppressesAFlappingInstanceButNeverDelaysItsWithdrawal) {
  EndpointTracker tracker;
  tracker.onSnapshot(kStart, {makeInstance("s-1", 1), makeInstance("s-2", 2)});
  takeAll(tracker, kStart);
  Time now = kStart;
  int published = 0;
  int withdrawn = 0;
  for (int k = 0; k < 100; ++k) {
    now += milliseconds(200);
    tracker.onSnapshot(now, {makeInstance("s-2", 2)});
    withdrawn += takeAll(tracker, now) == "s-1!";
    now += milliseconds(200);
    tracker.onSnapshot(now, {makeInstance("s-1", 1), makeInstance("s-2", 2)});
    published += takeAll(tracker, now) == "s-1";
  }
  EXPECT_EQ(published, 1);  // the first return is not suppressed
  EXPECT_EQ(withdrawn, 2);  // once for each time it was published
  // Once it stays present, it is published at the deadline, without a further event, within the maximum
  // suppression time.
  ASSERT_TRUE(tracker.nextDeadline());
  EXPECT_LE(*tracker.nextDeadline(), now + seconds(60));
  EXPECT_GT(*tracker.nextDeadline(), now + seconds(10));
  EXPECT_EQ(takeAll(tracker, *tracker.nextDeadline() - milliseconds(1)), "");
  EXPECT_EQ(takeAll(tracker, *tracker.nextDeadline()), "s-1");
}

TEST(EndpointTracker, RenamedServerKeepsItsStartTime) {
  EndpointTracker tracker;
  tracker.onSnapshot(kStart, {makeInstance("s-1", 1), makeInstance("s-2", 2)});
  takeAll(tracker, kStart);
  tracker.onSnapshot(kStart + seconds(1), {makeInstance("new-1", 1), makeInstance("s-2", 2)});
  const auto list = tracker.takeUpdate(kStart + seconds(1));
  ASSERT_TRUE(list);
  ASSERT_EQ(list->instances.size(), 2u);
  for (const Instance& instance : list->instances)
    EXPECT_TRUE(instance.name == "new-1" ? instance.startedMs == 0
                                         : instance.name == "s-1" && instance.state == Lifecycle::Removed)
        << instance.name;
}

TEST(EndpointTracker, PublishedInstanceKeepsAnAddressThatAnotherAlsoClaims) {
  EndpointTracker tracker;
  tracker.onSnapshot(kStart, {makeInstance("s-5", 1)});
  takeAll(tracker, kStart);
  tracker.onSnapshot(kStart + seconds(1), {makeInstance("s-1", 1), makeInstance("s-5", 1)});
  EXPECT_EQ(takeAll(tracker, kStart + seconds(1)), "");
  EXPECT_EQ(tracker.view(kStart + seconds(1)).rows[0].exclusion, ExclusionReason::DuplicateAddress);
  EXPECT_STREQ(describe(ExclusionReason::DuplicateAddress), "another has its address");
  tracker.onSnapshot(kStart + seconds(2), {makeInstance("s-1", 1)});
  EXPECT_EQ(takeAll(tracker, kStart + seconds(2)), "s-5! s-1");
}

// Guards against wrong accounting: if both servers had the same id, requests in flight to the old server
// would count for the new one.
TEST(EndpointTracker, NameWithANewAddressIsPublishedAsAnotherServer) {
  EndpointTracker tracker;
  tracker.onSnapshot(kStart, {makeInstance("s-1", 1)});
  takeAll(tracker, kStart);
  tracker.onSnapshot(kStart + seconds(1), {makeInstance("s-1", 2)});
  const auto list = tracker.takeUpdate(kStart + seconds(1));
  ASSERT_TRUE(list);
  ASSERT_EQ(list->instances.size(), 2u);
  EXPECT_EQ(list->instances[0].state, Lifecycle::Removed);
  EXPECT_EQ(list->instances[0].name, "s-1");
  EXPECT_EQ(list->instances[1].name, "s-1#2");
  EXPECT_EQ(list->instances[1].startedMs, (kStart + seconds(1)).count() / 1000);
  tracker.onSnapshot(kStart + seconds(2), {});
  EXPECT_EQ(takeAll(tracker, kStart + seconds(2)), "s-1#2!");
}

TEST(EndpointTracker, FailuresWithdrawNothingUntilTheListExpires) {
  EndpointTrackerPolicy policy;
  policy.maxListAge = seconds(30);
  EndpointTracker tracker(policy);
  tracker.onSnapshot(kStart, {makeInstance("s-1", 1)});
  takeAll(tracker, kStart);
  tracker.onFailure(kStart + seconds(1), "silence");
  tracker.onFailure(kStart + seconds(20), "SERVFAIL");
  EXPECT_EQ(takeAll(tracker, kStart + seconds(29)), "");
  const auto view = tracker.view(kStart + seconds(29));
  EXPECT_EQ(view.failureReason, "SERVFAIL");
  EXPECT_EQ(view.failingSince, kStart + seconds(1));
  EXPECT_EQ(view.lastUpdateAt, kStart);
  EXPECT_EQ(tracker.nextDeadline(), kStart + seconds(30));
  EXPECT_EQ(takeAll(tracker, kStart + seconds(30)), "s-1!");
  EXPECT_EQ(tracker.nextDeadline(), std::nullopt);  // the list expires only once
  tracker.onSnapshot(kStart + seconds(90), {makeInstance("s-1", 1)});
  EXPECT_EQ(takeAll(tracker, kStart + seconds(90)), "s-1");
}

TEST(EndpointTracker, ForgetsNamesThatWereWithdrawnLongAgo) {
  EndpointTracker tracker;
  Time now = kStart;
  for (int k = 0; k < 5000; ++k) {
    now += seconds(1);
    tracker.onSnapshot(now, {makeInstance("s-" + std::to_string(k), 1 + k % 60000)});
    takeAll(tracker, now);
  }
  EXPECT_LT(tracker.view(now).rows.size(), 200u);
}

TEST(EndpointTracker, PassesOnTheListsOfASourceWithGenerations) {
  EndpointTracker tracker;
  EndpointListUpdate complete{41, true, {makeInstance("s-1", 1), makeInstance("s-2", 2)}};
  tracker.onChange(kStart, complete);
  EndpointListUpdate change{42, false, {makeInstance("s-3", 3)}};
  change.instances.push_back(makeInstance("s-1", 1));
  change.instances.back().state = Lifecycle::Removed;
  tracker.onChange(kStart, change);
  tracker.onChange(kStart, {43, false, {}});  // without changes, but it confirms the list
  EXPECT_EQ(tracker.generation(), 43u);
  EXPECT_EQ(tracker.takeUpdate(kStart)->generation, 41u);
  EXPECT_EQ(tracker.takeUpdate(kStart)->instances.size(), 2u);
  EXPECT_EQ(tracker.takeUpdate(kStart)->generation, 43u);
  EXPECT_FALSE(tracker.takeUpdate(kStart));
  EXPECT_EQ(tracker.view(kStart).rows.size(), 2u);
}

TEST(EndpointTracker, PublishesOnlyTheChangesOfACompleteList) {
  EndpointTracker tracker;
  tracker.assumePublished({makeInstance("s-1", 1), makeInstance("s-2", 2), makeInstance("s-3", 3)});
  tracker.onChange(kStart, {41, true, {makeInstance("s-1", 1), makeInstance("s-2", 9)}});
  const auto update = tracker.takeUpdate(kStart);
  ASSERT_TRUE(update);
  ASSERT_EQ(update->instances.size(), 2u);
  EXPECT_EQ(update->instances[0].name, "s-3");
  EXPECT_EQ(update->instances[0].state, Lifecycle::Removed);
  EXPECT_EQ(update->instances[1].name, "s-2");
  EXPECT_FALSE(update->isComplete);
  EXPECT_FALSE(tracker.hasMoreUpdates());
}

TEST(EndpointTracker, SplitsLongListsIntoPartsWithWithdrawalsFirst) {
  EndpointTracker tracker;
  EndpointListUpdate list{41, true, {}};
  for (int k = 0; k < 1000; ++k) list.instances.push_back(makeInstance("s-" + std::to_string(k), 1 + k));
  list.instances.back().state = Lifecycle::Draining;
  tracker.onChange(kStart, list);
  std::set<std::string> names;
  for (int part = 0; tracker.hasMoreUpdates(); ++part) {
    const auto update = tracker.takeUpdate(kStart);
    ASSERT_TRUE(update);
    EXPECT_LE(update->instances.size(), 100u);
    EXPECT_EQ(update->generation, 41u);
    if (part == 0) {
      EXPECT_EQ(update->instances[0].name, "s-999");
    }
    for (const Instance& instance : update->instances) names.insert(instance.name);
  }
  EXPECT_EQ(names.size(), 1000u);
}

TEST(EndpointTracker, PartsOfRandomListsAddUpToTheListOfTheSource) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    pcg32 random(seed);
    EndpointTracker tracker;
    std::map<std::string, Instance> source;
    std::map<std::string, Instance> published;
    for (std::uint64_t generation = 1; generation <= 20; ++generation) {
      EndpointListUpdate change{generation, false, {}};
      for (int k = 0; k < 250; ++k) {
        if (random(4) > 0) continue;
        Instance instance = makeInstance("s-" + std::to_string(k), 1 + static_cast<int>(random(3000)));
        instance.state = static_cast<Lifecycle>(random(3));
        if (instance.state == Lifecycle::Removed)
          source.erase(instance.name);
        else
          source[instance.name] = instance;
        change.instances.push_back(instance);
      }
      if (random(3) == 0) {
        change = {generation, true, {}};
        for (const auto& [name, instance] : source) change.instances.push_back(instance);
      }
      tracker.onChange(kStart, change);
      if (random(2) == 0) continue;  // the next list arrives before the parts of this one are taken
      while (const auto update = tracker.takeUpdate(kStart))
        for (const Instance& instance : update->instances) {
          if (instance.state == Lifecycle::Removed)
            published.erase(instance.name);
          else
            published[instance.name] = instance;
        }
      ASSERT_EQ(published, source) << "seed " << seed << ", generation " << generation;
    }
  }
}

// For random snapshots and failures, the updates add up to a list of instances that are all in the snapshot,
// each with a unique address.
TEST(EndpointTracker, UpdatesOfRandomSnapshotsAddUpToAValidList) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    pcg32 random(seed);
    EndpointTracker tracker;
    std::map<std::string, Instance> published;
    Time now = kStart;
    for (int step = 0; step < 120; ++step) {
      now += milliseconds(random(5000));
      std::vector<Instance> snapshot;
      for (int k = 0; k < 8; ++k)
        if (random(3) > 0)
          snapshot.push_back(makeInstance("s-" + std::to_string(k), 1 + static_cast<int>(random(10))));
      const bool fails = random(10) == 0;
      if (fails)
        tracker.onFailure(now, "x");
      else
        tracker.onSnapshot(now, snapshot, random(20) == 0);
      while (const auto list = tracker.takeUpdate(now)) {
        if (list->isComplete) published.clear();
        for (const Instance& instance : list->instances) {
          if (instance.state == Lifecycle::Removed)
            ASSERT_EQ(published.erase(instance.name), 1u) << "seed " << seed;
          else
            published[instance.name] = instance;
        }
      }
      if (fails) continue;
      for (const auto& [name, instance] : published) {
        const std::string listedName = name.substr(0, name.find('#'));
        const bool listed =
            std::any_of(snapshot.begin(), snapshot.end(), [&, &server = instance](const Instance& candidate) {
              return candidate.name == listedName && candidate.address == server.address;
            });
        ASSERT_TRUE(listed) << "seed " << seed << " step " << step << ": " << name;
        for (const auto& [other, otherInstance] : published)
          ASSERT_TRUE(name == other || instance.address != otherInstance.address)
              << "seed " << seed << ": " << name << ", " << other;
      }
    }
  }
}

}  // namespace
}  // namespace stonebay
