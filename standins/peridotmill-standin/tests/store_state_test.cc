#include "standins/peridotmill-standin/logic/store_state.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "standins/peridotmill-standin/servers/store_json.h"

namespace peridotmill::standin {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

Txn CreateOnly(const std::string& key, const std::string& value) {
  Txn txn;
  txn.compares = {{key, CompareTarget::kCreate, CompareResult::kEqual, 0, ""}};
  txn.success = {PutOp{key, value, 0}};
  txn.failure = {RangeOp{key, "", 0}};
  return txn;
}

Txn PutOnly(const std::string& key, const std::string& value, int64_t lease) {
  Txn txn;
  txn.success = {PutOp{key, value, lease}};
  return txn;
}

// Guards against two writers that both believe they created a key.
TEST(StoreStateTest, OnlyOneCreateWinsAndTheOtherSeesTheWinner) {
  StoreState state;
  EXPECT_TRUE(Apply(state, CreateOnly("k", "first")).succeeded);
  const TxnResult lost = Apply(state, CreateOnly("k", "second"));
  EXPECT_FALSE(lost.succeeded);
  const auto& read = std::get<RangeResult>(lost.results.at(0));
  ASSERT_EQ(read.entries.size(), 1u);
  EXPECT_EQ(read.entries[0].value, "first");
  EXPECT_EQ(read.entries[0].create_revision, 2);
  EXPECT_EQ(state.revision, 2);
}

// Guards against revisions that differ within a txn or do not move on.
TEST(StoreStateTest, AllChangesOfATxnHaveOneRevision) {
  StoreState state;
  Txn txn;
  txn.success = {PutOp{"a", "1", 0}, PutOp{"b", "2", 0}};
  Apply(state, txn);
  Apply(state, PutOnly("a", "3", 0));
  EXPECT_EQ(state.entries.at("b").mod_revision, 2);
  EXPECT_EQ(state.entries.at("a").mod_revision, 3);
  EXPECT_EQ(state.entries.at("a").create_revision, 2);
  EXPECT_EQ(state.entries.at("a").version, 2);
}

// Guards against a refused txn that leaves part of its writes.
TEST(StoreStateTest, RefusedTxnChangesNothing) {
  struct Case {
    StoreOp second;
    StoreError error;
  };
  const Case cases[] = {
      {PutOp{"b", "2", 77}, StoreError::kLeaseNotFound},
      {PutOp{"a", "2", 0}, StoreError::kDuplicate},
      {PutOp{"b", std::string(kMaxValueBytes + 1, 'x'), 0},
       StoreError::kTooLarge},
  };
  for (const Case& test_case : cases) {
    StoreState state;
    Txn txn;
    txn.success = {PutOp{"a", "1", 0}, test_case.second};
    EXPECT_EQ(Apply(state, txn).error, test_case.error);
    EXPECT_TRUE(state.entries.empty());
    EXPECT_EQ(state.revision, 1);
  }
}

// Guards against a compare that reads the wrong property of a key.
TEST(StoreStateTest, ComparesFollowTargetAndResult) {
  StoreState state;
  Apply(state, PutOnly("k", "v", 0));
  Apply(state, PutOnly("k", "w", 0));
  struct Case {
    Compare compare;
    bool holds;
  };
  const Case cases[] = {
      {{"k", CompareTarget::kMod, CompareResult::kEqual, 3, ""}, true},
      {{"k", CompareTarget::kMod, CompareResult::kEqual, 2, ""}, false},
      {{"k", CompareTarget::kCreate, CompareResult::kEqual, 2, ""}, true},
      {{"k", CompareTarget::kVersion, CompareResult::kGreater, 1, ""}, true},
      {{"k", CompareTarget::kVersion, CompareResult::kLess, 2, ""}, false},
      {{"k", CompareTarget::kValue, CompareResult::kEqual, 0, "w"}, true},
      {{"k", CompareTarget::kValue, CompareResult::kNotEqual, 0, "w"}, false},
      {{"none", CompareTarget::kMod, CompareResult::kEqual, 0, ""}, true},
  };
  for (size_t i = 0; i < std::size(cases); ++i) {
    Txn txn;
    txn.compares = {cases[i].compare};
    EXPECT_EQ(Apply(state, txn).succeeded, cases[i].holds) << i;
  }
}

TEST(StoreStateTest, RangesAreOrderedAndLimited) {
  StoreState state;
  for (const char* key : {"p/2", "p/1", "q", "p/3", "o"}) {
    Apply(state, PutOnly(key, key, 0));
  }
  const RangeResult two = Range(state, {"p/", "p0", 2});
  ASSERT_EQ(two.entries.size(), 2u);
  EXPECT_EQ(two.entries[0].key, "p/1");
  EXPECT_TRUE(two.has_more);
  EXPECT_EQ(two.count, 3);
  EXPECT_EQ(Range(state, {"p/2", std::string(1, '\0')}).count, 3);
  EXPECT_EQ(Range(state, {"p/", ""}).count, 0);
}

// Guards against a lapsed lease that is revived or leaves its keys behind.
TEST(StoreStateTest, LapsedLeaseRemovesItsKeys) {
  StoreState state;
  const int64_t lease = GrantLease(state, 0, 5, kStart);
  Apply(state, PutOnly("held", "x", lease));
  Apply(state, PutOnly("moved", "x", lease));
  Apply(state, PutOnly("moved", "x", 0));
  EXPECT_EQ(KeepAlive(state, lease, kStart + std::chrono::seconds(4)), 5);
  ExpireLeases(state, kStart + std::chrono::seconds(8));
  EXPECT_TRUE(state.entries.contains("held"));
  EXPECT_EQ(KeepAlive(state, lease, kStart + std::chrono::seconds(9)), 0);
  EXPECT_FALSE(state.entries.contains("held"));
  EXPECT_TRUE(state.entries.contains("moved"));
  EXPECT_EQ(Apply(state, PutOnly("held", "x", lease)).error,
            StoreError::kLeaseNotFound);
}

// Guards against a watch that misses, repeats or reorders changes.
TEST(StoreStateTest, EventsFromARevisionAreCompleteAndOrdered) {
  StoreState state;
  Apply(state, PutOnly("k", "1", 0));
  Apply(state, PutOnly("other", "1", 0));
  Apply(state, PutOnly("k", "2", 0));
  Txn removal;
  removal.success = {DeleteOp{"k", ""}};
  Apply(state, removal);
  const auto events = EventsFrom(state, "k", "", 3);
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(events[0].entry.value, "2");
  EXPECT_TRUE(events[1].is_delete);
  EXPECT_EQ(events[1].entry.mod_revision, 5);
  EXPECT_EQ(EventsFrom(state, "k", "", 2).size(), 3u);
}

// Guards against a history that grows without bound, or that loses changes
// without saying so.
TEST(StoreStateTest, HistoryIsBoundedAndSaysWhatItLost) {
  StoreState state;
  for (size_t i = 0; i < kMaxHistory + 10; ++i) {
    Apply(state, PutOnly("k", "v", 0));
  }
  EXPECT_EQ(state.history.size(), kMaxHistory);
  EXPECT_EQ(state.compacted_revision + 1,
            state.history.front().entry.mod_revision);
}

// Guards against JSON forms that differ from the etcd v3 gateway's.
TEST(StoreStateTest, JsonFollowsTheGateway) {
  const Txn txn = ReadTxn(nlohmann::json::parse(
      R"({"compare":[{"key":"aw==","target":"MOD","result":"EQUAL",
          "mod_revision":"0"}],
          "success":[{"request_put":{"key":"aw==","value":"dg=="}}]})"));
  StoreState state;
  EXPECT_TRUE(Apply(state, txn).succeeded);
  const nlohmann::json range = OpResultJson(state, Range(state, {"k", "", 0}));
  EXPECT_EQ(range["kvs"][0].dump(),
            R"({"create_revision":"2","key":"aw==","mod_revision":"2",)"
            R"("value":"dg==","version":"1"})");
  EXPECT_EQ(range["count"], "1");
  EXPECT_EQ(range["header"]["revision"], "2");
  EXPECT_FALSE(OpResultJson(state, Range(state, {"z"})).contains("kvs"));
}

}  // namespace
}  // namespace peridotmill::standin
