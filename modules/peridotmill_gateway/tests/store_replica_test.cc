#include "peridotmill_gateway/replication/store_replica.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <string>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_gateway/peers/node_registration.h"
#include "peridotmill_gateway/replication/prefix_image.h"
#include "peridotmill_gateway/replication/replica_message.h"
#include "peridotmill_gateway/replication/replica_role.h"
#include "peridotmill_gateway/replication/replica_service.h"
#include "peridotmill_gateway/replication/replica_sources.h"
#include "peridotmill_gateway/tests/manual_timer_queue.h"
#include "peridotmill_gateway/tests/memory_store.h"
#include "peridotmill_gateway/tests/peer_network.h"
#include "peridotmill_gateway/tests/recording_events.h"

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

// Guards against news that takes a node back to an earlier state: a snapshot
// that was read before the changes that are known.
TEST(PrefixImageTest, IgnoresAnEarlierSnapshot) {
  PrefixImage image;
  ASSERT_TRUE(AdoptSnapshot(image, 10, {Entry("a", 5)}));
  ASSERT_TRUE(ApplyChanges(image, {10, 12, {Put("a", 12, "new")}}));
  EXPECT_FALSE(AdoptSnapshot(image, 11, {Entry("a", 5)}));
  EXPECT_EQ(image.entries.at("a").value, "new");
}

// Guards against changes that are skipped because those before them were lost.
TEST(PrefixImageTest, RefusesChangesAfterAGap) {
  PrefixImage image;
  EXPECT_FALSE(ApplyChanges(image, {10, 12, {Put("a", 12)}}));
  ASSERT_TRUE(AdoptSnapshot(image, 10, {}));
  EXPECT_FALSE(ApplyChanges(image, {11, 12, {Put("a", 12)}}));
  EXPECT_EQ(image.revision, 10);
}

// Guards against a change that is applied twice, or out of order, when two
// nodes pass the same changes on.
TEST(PrefixImageTest, TakesOverlappingChangesOnce) {
  PrefixImage image;
  ASSERT_TRUE(AdoptSnapshot(image, 10, {Entry("a", 5)}));
  ASSERT_TRUE(ApplyChanges(image, {10, 14, {Removal("a", 11), Put("a", 14)}}));
  const auto again =
      ApplyChanges(image, {10, 12, {Removal("a", 11), Put("b", 12)}});
  ASSERT_TRUE(again);
  EXPECT_TRUE(again->changes.empty());
  EXPECT_TRUE(image.entries.contains("a"));
  EXPECT_EQ(image.revision, 14);
}

// Guards against entries that a reading no longer holds but the node keeps.
TEST(PrefixImageTest, ASnapshotTellsWhatIsGone) {
  PrefixImage image;
  ASSERT_TRUE(AdoptSnapshot(image, 10, {Entry("a", 5), Entry("b", 6)}));
  const auto changes =
      AdoptSnapshot(image, 20, {Entry("b", 6), Entry("c", 15)});
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes->changes.size(), 2u);
  EXPECT_EQ(changes->changes[0].entry.key, "c");
  EXPECT_TRUE(changes->changes[1].is_removed);
  EXPECT_EQ(changes->changes[1].entry.key, "a");
}

// Guards against a node that subscribes again and is sent everything, or gets
// changes with a gap.
TEST(PrefixImageTest, KeepsABoundedHistory) {
  PrefixImage image;
  ASSERT_TRUE(AdoptSnapshot(image, 10, {}));
  for (int64_t revision = 11; revision <= 1010; ++revision) {
    ASSERT_TRUE(ApplyChanges(
        image, {revision - 1,
                revision,
                {Put("a" + std::to_string(revision % 7), revision)}}));
  }
  EXPECT_LE(image.history.size(), 512u);
  EXPECT_FALSE(ChangesSince(image, 11));
  const auto since = ChangesSince(image, 1000);
  ASSERT_TRUE(since);
  EXPECT_EQ(since->changes.size(), 10u);
  EXPECT_EQ(since->revision, 1010);
}

// Guards against frames that another version or a broken node sends.
TEST(ReplicaMessageTest, RejectsDamagedFrames) {
  SnapshotMessage snapshot = {.part = ReplicaPart::kNodes, .revision = 7};
  snapshot.entries = {Entry("a", 3), Entry("b", 4)};
  ChangesMessage changes = {.part = ReplicaPart::kConfiguration};
  changes.changes = {3, 9, {Put("a", 5), Removal("b", 9)}};
  const std::vector<std::string> frames = {
      EncodeReplicaMessage(snapshot), EncodeReplicaMessage(changes),
      EncodeReplicaMessage(SubscribeMessage{{1, 2, 3}}),
      EncodeReplicaMessage(FreshnessMessage{{1, 2, 3}, 20ms})};
  for (const std::string& frame : frames) {
    ASSERT_TRUE(DecodeReplicaMessage(frame));
    for (size_t size = 0; size < frame.size(); ++size) {
      // Whatever is accepted must have been read within the bytes.
      (void)DecodeReplicaMessage(frame.substr(0, size));
      std::string damaged = frame;
      damaged[size] = static_cast<char>(~damaged[size]);
      (void)DecodeReplicaMessage(damaged);
    }
    EXPECT_FALSE(DecodeReplicaMessage(frame.substr(0, frame.size() / 2)));
  }
  EXPECT_FALSE(DecodeReplicaMessage(""));
  const auto decoded = DecodeReplicaMessage(frames[1]);
  const auto& read = std::get<ChangesMessage>(*decoded);
  EXPECT_EQ(read.changes.after_revision, 3);
  EXPECT_TRUE(read.changes.changes[1].is_removed);
  EXPECT_EQ(read.changes.changes[0].entry.mod_revision, 5);
}

std::string NodeKey(const std::string& node) {
  return kNodeKeyPrefix + node;
}

// Guards against a fleet in which every node watches: a few of each domain do,
// and all others agree on them.
TEST(ReplicaRoleTest, AFewNodesOfEachDomainWatch) {
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
    // Two sources that watch, one of them in another domain.
    EXPECT_TRUE(watchers.contains(role.sources[0]));
    EXPECT_TRUE(watchers.contains(role.sources[1]));
    EXPECT_EQ(records[role.sources[0]].failure_domain == record.failure_domain,
              !role.is_watcher);
    EXPECT_NE(records[role.sources[1]].failure_domain, record.failure_domain);
    EXPECT_EQ(std::count(role.sources.begin(), role.sources.end(), node), 0);
  }
}

// A node with the parts that replicate the store.
class ReplicaNode {
 public:
  ReplicaNode(const std::string& name,
              const std::string& domain,
              double processor_share,
              ManualClock& clock,
              ManualTimerQueue& timers,
              MemoryStore& store,
              PeerNetwork& network)
      : id(name),
        record{.peer_address = name,
               .failure_domain = FailureDomainId(domain),
               .processor_share = processor_share,
               .replica_address = name},
        channel(store, timers, name),
        recovery(timers, Hash64(name, 1)),
        replica({clock, timers, channel, recovery, events},
                {{{.prefix = "config", .watch_wait = 2s, .pause = 200ms},
                  {.prefix = "endpoints/", .watch_wait = 2s, .pause = 300ms},
                  {.prefix = kNodeKeyPrefix, .watch_wait = 5s, .pause = 3s}}},
                {.on_snapshot =
                     [this](ReplicaPart part,
                            const std::vector<StoreEntry>& entries,
                            bool was_unreachable) {
                       const bool tells_of_outage =
                           was_unreachable &&
                           part == ReplicaPart::kRegistrations;
                       outage_snapshots += tells_of_outage ? 1 : 0;
                       OnSnapshot(part, entries);
                     },
                 .on_change =
                     [this](ReplicaPart part, const StoreChange& change) {
                       OnChange(part, change);
                     }}),
        service(replica, clock, timers, events),
        dialer(network, name),
        sources({clock, timers, dialer, directory, replica, service, events, id,
                 record, [this] { Renew(); }, [this] { replica.ReadNodes(); }}),
        registration(
            id,
            record,
            channel,
            timers,
            events,
            {.on_store_response = [this] { sources.NoteOwnContact(); },
             .on_store_contact_lost =
                 [this] {
                   sources.NoteOwnSilence();
                   replica.ReadAllAgain();
                 },
             .is_watching = [this] { return replica.is_watching(); }}) {
    network.AddNode(name, [this](const PeerNetwork::MakeLink& make) {
      service.Accept(make);
    });
  }

  void Start() {
    replica.ReadNodes();
    registration.Start();
  }
  void Renew() { registration.RenewNow(); }

  // The configuration's value and the endpoints that this node believes in.
  std::string configuration;
  std::set<std::string> endpoints;
  // Configurations that came after a later one.
  int reverts = 0;
  // Registrations of which some may only have lapsed in an outage.
  int outage_snapshots = 0;

  NodeId id;
  NodeRecord record;
  RecordingEvents events;
  NodeDirectory directory;
  MemoryStoreChannel channel;
  StoreRecovery recovery;
  StoreReplica replica;
  ReplicaService service;
  PeerNetwork::Dialer dialer;
  ReplicaSources sources;
  NodeRegistration registration;

 private:
  void OnSnapshot(ReplicaPart part, const std::vector<StoreEntry>& entries) {
    if (part == ReplicaPart::kNodes) {
      directory.Replace(entries, false);
      sources.OnNodesChanged();
    } else if (part == ReplicaPart::kRegistrations) {
      endpoints.clear();
      for (const StoreEntry& entry : entries) {
        endpoints.insert(entry.key);
      }
    } else {
      for (const StoreEntry& entry : entries) {
        Configure(entry.value);
      }
    }
  }
  void OnChange(ReplicaPart part, const StoreChange& change) {
    if (part == ReplicaPart::kNodes) {
      directory.Apply(change);
      sources.OnNodesChanged();
    } else if (part == ReplicaPart::kRegistrations) {
      if (change.is_removed) {
        endpoints.erase(change.entry.key);
      } else {
        endpoints.insert(change.entry.key);
      }
    } else {
      Configure(change.entry.value);
    }
  }
  void Configure(const std::string& value) {
    reverts += value < configuration ? 1 : 0;
    configuration = value;
  }
};

// A fleet of three failure domains with eight nodes each before one store.
class ReplicaFleetTest : public testing::Test {
 protected:
  static constexpr int kDomains = 3;
  static constexpr int kNodesPerDomain = 8;

  ReplicaFleetTest() : timers_(clock_), store_(timers_), network_(timers_) {
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

  // Time until all nodes but those excepted follow a new configuration and the
  // removal of an endpoint.
  Duration TimeToFollow(const std::set<std::string>& excepted = {}) {
    ++revision_;
    const std::string configuration = "c" + std::to_string(revision_);
    const std::string endpoint = "endpoints/x" + std::to_string(revision_);
    store_.Write("config", configuration);
    store_.Write(endpoint, "1");
    const TimePoint start = clock_.Now();
    const auto follows = [&](const auto& node) {
      return excepted.contains(node->id.value()) ||
             (node->configuration == configuration &&
              node->endpoints.contains(endpoint));
    };
    while (!std::all_of(nodes_.begin(), nodes_.end(), follows) &&
           clock_.Now() - start < 30s) {
      timers_.Advance(10ms);
    }
    return clock_.Now() - start;
  }

  int Reverts() const {
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

// The news of a change reaches all nodes of the smallest bounds (2 s).
constexpr Duration kNewsBound = 1s;
constexpr Duration kFaultBound = 2s;

// Guards against a store whose calls grow with nodes times changes.
TEST_F(ReplicaFleetTest, FewNodesWatchAndAllFollow) {
  EXPECT_EQ(Watchers().size(), 3u);
  const int before = store_.reading_calls();
  for (int i = 0; i < 20; ++i) {
    EXPECT_LE(TimeToFollow(), kNewsBound);
  }
  EXPECT_EQ(Reverts(), 0);
  // Every node watching would make 2 x 24 calls for each change.
  EXPECT_LT(store_.reading_calls() - before, 20 * 2 * 24 / 2);
}

// Guards against a bound that hangs on a single watch: the store leaves watches
// open without an answer although there are changes.
TEST_F(ReplicaFleetTest, ASilentWatchDelaysNoNews) {
  store_.SilenceOpenWatches();
  EXPECT_LE(TimeToFollow(), kFaultBound);
}

// Guards against a watcher that is killed or frozen and takes its domain along.
TEST_F(ReplicaFleetTest, ALostWatcherDelaysNoNews) {
  const std::string lost = Watchers("d0")[0]->id.value();
  network_.Isolate(lost);
  store_.CutOff(lost);
  EXPECT_LE(TimeToFollow({lost}), kFaultBound);
}

// Guards against nodes that hear nothing because all watchers are cut off from
// the store, though they themselves are not.
TEST_F(ReplicaFleetTest, OthersWatchForWatchersThatAreCutOff) {
  for (ReplicaNode* const watcher : Watchers()) {
    store_.CutOff(watcher->id.value());
  }
  // The watchers hear of it from their peers too.
  EXPECT_LE(TimeToFollow(), 3s);
  EXPECT_LE(TimeToFollow(), kFaultBound);
}

// Guards against both sources of a node being lost at once.
TEST_F(ReplicaFleetTest, AllWatchersMayBeLost) {
  std::set<std::string> lost;
  for (ReplicaNode* const watcher : Watchers()) {
    lost.insert(watcher->id.value());
    network_.Isolate(watcher->id.value());
    store_.CutOff(watcher->id.value());
  }
  EXPECT_LE(TimeToFollow(lost), 3s);
  EXPECT_LE(TimeToFollow(lost), kFaultBound);
}

// Guards against a domain that is cut off from the store and follows no newer
// configuration, though it reaches nodes that know it.
TEST_F(ReplicaFleetTest, ADomainCutOffFromTheStoreHearsFromAnother) {
  for (const auto& node : nodes_) {
    if (node->record.failure_domain == FailureDomainId("d2")) {
      store_.CutOff(node->id.value());
    }
  }
  EXPECT_LE(TimeToFollow(), kFaultBound);
  timers_.Advance(10s);
  EXPECT_LE(TimeToFollow(), kFaultBound);
}

// Guards against a fleet that calls a store without pause while it is away, and
// against nodes that stay behind when it is back.
TEST_F(ReplicaFleetTest, AnOutageIsPacedAndFollowedByNews) {
  timers_.Advance(5s);
  store_.SetDown(true);
  timers_.Advance(2s);
  const int before = store_.reading_calls();
  timers_.Advance(10s);
  // Three watchers that try twice a second.
  EXPECT_LT(store_.reading_calls() - before, 3 * 2 * 10 * 2);
  store_.SetDown(false);
  EXPECT_LE(TimeToFollow(), kFaultBound);
  EXPECT_EQ(Reverts(), 0);
  timers_.Advance(10s);
  EXPECT_EQ(Watchers().size(), 3u);
}

// Guards against endpoints that are believed gone at once, at nodes that do not
// watch, because their registrations lapsed while the store was away.
TEST_F(ReplicaFleetTest, AllNodesLearnThatRegistrationsMayHaveLapsed) {
  store_.SetDown(true);
  timers_.Advance(6s);
  store_.Lapse("endpoints/a");
  timers_.Advance(4s);
  store_.SetDown(false);
  timers_.Advance(2s);
  for (const auto& node : nodes_) {
    EXPECT_FALSE(node->endpoints.contains("endpoints/a"));
    EXPECT_GE(node->outage_snapshots, 1) << node->id.value();
    EXPECT_LE(node->outage_snapshots, 3) << node->id.value();
  }
}

// Guards against nodes that follow nothing after the store has lost its
// history, and against snapshots and changes being mixed up.
TEST_F(ReplicaFleetTest, LostHistoryIsReadAgain) {
  for (int i = 0; i < 5; ++i) {
    store_.DropHistory();
    EXPECT_LE(TimeToFollow(), kFaultBound);
  }
  EXPECT_EQ(Reverts(), 0);
}

// Guards against a node that starts and watches although others could tell it.
TEST_F(ReplicaFleetTest, ANewNodeHearsFromItsPeers) {
  const int before = store_.reading_calls();
  nodes_.push_back(std::make_unique<ReplicaNode>("n0-new", "d0", 0.12, clock_,
                                                 timers_, store_, network_));
  nodes_.back()->Start();
  timers_.Advance(300ms);
  EXPECT_EQ(nodes_.back()->configuration, "c100");
  EXPECT_EQ(nodes_.back()->endpoints.size(), 2u);
  EXPECT_FALSE(nodes_.back()->replica.is_watching());
  // One reading of the nodes, and the watchers' own calls.
  EXPECT_LT(store_.reading_calls() - before, 20);
}

// Guards against a fleet in which every node watches and reads everything
// because all start together and find no others.
TEST_F(ReplicaFleetTest, AFleetThatStartsTogetherReadsLittle) {
  // For each node two readings of the nodes; the watchers' readings and their
  // watches in 15 s.
  EXPECT_LE(store_.reading_calls(), 24 * 2 + 6 * 40);
}

// Guards against a peer whose frames cannot be read.
TEST_F(ReplicaFleetTest, AMalformedFrameClosesItsLinkOnly) {
  network_.SendToAll("not a frame");
  timers_.Advance(100ms);
  EXPECT_LE(TimeToFollow(), kFaultBound);
}

}  // namespace
}  // namespace peridotmill
