#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "peridotmill_membership/peridotmill_membership.h"

namespace peridotmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

EndpointRecord Record(int i, const std::string& domain = "d0") {
  EndpointRecord record;
  record.id = EndpointId("e" + std::to_string(i));
  record.pool = PoolId("pool" + std::to_string(i % 12));
  record.failure_domain = FailureDomainId(domain);
  record.incarnation = Incarnation(100 + i);
  return record;
}

EndpointLoad Load(int running) {
  EndpointLoad load;
  load.running = running;
  load.loaded_models = {"m@1"};
  return load;
}

Fingerprint Print(int i) {
  return FingerprintOf("e" + std::to_string(i));
}

// Guards against endpoints that no node or only one node reads.
TEST(EndpointReadersTest, EveryEndpointHasTwoReaders) {
  std::vector<NodeId> nodes;
  nodes.reserve(9);
  for (int i = 0; i < 9; ++i) {
    nodes.emplace_back("n" + std::to_string(i));
  }
  for (int i = 0; i < 200; ++i) {
    std::map<ReaderRank, int> ranks;
    for (const NodeId& node : nodes) {
      ++ranks[RankOf(node, nodes, Record(i).id)];
    }
    EXPECT_EQ(ranks[ReaderRank::kFirst], 1);
    EXPECT_EQ(ranks[ReaderRank::kSecond], 1);
  }
  EXPECT_EQ(RankOf(nodes[0], {nodes[0]}, Record(1).id), ReaderRank::kFirst);
}

// A reader "a" and a listener "b" of the same domain.
struct Pair {
  EndpointKnowledge a =
      MakeEndpointKnowledge(NodeId("a"), Incarnation(1), 1, kStart);
  EndpointKnowledge b =
      MakeEndpointKnowledge(NodeId("b"), Incarnation(1), 2, kStart);
  TimePoint now = kStart;

  std::optional<EndpointReportsMessage> Read(int endpoint, int running) {
    now += seconds(2);
    RecordReading(a, {Record(endpoint), ReaderRank::kFirst}, Load(running),
                  now);
    return TakeReport(a, now);
  }
  // Lets "b" ask "a".
  bool Repair() {
    const auto request = TakeDigest(b, {NodeId("a")}, 0, now);
    if (!request) {
      return false;
    }
    ApplyDigestReply(b, NodeId("a"), AnswerDigest(a, request->message, now),
                     now);
    return true;
  }
};

// Guards against traffic for values that did not change.
TEST(EndpointKnowledgeTest, UnchangedValuesAreNotSent) {
  Pair pair;
  EXPECT_TRUE(pair.Read(1, 5));
  EXPECT_FALSE(pair.Read(1, 5));
  EXPECT_TRUE(pair.Read(1, 6));
}

// Guards against values that stay wrong after a report was lost, also when it
// was the last one, and against old reports that replace new ones.
TEST(EndpointKnowledgeTest, LostRepeatedAndReorderedReports) {
  enum class Fault { kLost, kLastLost, kRepeated, kReordered };
  for (const Fault fault :
       {Fault::kLost, Fault::kLastLost, Fault::kRepeated, Fault::kReordered}) {
    Pair pair;
    const NodeId a("a");
    ApplyReports(pair.b, a, *pair.Read(1, 5), pair.now);
    const auto second = *pair.Read(1, 9);
    const auto third = *pair.Read(2, 7);
    if (fault != Fault::kLost && fault != Fault::kReordered) {
      ApplyReports(pair.b, a, second, pair.now);
    }
    if (fault != Fault::kLastLost) {
      ApplyReports(pair.b, a, third, pair.now);
    }
    if (fault == Fault::kRepeated || fault == Fault::kReordered) {
      EXPECT_TRUE(ApplyReports(pair.b, a, second, pair.now).empty());
      EXPECT_EQ(pair.b.counters.stale_reports, 1U);
    }
    ApplyReportSequence(pair.b, a, Incarnation(1), 3, pair.now);
    EXPECT_EQ(pair.b.counters.gaps, fault == Fault::kRepeated ? 0U : 1U);
    pair.now += seconds(1);
    EXPECT_TRUE(pair.Repair());
    ASSERT_TRUE(pair.b.endpoints.contains(Print(2)));
    EXPECT_EQ(pair.b.endpoints.at(Print(1)).value.running, 9);
    EXPECT_EQ(pair.b.endpoints.at(Print(2)).value.running, 7);
    EXPECT_EQ(pair.b.endpoints.at(Print(2)).models.size(), 1U);
    EXPECT_FALSE(pair.b.streams.at(a).has_gap);
  }
}

// Guards against unchanged values that look old although their reader lives,
// and against values that look fresh although it does not.
TEST(EndpointKnowledgeTest, HeartbeatsConfirmUnchangedValues) {
  Pair pair;
  ApplyReports(pair.b, NodeId("a"), *pair.Read(1, 5), pair.now);
  const TimePoint first = pair.now;
  EXPECT_EQ(ObservedAt(pair.b, pair.b.endpoints.at(Print(1))), first);
  ApplyReportSequence(pair.b, NodeId("a"), Incarnation(1), 1,
                      first + seconds(4));
  EXPECT_EQ(ObservedAt(pair.b, pair.b.endpoints.at(Print(1))),
            first + seconds(4));
  ApplyReportSequence(pair.b, NodeId("a"), Incarnation(1), 2,
                      first + seconds(5));
  EXPECT_EQ(ObservedAt(pair.b, pair.b.endpoints.at(Print(1))),
            first + seconds(4));
}

// Guards against news of a leaving endpoint that waits for the next report, is
// undone by an older reading, or hits the endpoint's successor.
TEST(EndpointKnowledgeTest, LeavingIsUrgentAndKept) {
  Pair pair;
  ApplyReports(pair.b, NodeId("a"), *pair.Read(1, 5), pair.now);
  EndpointLoad load = Load(5);
  load.is_leaving = true;
  const auto urgent =
      RecordReading(pair.a, {Record(1), ReaderRank::kSecond}, load, pair.now);
  ASSERT_TRUE(urgent);
  EXPECT_EQ(urgent->sequence, 0U);
  const auto changed = ApplyReports(pair.b, NodeId("a"), *urgent, pair.now);
  EXPECT_TRUE(pair.b.endpoints.at(Print(1)).value.is_leaving);
  // A relay sends it on.
  EXPECT_TRUE(LeavingNews(pair.b, changed));
  // An older reading of another reader.
  EndpointReportsMessage older;
  older.reader_incarnation = Incarnation(1);
  older.sequence = 1;
  older.values.push_back(QuantiseLoad(Record(1), Load(4)));
  ApplyReports(pair.b, NodeId("c"), older, pair.now);
  EXPECT_TRUE(pair.b.endpoints.at(Print(1)).value.is_leaving);
  // The endpoint's next process.
  EndpointRecord next = Record(1);
  next.incarnation = Incarnation(999);
  older.sequence = 2;
  older.values = {QuantiseLoad(next, Load(0))};
  ApplyReports(pair.b, NodeId("c"), older, pair.now);
  EXPECT_FALSE(pair.b.endpoints.at(Print(1)).value.is_leaving);
  EXPECT_TRUE(RecordLeaving(pair.b, next, pair.now));
  EXPECT_FALSE(RecordLeaving(pair.b, next, pair.now));
}

// Guards against a second reader that doubles the traffic, and against a first
// reader that cannot read and hides what the second sees.
TEST(EndpointKnowledgeTest, SecondReaderReportsLastingDifferences) {
  Pair pair;
  ApplyReports(pair.b, NodeId("a"), *pair.Read(1, 5), pair.now);
  const AssignedEndpoint second{Record(1), ReaderRank::kSecond};
  const auto read = [&](int running) {
    pair.now += seconds(2);
    RecordReading(pair.b, second, Load(running), pair.now);
    return TakeReport(pair.b, pair.now);
  };
  EXPECT_FALSE(read(5));
  EXPECT_FALSE(read(9));
  EXPECT_FALSE(read(5));
  EXPECT_FALSE(read(9));
  EXPECT_TRUE(read(9));
}

// Guards against tables that grow with what peers send.
TEST(EndpointKnowledgeTest, TablesAreBounded) {
  Pair pair;
  for (int i = 0; i < 2000; ++i) {
    EndpointReportsMessage message;
    message.reader_incarnation = Incarnation(1);
    message.sequence = 1;
    message.values.push_back(QuantiseLoad(Record(2 * i), Load(1)));
    message.values.push_back(QuantiseLoad(Record(2 * i + 1), Load(1)));
    ApplyReports(pair.b, NodeId("r" + std::to_string(i)), message, kStart);
  }
  EXPECT_EQ(pair.b.endpoints.size(), kMaxKnownEndpoints);
  EXPECT_EQ(pair.b.streams.size(), kMaxReportStreams);

  TeamUseState use;
  DomainSummaries summaries;
  CacheHintOutbox outbox;
  for (uint32_t i = 0; i < 3000; ++i) {
    ApplyTeamUse(use, NodeId("r" + std::to_string(i)),
                 TeamUseMessage{std::vector<TeamUseEntry>(100, {i, 1})},
                 kStart);
    ApplySummary(summaries, DomainSummaryMessage{{{i, 1, 1, 1}}}, true, kStart);
    QueueHint(outbox, {i, i}, false);
  }
  EXPECT_EQ(use.peers.size(), kMaxTeamUsePeers);
  EXPECT_EQ(use.peers.begin()->second.entries.size(), kMaxTeamsPerNode);
  EXPECT_EQ(summaries.remote.size(), kMaxSummaries);
  EXPECT_EQ(outbox.pending.size(), kMaxQueuedHints);
  EXPECT_EQ(TakeHints(outbox, kStart)->held.size(), kMaxHintsPerMessage);
}

// Guards against use of a node that is gone counting for ever, and against
// small users that push out large ones.
TEST(TeamUseTest, LargestUsersAreSharedAndExpire) {
  TeamUseState sender;
  std::vector<TeamUseEntry> own;
  for (uint16_t i = 0; i < 50; ++i) {
    own.push_back({i, QuantiseUse(i)});
  }
  const auto message = TakeTeamUse(sender, own, kStart);
  ASSERT_TRUE(message);
  EXPECT_FALSE(TakeTeamUse(sender, own, kStart + seconds(2)));
  EXPECT_TRUE(TakeTeamUse(sender, own, kStart + seconds(12)));
  TeamUseState receiver;
  ApplyTeamUse(receiver, NodeId("a"), *message, kStart);
  ApplyTeamUse(receiver, NodeId("b"), *message, kStart);
  EXPECT_NEAR(PeersUseOf(receiver, 49, kStart + seconds(5)), 98, 12);
  EXPECT_EQ(PeersUseOf(receiver, 1, kStart), 0);
  EXPECT_EQ(PeersUseOf(receiver, 49, kStart + kTeamUseExpiry), 0);
}

// Guards against summaries that leave endpoints out or outlive their domain.
TEST(DomainSummariesTest, ChangesCrossAndExpire) {
  EndpointKnowledge knowledge =
      MakeEndpointKnowledge(NodeId("a"), Incarnation(1), 1, kStart);
  std::vector<EndpointRecord> endpoints = {Record(0), Record(12), Record(24)};
  for (const EndpointRecord& record : endpoints) {
    RecordReading(knowledge, {record, ReaderRank::kFirst}, Load(3), kStart);
  }
  RecordLeaving(knowledge, endpoints[2], kStart);
  const auto pools = SummarisePools(knowledge, FailureDomainId("d0"), endpoints,
                                    {{PoolId("pool0"), 8}});
  ASSERT_EQ(pools.size(), 1U);
  EXPECT_EQ(pools[0].capacity, 16);
  EXPECT_EQ(pools[0].load, 3);  // 6 of 16, in eighths
  EXPECT_EQ(pools[0].live_endpoints, 2);

  DomainSummaries remote_relay;
  DomainSummaries relay;
  const auto sent = TakeSummaries(remote_relay, pools, kStart);
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->to_remote_relays.pools, pools);
  ApplySummary(relay, sent->to_remote_relays, true, kStart);
  const auto forwarded = TakeSummaries(relay, {}, kStart);
  EXPECT_EQ(forwarded->to_domain_peers.pools, pools);
  EXPECT_TRUE(forwarded->to_remote_relays.pools.empty());
  int repeats = 0;
  for (int i = 1; i < 60; ++i) {
    repeats +=
        static_cast<int>(TakeSummaries(relay, {}, kStart + seconds(2 * i))
                             ->to_domain_peers.pools.size());
  }
  EXPECT_LE(repeats, 2) << "a lost domain is kept alive";
  EXPECT_TRUE(FindSummary(relay, pools[0].pool, kStart + seconds(60)) ||
              relay.remote.empty());
  EXPECT_FALSE(FindSummary(relay, pools[0].pool, kStart + seconds(120)));
}

// Guards against a node that is alone in its domain and never sleeps.
TEST(EndpointKnowledgeTest, DigestWithoutPeersIsPutOff) {
  EndpointKnowledge knowledge =
      MakeEndpointKnowledge(NodeId("a"), Incarnation(1), 1, kStart);
  const TimePoint now = kStart + seconds(20);
  EXPECT_FALSE(TakeDigest(knowledge, {}, 0, now));
  TakeReport(knowledge, now);
  EXPECT_GT(NextKnowledgeWakeup(knowledge), now);
}

}  // namespace
}  // namespace peridotmill
