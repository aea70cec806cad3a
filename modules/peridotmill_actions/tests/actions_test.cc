#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "fleet.h"

namespace peridotmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::IsEmpty;

constexpr uint64_t kSeeds[] = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};

int HomeIndex(const std::string& key, const std::vector<int>& live) {
  std::vector<ActionNode> nodes;
  nodes.reserve(live.size());
  for (const int node : live) {
    nodes.push_back({Fleet::NameOf(node), Incarnation(1), false});
  }
  const NodeId home =
      HomeOf(BucketOf(TeamId("team"), IdempotencyKey(key)), nodes);
  return std::stoi(home.value().substr(1));
}

std::string Describe(const Fleet::Call& call) {
  if (call.results.empty()) {
    return "none";
  }
  const ActionResult& result = call.results.front();
  switch (result.kind) {
    case ActionResultKind::kGranted:
      return "granted";
    case ActionResultKind::kDuplicate:
      return "duplicate " + result.answer.body;
    case ActionResultKind::kRefused:
      break;
  }
  return std::string(ToString(result.reason)) + " " +
         std::string(ToString(result.execution));
}

// One fault, with two calls under one key. `first` and `second` are the results
// that the callers see.
struct FaultCase {
  const char* name;
  void (*run)(Fleet& fleet, int home, int other);
  const char* first;
  const char* second;
  int sent;
};

std::string AnswerOf(const Fleet& fleet, size_t call) {
  return "duplicate answer of " + fleet.calls()[call].nonce.value();
}

constexpr char kAnswerOfFirst[] = "answer of first";

const FaultCase kFaultCases[] = {
    {"retry through another node gets the recorded answer",
     [](Fleet& fleet, int home, int other) {
       fleet.Begin(home, "k", "d", seconds(2));
       fleet.RunFor(seconds(1));
       fleet.Begin(other, "k", "d", seconds(2));
     },
     "granted", kAnswerOfFirst, 1},
    {"duplicate through two nodes at once waits for the outcome",
     [](Fleet& fleet, int home, int other) {
       // Once the bucket is read, the home's own call comes first.
       fleet.RunFor(seconds(3));
       fleet.Begin(home, "k", "d", seconds(3));
       fleet.Begin(other, "k", "d", seconds(3));
     },
     "granted", kAnswerOfFirst, 1},
    {"two nodes both think they are home",
     [](Fleet& fleet, int home, int other) {
       fleet.SetView(home, {home});
       fleet.SetView(other, {other});
       fleet.cuts() = {{home, other}, {other, home}};
       fleet.Begin(home, "k", "d", seconds(3));
       fleet.RunFor(seconds(1));
       fleet.Begin(other, "k", "d", seconds(3));
     },
     "granted", kAnswerOfFirst, 1},
    {"same key with another body",
     [](Fleet& fleet, int home, int other) {
       fleet.Begin(home, "k", "d", seconds(2));
       fleet.RunFor(milliseconds(500));
       fleet.Begin(other, "k", "other", seconds(2));
     },
     "granted", "key_reused not_run", 1},
    {"void lets the key be claimed anew",
     [](Fleet& fleet, int home, int other) {
       fleet.Begin(home, "k", "d", seconds(2), milliseconds(100), true);
       fleet.RunFor(milliseconds(50));
       fleet.Begin(other, "k", "d", seconds(3));
     },
     "granted", "granted", 1},
    {"origin paused between grant and send keeps its claim",
     [](Fleet& fleet, int home, int other) {
       fleet.Begin(other, "k", "d", seconds(2), milliseconds(50));
       fleet.RunFor(milliseconds(40));
       fleet.Pause(other, seconds(30));
       fleet.Begin(home, "k", "d", seconds(2));
     },
     "granted", "action_in_progress unknown", 1},
    {"claimant dies after the grant",
     [](Fleet& fleet, int home, int other) {
       fleet.Begin(other, "k", "d", seconds(2), milliseconds(100));
       fleet.RunFor(milliseconds(50));
       fleet.Kill(other);
       fleet.ShareView();
       fleet.Begin(home, "k", "d", seconds(2));
     },
     "granted", "action_unknown unknown", 0},
    {"home dies before it commits",
     [](Fleet& fleet, int home, int other) {
       fleet.fault(home).is_down = true;
       fleet.Begin(other, "k", "d", seconds(3));
       fleet.RunFor(milliseconds(3));
       fleet.Kill(home);
       fleet.RunFor(seconds(1));
       fleet.Begin(other, "k", "d", seconds(3));
     },
     "granted", kAnswerOfFirst, 1},
    {"home dies after it commits and before it replies",
     [](Fleet& fleet, int home, int other) {
       fleet.cuts() = {{home, other}};
       fleet.Begin(other, "k", "d", seconds(3));
       fleet.RunFor(milliseconds(40));
       fleet.Kill(home);
       fleet.RunFor(seconds(1));
       fleet.Begin(other, "k", "d", seconds(3));
     },
     "granted", kAnswerOfFirst, 1},
    {"the answer of the claim's write is lost",
     [](Fleet& fleet, int home, int other) {
       fleet.RunFor(seconds(3));
       fleet.fault(home).lost_percent = 100;
       fleet.Begin(home, "k", "d", seconds(3));
       fleet.fault(home).lost_percent = 0;
       fleet.RunFor(seconds(1));
       fleet.Begin(other, "k", "d", seconds(3));
     },
     "granted", kAnswerOfFirst, 1},
    {"store down, then back",
     [](Fleet& fleet, int home, int other) {
       fleet.RunFor(seconds(3));
       fleet.fault(home).is_down = fleet.fault(other).is_down = true;
       fleet.Begin(home, "k", "d", seconds(2));
       fleet.RunFor(seconds(10));
       fleet.fault(home).is_down = fleet.fault(other).is_down = false;
       fleet.RunFor(seconds(3));
       fleet.Begin(other, "k", "d", seconds(3));
     },
     "store_unavailable not_run", "granted", 1},
    {"only the home reaches the store",
     [](Fleet& fleet, int home, int other) {
       fleet.fault(other).is_down = true;
       fleet.RunFor(seconds(3));
       fleet.Begin(other, "k", "d", seconds(2));
       fleet.RunFor(seconds(1));
       fleet.Begin(home, "k", "d", seconds(2));
     },
     "granted", kAnswerOfFirst, 1},
    {"only the origin reaches the store",
     [](Fleet& fleet, int home, int other) {
       fleet.fault(home).is_down = true;
       fleet.RunFor(seconds(3));
       fleet.Begin(other, "k", "d", seconds(2));
       fleet.RunFor(seconds(1));
       fleet.Begin(other, "k", "d", seconds(2));
     },
     "granted", kAnswerOfFirst, 1},
    {"retention passed, key without age",
     [](Fleet& fleet, int home, int other) {
       fleet.Begin(home, "k", "d", seconds(2));
       fleet.RunFor(seconds(3));
       fleet.SkipWallTime(seconds(4000));
       fleet.RunFor(seconds(70));
       fleet.Begin(other, "k", "d", seconds(2));
     },
     "granted", "key_expired unknown", 1},
};

// Guards against an action run twice, and against a false word to the caller,
// under each single fault.
TEST(ActionsTest, FaultsWithTwoCallsOfOneKey) {
  for (const FaultCase& fault : kFaultCases) {
    SCOPED_TRACE(fault.name);
    Fleet fleet(2, 7);
    const int home = HomeIndex("k", {0, 1});
    fault.run(fleet, home, 1 - home);
    fleet.RunFor(seconds(60));
    EXPECT_THAT(fleet.violations(), IsEmpty());
    EXPECT_EQ(Describe(fleet.calls()[0]), fault.first);
    const std::string second =
        fault.second == kAnswerOfFirst ? AnswerOf(fleet, 0) : fault.second;
    EXPECT_EQ(Describe(fleet.calls()[1]), second);
    EXPECT_EQ(fleet.SentCount("k"), fault.sent);
  }
}

// Guards against a refusal later than 50 ms when the store is known to be down.
TEST(ActionsTest, RefusesAtOnceWhenTheStoreIsKnownDown) {
  Fleet fleet(2, 3);
  fleet.RunFor(seconds(3));
  fleet.fault(0).is_down = fleet.fault(1).is_down = true;
  fleet.Begin(0, "probe", "d", milliseconds(500));
  fleet.Begin(1, "probe", "d", milliseconds(500));
  fleet.RunFor(seconds(2));
  fleet.Begin(0, "a", "d", seconds(4));
  fleet.Begin(1, "a", "d", seconds(4));
  fleet.RunFor(milliseconds(50));
  EXPECT_EQ(Describe(fleet.calls()[2]), "store_unavailable not_run");
  EXPECT_EQ(Describe(fleet.calls()[3]), "store_unavailable not_run");
}

// Guards against a UUIDv7 key that runs again after its log entries are gone.
TEST(ActionsTest, KeyWithAgeExpiresWithoutState) {
  Fleet fleet(1, 3);
  const int64_t now_ms = fleet.now().epoch_seconds() * 1000;
  char key[40];
  std::snprintf(key, sizeof(key), "%08x-%04x-7000-8000-000000000001",
                static_cast<unsigned>(now_ms >> 16),
                static_cast<unsigned>(now_ms & 0xffff));
  fleet.Begin(0, key, "d", seconds(2));
  fleet.RunFor(seconds(3));
  fleet.SkipWallTime(seconds(4000));
  fleet.RunFor(seconds(70));
  EXPECT_EQ(fleet.state(0).home.counters.prunes, 1u);
  fleet.Begin(0, key, "d", seconds(2));
  fleet.RunFor(seconds(1));
  EXPECT_EQ(Describe(fleet.calls()[1]), "key_expired unknown");
  for (const auto& [name, entry] : fleet.store().entries()) {
    EXPECT_FALSE(name.starts_with("tombstones/")) << name;
  }
}

// Guards against a new home that forgets the tombstones of the old one.
TEST(ActionsTest, TombstonesSurviveRestart) {
  Fleet fleet(1, 3);
  fleet.Begin(0, "k", "d", seconds(2));
  fleet.RunFor(seconds(3));
  fleet.SkipWallTime(seconds(4000));
  fleet.RunFor(seconds(70));
  fleet.Kill(0);
  fleet.Restart(0);
  fleet.ShareView();
  fleet.Begin(0, "k", "d", seconds(2));
  fleet.RunFor(seconds(3));
  EXPECT_EQ(Describe(fleet.calls()[1]), "key_expired unknown");
}

// Guards against a lookup that is answered from a stale cache.
TEST(ActionsTest, LookUpReadsTheLog) {
  Fleet fleet(2, 5);
  const int home = HomeIndex("k", {0, 1});
  fleet.RunFor(seconds(3));
  fleet.LookUp(home, "k");
  fleet.RunFor(seconds(1));
  fleet.SetView(1 - home, {1 - home});
  fleet.Begin(1 - home, "k", "d", seconds(2));
  fleet.RunFor(seconds(2));
  fleet.LookUp(home, "k");
  fleet.RunFor(seconds(1));
  EXPECT_EQ(Describe(fleet.calls()[0]), "action_not_found unknown");
  EXPECT_EQ(Describe(fleet.calls()[2]), AnswerOf(fleet, 1));
}

// Guards against a write rate above the store's budget: 2.3/s for a bucket
// after the first write.
TEST(ActionsTest, WritesArePaced) {
  Fleet fleet(1, 5);
  fleet.RunFor(seconds(3));
  const int before = fleet.store().writes();
  for (int i = 0; i < 500; ++i) {
    fleet.Begin(0, "k", "d" + std::to_string(i), seconds(5));
    fleet.Begin(0, "key" + std::to_string(i), "d", seconds(5));
    fleet.RunFor(milliseconds(20));
  }
  EXPECT_LE(fleet.store().writes() - before,
            static_cast<int>(kBucketCount * (1 + 2.3 * 10)));
  EXPECT_THAT(fleet.violations(), IsEmpty());
}

// Guards against serving a bucket whose log cannot be read in full.
TEST(ActionsTest, MalformedSegmentIsNotServed) {
  Fleet fleet(1, 5);
  const int32_t bucket = BucketOf(TeamId("team"), IdempotencyKey("k"));
  const std::string key = SegmentKey(bucket, 1);
  fleet.store().entries()[key] = {key, "\x01garbage", 1, 1};
  fleet.RunFor(seconds(3));
  fleet.Begin(0, "k", "d", seconds(2));
  fleet.RunFor(seconds(3));
  EXPECT_EQ(Describe(fleet.calls()[0]), "store_unavailable not_run");
  EXPECT_EQ(fleet.state(0).home.counters.malformed_segments, 1u);
}

std::string OtherKeyInBucketOf(const std::string& key) {
  const int32_t bucket = BucketOf(TeamId("team"), IdempotencyKey(key));
  for (int i = 0;; ++i) {
    std::string other = "other" + std::to_string(i);
    if (BucketOf(TeamId("team"), IdempotencyKey(other)) == bucket) {
      return other;
    }
  }
}

// A paused node has read segment 1; another writes segment 2 and deletes it
// after retention. Guards against the paused node's write succeeding on the
// freed key, where the other node would not see its claim.
TEST(ActionsTest, PausedWriterCannotRecreateADeletedSegment) {
  Fleet fleet(2, 5);
  const int home = HomeIndex("k", {0, 1});
  const int other = 1 - home;
  fleet.RunFor(seconds(3));
  fleet.SetView(other, {other});
  fleet.Begin(home, "k", "d", seconds(2));
  fleet.RunFor(milliseconds(30));
  fleet.LookUp(other, "k");
  fleet.RunFor(milliseconds(30));
  ASSERT_EQ(Describe(fleet.calls()[1]), AnswerOf(fleet, 0));
  fleet.Pause(other, seconds(100));
  fleet.RunFor(seconds(5));
  fleet.SkipWallTime(seconds(4000));
  fleet.RunFor(seconds(96));
  ASSERT_EQ(fleet.state(home).home.counters.prunes, 1u);
  const std::string key = OtherKeyInBucketOf("k");
  fleet.Begin(other, key, "d", seconds(3));
  fleet.RunFor(seconds(4));
  fleet.Begin(home, key, "d", seconds(3));
  fleet.RunFor(seconds(4));
  EXPECT_EQ(Describe(fleet.calls()[2]), "granted");
  EXPECT_EQ(Describe(fleet.calls()[3]), AnswerOf(fleet, 2));
  EXPECT_THAT(fleet.violations(), IsEmpty());
}

// Draws one fault or its end.
void DrawFault(Fleet& fleet, int size) {
  Random& random = fleet.random();
  const int node = static_cast<int>(random.Below(size));
  const int peer = static_cast<int>(random.Below(size));
  switch (random.Below(8)) {
    case 0:
      fleet.fault(node).is_down = !fleet.fault(node).is_down;
      break;
    case 1:
      fleet.fault(node).lost_percent = static_cast<int>(random.Below(40));
      break;
    case 2:
      fleet.fault(node).late_percent = static_cast<int>(random.Below(30));
      break;
    case 3:
      fleet.Pause(node, milliseconds(random.Below(4000)));
      break;
    case 4:
      fleet.Kill(node);
      fleet.Restart(node);
      fleet.ShareView();
      break;
    case 5:
      fleet.cuts().insert({node, peer});
      break;
    case 6:
      fleet.cuts().clear();
      fleet.ShareView();
      break;
    default:
      fleet.SetView(node, {node});
  }
}

// Guards against any mix of the faults above that lets an action run twice, or
// says not_run of a granted call, or leaves a caller without an answer.
TEST(ActionsTest, RandomFaults) {
  constexpr int kNodes = 3;
  for (const uint64_t seed : kSeeds) {
    SCOPED_TRACE(seed);
    Fleet fleet(kNodes, seed);
    for (int i = 0; i < 1500; ++i) {
      if (fleet.random().Below(6) == 0) {
        DrawFault(fleet, kNodes);
      }
      const std::string key = "k" + std::to_string(fleet.random().Below(150));
      const std::string digest = fleet.random().Below(20) == 0 ? "e" : "d";
      fleet.Begin(static_cast<int>(fleet.random().Below(kNodes)), key, digest,
                  milliseconds(200 + fleet.random().Below(4000)),
                  milliseconds(fleet.random().Below(60)),
                  fleet.random().Below(4) == 0);
      fleet.RunFor(milliseconds(fleet.random().Below(100)));
    }
    for (int node = 0; node < kNodes; ++node) {
      fleet.fault(node) = {};
    }
    fleet.cuts().clear();
    fleet.ShareView();
    fleet.RunFor(seconds(60));
    EXPECT_THAT(fleet.violations(), IsEmpty());
    int granted = 0;
    for (int key = 0; key < 150; ++key) {
      EXPECT_LE(fleet.SentCount("k" + std::to_string(key)), 1) << key;
      granted += fleet.SentCount("k" + std::to_string(key));
    }
    EXPECT_GT(granted, 50);
    for (int node = 0; node < kNodes; ++node) {
      EXPECT_TRUE(IsDrained(fleet.state(node))) << node;
    }
  }
}

LogEntry EntryFor(LogEntryKind kind, const char* nonce) {
  LogEntry entry;
  entry.kind = kind;
  entry.team = TeamId("t");
  entry.key = IdempotencyKey("k");
  entry.nonce = Nonce(nonce);
  return entry;
}

// Guards against a replay in which a delayed copy of a voided claim counts, or
// a void or outcome of another claim does.
TEST(BucketLogTest, HolderOfTheKey) {
  using enum LogEntryKind;
  const struct {
    const char* name;
    std::vector<LogEntry> entries;
    const char* holder;
  } cases[] = {
      {"first claim", {EntryFor(kClaim, "a"), EntryFor(kClaim, "b")}, "a"},
      {"void first", {EntryFor(kVoid, "a"), EntryFor(kClaim, "a")}, ""},
      {"copy after void",
       {EntryFor(kClaim, "a"), EntryFor(kVoid, "a"), EntryFor(kClaim, "a"),
        EntryFor(kClaim, "b")},
       "b"},
      {"void of another", {EntryFor(kClaim, "a"), EntryFor(kVoid, "b")}, "a"},
      {"void after outcome",
       {EntryFor(kClaim, "a"), EntryFor(kOutcome, "a"), EntryFor(kVoid, "a")},
       "a"},
  };
  for (const auto& test : cases) {
    BucketLog log;
    Segment segment;
    for (const LogEntry& entry : test.entries) {
      ++segment.sequence;
      segment.entries = {entry};
      ApplySegment(log, segment);
    }
    const ActionRecord* record =
        FindRecord(log, ScopedKey(TeamId("t"), IdempotencyKey("k")));
    EXPECT_EQ(record == nullptr ? "" : record->nonce.value(), test.holder)
        << test.name;
  }
}

// Guards against a codec that loses a field, and against one that accepts cut
// or foreign data.
TEST(SegmentCodecTest, RoundTripAndMalformed) {
  Segment segment{3, 9, Nonce("w"), 100, {}};
  LogEntry claim;
  claim.team = TeamId("t");
  claim.key = IdempotencyKey("k");
  claim.nonce = Nonce("n");
  claim.request_digest = "d";
  claim.claimant = NodeId("n0");
  claim.claimant_incarnation = Incarnation(4);
  LogEntry outcome;
  outcome.kind = LogEntryKind::kOutcome;
  outcome.team = claim.team;
  outcome.key = claim.key;
  outcome.nonce = claim.nonce;
  outcome.answer = {Execution::kUnknown, 502, std::string("\0\xff", 2), "x"};
  LogEntry voiding = outcome;
  voiding.kind = LogEntryKind::kVoid;
  voiding.answer = {};
  segment.entries = {claim, outcome, voiding};
  const std::string data = EncodeSegment(segment);
  EXPECT_EQ(DecodeSegment(data).value(), segment);
  for (size_t length = 0; length < data.size(); ++length) {
    EXPECT_FALSE(DecodeSegment(data.substr(0, length))) << length;
  }
  std::string foreign = data;
  foreign[0] = 2;
  EXPECT_FALSE(DecodeSegment(foreign));
  const std::vector<Tombstone> tombstones = {{1, 2}, {3, 4}};
  EXPECT_EQ(DecodeTombstones(EncodeTombstones(tombstones)).value(), tombstones);
  EXPECT_FALSE(DecodeTombstones("\x01short"));
}

// Guards against a change of one node that moves buckets between the others,
// and against a leaving node that stays home.
TEST(HomeOfTest, MovesOnlyTheBucketsOfTheLeavingNode) {
  std::vector<ActionNode> nodes;
  nodes.reserve(9);
  for (int i = 0; i < 9; ++i) {
    nodes.push_back({Fleet::NameOf(i), Incarnation(1), false});
  }
  std::vector<ActionNode> after = nodes;
  after[4].is_leaving = true;
  for (int32_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const NodeId home = HomeOf(bucket, nodes);
    const NodeId new_home = HomeOf(bucket, after);
    EXPECT_NE(new_home, nodes[4].id);
    EXPECT_TRUE(home == nodes[4].id || home == new_home);
  }
  EXPECT_TRUE(HomeOf(0, {}).empty());
}

}  // namespace
}  // namespace peridotmill
