#include <gtest/gtest.h>

#include <set>
#include <string>

#include "peridotmill_core/peridotmill_core.h"

namespace peridotmill {
namespace {

// Guards against two reasons sharing one counter name in metrics.
TEST(ReasonTest, NamesAreUnique) {
  std::set<std::string_view> names;
  for (const ReasonInfo& info : AllReasons()) {
    EXPECT_TRUE(names.insert(info.name).second) << info.name;
  }
}

// Guards against a refusal that would be sent without an HTTP error status.
TEST(ReasonTest, RefusalsHaveAnErrorStatus) {
  for (const ReasonInfo& info : AllReasons()) {
    EXPECT_EQ(info.kind == ReasonKind::kRefusal, info.http_status >= 400)
        << info.name;
  }
}

// Guards against a prefix read that misses keys or reads a neighbour's keys.
TEST(StoreCallTest, PrefixEndBoundsThePrefix) {
  EXPECT_EQ(PrefixRangeEnd("actions/1/"), "actions/10");
  EXPECT_EQ(PrefixRangeEnd(std::string("a\xff")), "b");
  EXPECT_EQ(PrefixRangeEnd(std::string("\xff")), "");
}

// Guards against rendezvous hashing that moves more keys than the lost
// member's own.
TEST(HashingTest, LosingAMemberMovesOnlyItsKeys) {
  const std::string members[] = {"n1", "n2", "n3", "n4"};
  auto winner = [&](const std::string& key, int count) {
    int best = 0;
    for (int i = 1; i < count; ++i) {
      if (RendezvousScore(key, members[i]) >
          RendezvousScore(key, members[best])) {
        best = i;
      }
    }
    return best;
  };
  for (int i = 0; i < 200; ++i) {
    const std::string key = std::to_string(i);
    const int before = winner(key, 4);
    if (before != 3) {
      EXPECT_EQ(winner(key, 3), before);
    }
  }
}

// Guards against findings whose place is lost in the report.
TEST(FindingTest, ReportsFileLineObjectAndField) {
  EXPECT_EQ(ToString(Finding{{"a.yaml", 3, "Stage/x", "pool"}, "not found"}),
            "a.yaml:3: Stage/x: pool: not found");
}

}  // namespace
}  // namespace peridotmill
