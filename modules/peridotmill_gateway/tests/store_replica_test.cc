#include "peridotmill_gateway/replication/store_replica.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <string>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_gateway/peers/node_registration.h"
#include "peridotmill_gateway/replication/prefix_state.h"
#include "peridotmill_gateway/replication/replica_message.h"
#include "peridotmill_gateway/replication/replica_role.h"
#include "peridotmill_gateway/replication/replica_service.h"
#include "peridotmill_gateway/replication/replica_sources.h"
#include "peridotmill_gateway/replication/schema/replica_wire.h"
#include "peridotmill_gateway/store/store_position.h"
#include "peridotmill_gateway/tests/manual_timer_queue.h"
#include "peridotmill_gateway/tests/memory_store.h"
#include "peridotmill_gateway/tests/peer_network.h"
#include "peridotmill_gateway/tests/recording_events.h"
#include "peridotmill_gateway/tests/replica_node.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

StoreEntry Entry(const std::string& key,
                 int64_t revision,
                 const std::string& value = "v") {
  return {.key = key, .value = value, .mod_revision = revision};
}

StoreChange Put(const std::string& key,
                int64_t revision,
                const std::string& value = "v") {
  return {.entry = Entry(key, revision, value)};
}

StoreChange Removal(const std::string& key, int64_t revision) {
  return {.entry = Entry(key, revision), .is_removed = true};
}

// Guards against a return to an earlier state when a snapshot arrives that was
// read before changes that have already been applied.
TEST(PrefixStateTest, IgnoresAnEarlierSnapshot) {
  PrefixState state;
  ASSERT_TRUE(ApplySnapshot(state, 10, {Entry("a", 5)}));
  ASSERT_TRUE(ApplyChanges(state, {10, 12, {Put("a", 12, "new")}}));
  EXPECT_FALSE(ApplySnapshot(state, 11, {Entry("a", 5)}));
  EXPECT_EQ(state.entries.at("a").value, "new");
}

// Guards against lost changes that go unnoticed when later ones are applied.
TEST(PrefixStateTest, RejectsChangesAfterAGap) {
  PrefixState state;
  EXPECT_FALSE(ApplyChanges(state, {10, 12, {Put("a", 12)}}));
  ASSERT_TRUE(ApplySnapshot(state, 10, {}));
  EXPECT_FALSE(ApplyChanges(state, {11, 12, {Put("a", 12)}}));
  EXPECT_EQ(state.revision, 10);
}

// Guards against a change that is applied twice or out of order when two nodes
// forward the same changes.
TEST(PrefixStateTest, AppliesOverlappingChangesOnce) {
  PrefixState state;
  ASSERT_TRUE(ApplySnapshot(state, 10, {Entry("a", 5)}));
  ASSERT_TRUE(ApplyChanges(state, {10, 14, {Removal("a", 11), Put("a", 14)}}));
  const auto again =
      ApplyChanges(state, {10, 12, {Removal("a", 11), Put("b", 12)}});
  ASSERT_TRUE(again);
  EXPECT_TRUE(again->changes.empty());
  EXPECT_TRUE(state.entries.contains("a"));
  EXPECT_EQ(state.revision, 14);
}

// Guards against entries that stay although a later snapshot lacks them.
TEST(PrefixStateTest, ASnapshotRemovesMissingEntries) {
  PrefixState state;
  ASSERT_TRUE(ApplySnapshot(state, 10, {Entry("a", 5), Entry("b", 6)}));
  const auto changes =
      ApplySnapshot(state, 20, {Entry("b", 6), Entry("c", 15)});
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes->changes.size(), 2u);
  EXPECT_EQ(changes->changes[0].entry.key, "c");
  EXPECT_TRUE(changes->changes[1].is_removed);
  EXPECT_EQ(changes->changes[1].entry.key, "a");
}

// Guards against sending everything, or changes with a gap, to a node that
// subscribes again.
TEST(PrefixStateTest, KeepsABoundedHistory) {
  PrefixState state;
  ASSERT_TRUE(ApplySnapshot(state, 10, {}));
  for (int64_t revision = 11; revision <= 1010; ++revision) {
    ASSERT_TRUE(ApplyChanges(
        state, {revision - 1,
                revision,
                {Put("a" + std::to_string(revision % 7), revision)}}));
  }
  EXPECT_LE(state.history.size(), 512u);
  EXPECT_FALSE(ChangesSince(state, 11));
  const auto changes = ChangesSince(state, 1000);
  ASSERT_TRUE(changes);
  EXPECT_EQ(changes->changes.size(), 10u);
  EXPECT_EQ(changes->revision, 1010);
}

// Guards against malformed frames from a node of another version or from a
// faulty node.
TEST(ReplicaMessageTest, RejectsDamagedFrames) {
  SnapshotMessage snapshot = {.part = ReplicaPart::kNodes, .revision = 7};
  snapshot.entries = {Entry("a", 3), Entry("b", 4)};
  ChangesMessage changes = {.part = ReplicaPart::kConfiguration};
  changes.changes = {3, 9, {Put("a", 5), Removal("b", 9)}};
  const std::vector<std::string> frames = {
      EncodeReplicaMessage(snapshot),
      EncodeReplicaMessage(changes),
      EncodeReplicaMessage(SubscribeMessage{{1, 2, 3}}),
      EncodeReplicaMessage(FreshnessMessage{{1, 2, 3}, 20ms}),
      EncodeReplicaMessage(FetchValueMessage{
          {ReplicaPart::kConfiguration, "a", 5}, 3, 100, 200}),
      EncodeReplicaMessage(ValueChunkMessage{
          {ReplicaPart::kConfiguration, "a", 5}, 3, 77, 300, 100, "bytes"})};
  for (const std::string& frame : frames) {
    ASSERT_TRUE(DecodeReplicaMessage(frame));
    for (size_t size = 0; size < frame.size(); ++size) {
      // The result may be either; decoding must not read beyond the frame.
      (void)DecodeReplicaMessage(frame.substr(0, size));
      std::string damaged = frame;
      damaged[size] = static_cast<char>(~damaged[size]);
      (void)DecodeReplicaMessage(damaged);
    }
    EXPECT_FALSE(DecodeReplicaMessage(frame.substr(0, frame.size() / 2)));
  }
  EXPECT_FALSE(DecodeReplicaMessage(""));
  const auto decoded = DecodeReplicaMessage(frames[1]);
  const auto& decoded_changes = std::get<ChangesMessage>(*decoded);
  EXPECT_EQ(decoded_changes.changes.after_revision, 3);
  EXPECT_TRUE(decoded_changes.changes.changes[1].is_removed);
  EXPECT_EQ(decoded_changes.changes.changes[0].entry.mod_revision, 5);
}

// Guards against nodes that take each other's revisions for those of another
// era, and against revisions that older versions can't read.
TEST(ReplicaMessageTest, KeepsTheErasOfRevisions) {
  const int64_t before = MakeStorePosition(3, 900);
  const int64_t after = MakeStorePosition(4, 7);
  ChangesMessage changes = {.part = ReplicaPart::kConfiguration};
  changes.changes = {before, after, {Put("a", after), Removal("b", before)}};
  const auto decoded = DecodeReplicaMessage(EncodeReplicaMessage(changes));
  const PrefixChanges& received = std::get<ChangesMessage>(*decoded).changes;
  EXPECT_EQ(received.after_revision, before);
  EXPECT_EQ(received.revision, after);
  EXPECT_EQ(received.changes[0].entry.mod_revision, after);
  EXPECT_EQ(received.changes[1].entry.mod_revision, before);
  const auto fetch = DecodeReplicaMessage(EncodeReplicaMessage(
      FetchValueMessage{{ReplicaPart::kConfiguration, "a", after}, before}));
  EXPECT_EQ(std::get<FetchValueMessage>(*fetch).version.mod_revision, after);
  EXPECT_EQ(std::get<FetchValueMessage>(*fetch).base_revision, before);
  const std::string frame =
      EncodeReplicaMessage(FreshnessMessage{{before, after, 0}, 20ms});
  const auto freshness = DecodeReplicaMessage(frame);
  EXPECT_EQ(std::get<FreshnessMessage>(*freshness).revisions,
            (ReplicaRevisions{before, after, 0}));
  const auto* const wire =
      replicawire::GetMessage(frame.data())->body_as_Freshness();
  EXPECT_EQ(wire->revisions()->Get(0), 900);
  EXPECT_EQ(wire->revisions()->Get(1), 7);
}

std::string NodeKey(const std::string& node) {
  return kNodeKeyPrefix + node;
}

// Guards against a fleet in which every node watches the store: one node of
// each domain does, and all nodes compute the same ones.
TEST(ReplicaRoleTest, OneNodeOfEachDomainWatches) {
  NodeDirectory directory;
  std::vector<StoreEntry> entries;
  std::map<NodeId, NodeRecord> records;
  for (int domain = 0; domain < 3; ++domain) {
    for (int i = 0; i < 20; ++i) {
      const std::string name =
          "n" + std::to_string(domain) + "-" + std::to_string(i);
      const NodeRecord record = {
          .peer_address = "10.0.0.1:1",
          .failure_domain = FailureDomainId("d" + std::to_string(domain)),
          .processor_share = i % 4 == 0 ? 0.5 : 0.12,
          .replica_address = "10.0.0.1:3"};
      records[NodeId(name)] = record;
      entries.push_back(Entry(NodeKey(name), 1, EncodeNodeRecord(record)));
    }
  }
  directory.Replace(entries, false);
  std::set<NodeId> watchers;
  for (const auto& [node, record] : records) {
    if (ChooseReplicaRole(directory, node, record).is_watcher) {
      watchers.insert(node);
      EXPECT_GT(record.processor_share, 0.4);
    }
  }
  EXPECT_EQ(watchers.size(), 3u);
  for (const auto& [node, record] : records) {
    const ReplicaRole role = ChooseReplicaRole(directory, node, record);
    ASSERT_GE(role.sources.size(), 3u);
    // The first two sources watch, and the second one is in another domain.
    EXPECT_TRUE(watchers.contains(role.sources[0]));
    EXPECT_TRUE(watchers.contains(role.sources[1]));
    EXPECT_EQ(records[role.sources[0]].failure_domain == record.failure_domain,
              !role.is_watcher);
    EXPECT_NE(records[role.sources[1]].failure_domain, record.failure_domain);
    EXPECT_EQ(std::count(role.sources.begin(), role.sources.end(), node), 0);
  }
}

// A fleet with one store and three failure domains of eight nodes each.
class ReplicaFleetTest : public testing::Test {
 protected:
  static constexpr int kDomains = 3;
  static constexpr int kNodesPerDomain = 8;

  ReplicaFleetTest()
      : timers_(clock_), store_(timers_), network_(timers_, clock_) {
    store_.Write("config", "c100");
    store_.Write("endpoints/a", "1");
    store_.Write("endpoints/b", "1");
    for (int domain = 0; domain < kDomains; ++domain) {
      for (int i = 0; i < kNodesPerDomain; ++i) {
        nodes_.push_back(std::make_unique<ReplicaNode>(
            "n" + std::to_string(domain) + "-" + std::to_string(i),
            "d" + std::to_string(domain), i < 4 ? 0.5 : 0.12, clock_, timers_,
            store_, network_));
      }
    }
    for (const auto& node : nodes_) {
      node->Start();
    }
    timers_.Advance(15s);
  }

  std::vector<ReplicaNode*> Watchers(const std::string& domain = "") {
    std::vector<ReplicaNode*> watchers;
    for (const auto& node : nodes_) {
      if (node->replica.is_watching() &&
          (domain.empty() ||
           node->record.failure_domain == FailureDomainId(domain))) {
        watchers.push_back(node.get());
      }
    }
    return watchers;
  }

  // Writes a new configuration and a new endpoint, and returns the time until
  // all nodes but `excepted` have both; stops after 30 s.
  Duration MeasurePropagationTime(const std::set<std::string>& excepted = {}) {
    ++revision_;
    const std::string configuration = "c" + std::to_string(revision_);
    const std::string endpoint = "endpoints/x" + std::to_string(revision_);
    store_.Write("config", configuration);
    store_.Write(endpoint, "1");
    const TimePoint start = clock_.Now();
    const auto is_up_to_date = [&](const auto& node) {
      return excepted.contains(node->id.value()) ||
             (node->configuration == configuration &&
              node->endpoints.contains(endpoint));
    };
    while (!std::all_of(nodes_.begin(), nodes_.end(), is_up_to_date) &&
           clock_.Now() - start < 30s) {
      timers_.Advance(10ms);
    }
    return clock_.Now() - start;
  }

  int CountReverts() const {
    int reverts = 0;
    for (const auto& node : nodes_) {
      reverts += node->reverts;
    }
    return reverts;
  }

  ManualClock clock_;
  ManualTimerQueue timers_;
  MemoryStore store_;
  PeerNetwork network_;
  std::vector<std::unique_ptr<ReplicaNode>> nodes_;
  int revision_ = 100;
};

// Limits on the time until a change has reached all nodes, without and with a
// fault. The tightest limit for any change is 2 s.
constexpr Duration kPropagationLimit = 1s;
constexpr Duration kFaultPropagationLimit = 2s;

// Guards against store calls that grow with the number of nodes times the
// number of changes.
TEST_F(ReplicaFleetTest, FewNodesWatchAndAllReceiveChanges) {
  EXPECT_EQ(Watchers().size(), 3u);
  const int calls_before = store_.read_and_watch_calls();
  for (int i = 0; i < 20; ++i) {
    EXPECT_LE(MeasurePropagationTime(), kPropagationLimit);
  }
  EXPECT_EQ(CountReverts(), 0);
  // If every node watched, each change would cost 2 x 24 calls.
  EXPECT_LT(store_.read_and_watch_calls() - calls_before, 20 * 2 * 24 / 2);
}

// Guards against late changes while watches are stalled: the store leaves them
// open without a response although there are changes.
TEST_F(ReplicaFleetTest, StalledWatchesDelayNoChange) {
  store_.StallOpenWatches();
  EXPECT_LE(MeasurePropagationTime(), kFaultPropagationLimit);
}

// Guards against a domain that receives no changes after its watcher was killed
// or paused.
TEST_F(ReplicaFleetTest, ALostWatcherDelaysNoChange) {
  const std::string lost = Watchers("d0")[0]->id.value();
  network_.Isolate(lost);
  store_.Disconnect(lost);
  EXPECT_LE(MeasurePropagationTime({lost}), kFaultPropagationLimit);
}

// Guards against nodes that receive no changes because all watchers, but not
// they themselves, are disconnected from the store.
TEST_F(ReplicaFleetTest, OtherNodesReplaceDisconnectedWatchers) {
  for (ReplicaNode* const watcher : Watchers()) {
    store_.Disconnect(watcher->id.value());
  }
  // The watchers receive the changes from other nodes as well.
  EXPECT_LE(MeasurePropagationTime(), 3s);
  EXPECT_LE(MeasurePropagationTime(), kFaultPropagationLimit);
}

// Guards against nodes that receive no changes after both of their sources have
// failed at once.
TEST_F(ReplicaFleetTest, OtherNodesReplaceLostWatchers) {
  std::set<std::string> lost;
  for (ReplicaNode* const watcher : Watchers()) {
    lost.insert(watcher->id.value());
    network_.Isolate(watcher->id.value());
    store_.Disconnect(watcher->id.value());
  }
  EXPECT_LE(MeasurePropagationTime(lost), 3s);
  EXPECT_LE(MeasurePropagationTime(lost), kFaultPropagationLimit);
}

// Guards against a domain that is disconnected from the store and receives no
// newer configuration, although it reaches nodes that have it.
TEST_F(ReplicaFleetTest, ADisconnectedDomainReceivesChangesFromAnother) {
  for (const auto& node : nodes_) {
    if (node->record.failure_domain == FailureDomainId("d2")) {
      store_.Disconnect(node->id.value());
    }
  }
  EXPECT_LE(MeasurePropagationTime(), kFaultPropagationLimit);
  timers_.Advance(10s);
  EXPECT_LE(MeasurePropagationTime(), kFaultPropagationLimit);
}

// Guards against a fleet that retries without backoff while the store is
// unavailable, and against nodes that stay out of date after the outage.
TEST_F(ReplicaFleetTest, RetriesBackOffInAnOutageAndChangesArriveAfterIt) {
  timers_.Advance(5s);
  store_.SetUnavailable(true);
  timers_.Advance(2s);
  const int calls_before = store_.read_and_watch_calls();
  timers_.Advance(10s);
  // Three watchers that retry twice a second.
  EXPECT_LT(store_.read_and_watch_calls() - calls_before, 3 * 2 * 10 * 2);
  store_.SetUnavailable(false);
  EXPECT_LE(MeasurePropagationTime(), kFaultPropagationLimit);
  EXPECT_EQ(CountReverts(), 0);
  timers_.Advance(10s);
  EXPECT_EQ(Watchers().size(), 3u);
}

// Guards against nodes without a watch that remove endpoints at once when the
// endpoints' registrations expired during an outage of the store.
TEST_F(ReplicaFleetTest, AllNodesLearnThatRegistrationsMayHaveExpired) {
  store_.SetUnavailable(true);
  timers_.Advance(6s);
  store_.RemoveUnnoticed("endpoints/a");
  timers_.Advance(4s);
  store_.SetUnavailable(false);
  timers_.Advance(2s);
  for (const auto& node : nodes_) {
    EXPECT_FALSE(node->endpoints.contains("endpoints/a"));
    EXPECT_GE(node->outage_snapshots, 1) << node->id.value();
    EXPECT_LE(node->outage_snapshots, 3) << node->id.value();
  }
}

// Guards against nodes that receive no changes after the store has compacted
// its history, and against applying snapshots and changes in the wrong order.
TEST_F(ReplicaFleetTest, ReadsAgainAfterCompaction) {
  for (int i = 0; i < 5; ++i) {
    store_.CompactHistory();
    EXPECT_LE(MeasurePropagationTime(), kFaultPropagationLimit);
  }
  EXPECT_EQ(CountReverts(), 0);
}

// Guards against nodes that ignore a store which was restored from a copy until
// its revision has passed theirs, and against those that go on watching it from
// a revision that was given out again.
TEST_F(ReplicaFleetTest, ARestoredStoreDelaysNoChange) {
  for (const int writes_after : {0, 1, 2, 20}) {
    const MemoryStore::Copy copy = store_.MakeCopy();
    MeasurePropagationTime();
    timers_.Advance(500ms);
    store_.Restore(copy);
    for (int i = 0; i < writes_after; ++i) {
      store_.Write("other", "o" + std::to_string(i));
    }
    timers_.Advance(500ms);
    EXPECT_LE(MeasurePropagationTime(), kFaultPropagationLimit) << writes_after;
    EXPECT_LE(MeasurePropagationTime(), kPropagationLimit) << writes_after;
  }
}

// Returns the frame as a node sends it that knows no eras.
std::string WithoutEras(std::string_view frame) {
  auto message = *DecodeReplicaMessage(frame);
  const auto strip = [](int64_t& position) {
    position = StoreRevisionOf(position);
  };
  if (auto* const snapshot = std::get_if<SnapshotMessage>(&message)) {
    strip(snapshot->revision);
    for (StoreEntry& entry : snapshot->entries) {
      strip(entry.mod_revision);
    }
  } else if (auto* const changes = std::get_if<ChangesMessage>(&message)) {
    strip(changes->changes.after_revision);
    strip(changes->changes.revision);
    for (StoreChange& change : changes->changes.changes) {
      strip(change.entry.mod_revision);
    }
  } else if (auto* const freshness = std::get_if<FreshnessMessage>(&message)) {
    for (int64_t& revision : freshness->revisions) {
      strip(revision);
    }
  }
  return EncodeReplicaMessage(message);
}

// Guards against a node that gets no changes during an upgrade, because all its
// sources are nodes of an earlier version, which send no eras.
TEST_F(ReplicaFleetTest, SourcesWithoutErasDelayNoChange) {
  store_.Restore(store_.MakeCopy());
  ASSERT_LE(MeasurePropagationTime(), kFaultPropagationLimit);
  network_.set_rewrite(WithoutEras);
  timers_.Advance(5s);
  EXPECT_LE(MeasurePropagationTime(), kFaultPropagationLimit);
}

// Guards against a starting node that watches the store although other nodes
// have the data.
TEST_F(ReplicaFleetTest, ANewNodeLoadsFromItsPeers) {
  const int calls_before = store_.read_and_watch_calls();
  nodes_.push_back(std::make_unique<ReplicaNode>("n0-new", "d0", 0.12, clock_,
                                                 timers_, store_, network_));
  nodes_.back()->Start();
  timers_.Advance(300ms);
  EXPECT_EQ(nodes_.back()->configuration, "c100");
  EXPECT_EQ(nodes_.back()->endpoints.size(), 2u);
  EXPECT_FALSE(nodes_.back()->replica.is_watching());
  // The new node's read of the node registrations and the watchers' own calls.
  EXPECT_LT(store_.read_and_watch_calls() - calls_before, 20);
}

// Guards against a fleet in which every node watches and reads everything,
// because all nodes start at once and find no other node.
TEST_F(ReplicaFleetTest, AFleetThatStartsAtOnceReadsLittle) {
  // Two reads of the node registrations by each node, and the reads and watches
  // of the watchers in 15 s.
  EXPECT_LE(store_.read_and_watch_calls(), 24 * 2 + 6 * 40);
}

// Guards against odd entries of other writers among the registrations that
// delay those of endpoints, or make nodes lose each other.
TEST_F(ReplicaFleetTest, OddRegistrationsDelayNoOtherOnes) {
  for (int i = 0; i < 6; ++i) {
    store_.Write("endpoints/odd" + std::to_string(i),
                 std::string(1'000'000, '['));
  }
  EXPECT_LE(MeasurePropagationTime(), kPropagationLimit);
  for (const auto& node : nodes_) {
    EXPECT_EQ(node->replica.state(ReplicaPart::kRegistrations)
                  .entries.at("endpoints/odd0")
                  .value,
              "");
    EXPECT_FALSE(node->events.Has("replica_source_lost"));
  }
}

// Guards against a malformed frame that affects more than its own link.
TEST_F(ReplicaFleetTest, AMalformedFrameClosesItsLinkOnly) {
  network_.SendToAll("not a frame");
  timers_.Advance(100ms);
  EXPECT_LE(MeasurePropagationTime(), kFaultPropagationLimit);
}

}  // namespace
}  // namespace peridotmill
