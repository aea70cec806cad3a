// Tests of how an evacuation of a failure domain reaches all nodes of a fleet
// when the store, watches or nodes have trouble.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "peridotmill_gateway/tests/replica_node.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// Platforms allow five seconds. Responses of the store may take one of them.
constexpr Duration kCalmLimit = 1s;
constexpr Duration kLimit = 3s;

const std::string kEntry =
    std::string(ReplicaNode::kEvacuationKeyPrefix) + "d1";

// A fleet with one store and three failure domains of five nodes each.
class EvacuationFleetTest : public testing::Test {
 protected:
  EvacuationFleetTest()
      : timers_(clock_), store_(timers_), network_(timers_, clock_) {
    store_.Write("config", "c100");
    for (int i = 0; i < 15; ++i) {
      AddNode("n" + std::to_string(i), "d" + std::to_string(i % 3));
    }
    timers_.Advance(15s);
  }

  ReplicaNode& AddNode(const std::string& name, const std::string& domain) {
    nodes_.push_back(std::make_unique<ReplicaNode>(name, domain, 0.5, clock_,
                                                   timers_, store_, network_));
    nodes_.back()->Start();
    return *nodes_.back();
  }
  ReplicaNode& Watcher(const std::string& domain) {
    return **std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return node->replica.is_watching() &&
             node->record.failure_domain == FailureDomainId(domain);
    });
  }
  // Returns the time until all nodes but `excepted` believe that these domains
  // are evacuated; stops after 30 s.
  Duration MeasureTimeUntil(const std::set<std::string>& domains,
                            const std::set<std::string>& excepted = {}) {
    const TimePoint start = clock_.Now();
    while (clock_.Now() - start < 30s &&
           !std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
             return excepted.contains(node->id.value()) ||
                    node->evacuated == domains;
           })) {
      timers_.Advance(10ms);
    }
    return clock_.Now() - start;
  }

  ManualClock clock_;
  ManualTimerQueue timers_;
  MemoryStore store_;
  PeerNetwork network_;
  std::vector<std::unique_ptr<ReplicaNode>> nodes_;
};

// Guards against an evacuation that waits for anything while all is calm.
TEST_F(EvacuationFleetTest, ReachesAllNodesAndEnds) {
  store_.Write(kEntry, "");
  EXPECT_LE(MeasureTimeUntil({"d1"}), kCalmLimit);
  store_.Write(std::string(ReplicaNode::kEvacuationKeyPrefix) + "d2", "");
  EXPECT_LE(MeasureTimeUntil({"d1", "d2"}), kCalmLimit);
  store_.Remove(kEntry);
  EXPECT_LE(MeasureTimeUntil({"d2"}), kCalmLimit);
}

// Guards against nodes that learn late while the store is slow.
TEST_F(EvacuationFleetTest, ReachesAllNodesWhileTheStoreIsSlow) {
  store_.SetResponseTime(800ms);
  timers_.Advance(3s);
  store_.Write(kEntry, "");
  EXPECT_LE(MeasureTimeUntil({"d1"}), kLimit);
}

// Guards against nodes that learn late, or never, while the store serves others
// only, and against two domains that wait for each other's news.
TEST_F(EvacuationFleetTest, ReachesNodesThatAreCutOffFromTheStore) {
  for (const auto& node : nodes_) {
    if (node->record.failure_domain != FailureDomainId("d1")) {
      store_.Disconnect(node->id.value());
    }
  }
  store_.Write(kEntry, "");
  EXPECT_LE(MeasureTimeUntil({"d1"}), kLimit);
}

// Guards against nodes that miss an evacuation with the history of the store,
// or because the open watches tell nothing.
TEST_F(EvacuationFleetTest, ReachesAllNodesAfterLostHistoryAndStalledWatches) {
  store_.StallOpenWatches();
  store_.Write(kEntry, "");
  store_.CompactHistory();
  EXPECT_LE(MeasureTimeUntil({"d1"}), kLimit);
}

// Guards against a node that starts during an evacuation and has the
// configuration without it, also while the store is slow.
TEST_F(EvacuationFleetTest, ANodeThatStartsMeanwhileKnowsItAtOnce) {
  store_.Write(kEntry, "");
  ASSERT_LE(MeasureTimeUntil({"d1"}), kCalmLimit);
  for (const Duration response_time : {4ms, 800ms}) {
    store_.SetResponseTime(response_time);
    const ReplicaNode& node =
        AddNode("new" + std::to_string(nodes_.size()), "d2");
    for (int i = 0; i < 1000 && node.configuration.empty(); ++i) {
      timers_.Advance(1ms);
    }
    ASSERT_FALSE(node.configuration.empty());
    EXPECT_EQ(node.evacuated, std::set<std::string>{"d1"});
  }
}

// Guards against an entry that was removed and comes back with the news of a
// node that was cut off meanwhile.
TEST_F(EvacuationFleetTest, ARemovedEntryDoesNotComeBack) {
  store_.Write(kEntry, "");
  ASSERT_LE(MeasureTimeUntil({"d1"}), kCalmLimit);
  ReplicaNode& cut = Watcher("d0");
  const SnapshotMessage older = {
      .part = ReplicaPart::kConfiguration,
      .revision = cut.replica.state(ReplicaPart::kConfiguration).revision,
      .entries = CopyEntries(cut.replica.state(ReplicaPart::kConfiguration))};
  store_.Disconnect(cut.id.value());
  network_.Isolate(cut.id.value());
  store_.Remove(kEntry);
  EXPECT_LE(MeasureTimeUntil({}, {cut.id.value()}), kLimit);
  EXPECT_TRUE(cut.evacuated.contains("d1"));
  network_.Reconnect(cut.id.value());
  for (const auto& node : nodes_) {
    if (node.get() != &cut) {
      node->replica.ApplyPeerSnapshot(older);
      EXPECT_TRUE(node->evacuated.empty()) << node->id.value();
    }
  }
  EXPECT_LE(MeasureTimeUntil({}), kLimit);
  for (int i = 0; i < 500; ++i) {
    timers_.Advance(10ms);
    for (const auto& node : nodes_) {
      ASSERT_TRUE(node->evacuated.empty()) << node->id.value();
    }
  }
}

// Guards against an evacuation that a snapshot of an earlier revision ends: the
// later pages of the one before were newer than its revision.
TEST_F(EvacuationFleetTest, AnEarlierSnapshotEndsNoEvacuation) {
  ReplicaNode& node = *nodes_[0];
  const int64_t revision =
      node.replica.state(ReplicaPart::kConfiguration).revision;
  SnapshotMessage paged = {.part = ReplicaPart::kConfiguration,
                           .revision = revision + 10};
  paged.entries = {{.key = "config", .value = "c101", .mod_revision = 1},
                   {.key = kEntry, .mod_revision = revision + 12}};
  node.replica.ApplyPeerSnapshot(paged);
  ASSERT_TRUE(node.evacuated.contains("d1"));
  SnapshotMessage earlier = paged;
  earlier.revision = revision + 11;
  earlier.entries.pop_back();
  node.replica.ApplyPeerSnapshot(earlier);
  EXPECT_TRUE(node.evacuated.contains("d1"));
  // A snapshot of a later revision without it does end it.
  earlier.revision = revision + 20;
  node.replica.ApplyPeerSnapshot(earlier);
  EXPECT_FALSE(node.evacuated.contains("d1"));
}

}  // namespace
}  // namespace peridotmill
