#include <gtest/gtest.h>

#include <set>
#include <string>

#include "peridotmill_core/peridotmill_core.h"

namespace peridotmill {
namespace {

// Guards against two reasons that share one counter name in metrics.
TEST(ReasonTest, NamesAreUnique) {
  std::set<std::string_view> names;
  for (const ReasonInfo& info : AllReasons()) {
    EXPECT_TRUE(names.insert(info.name).second) << info.name;
  }
}

// Guards against a refusal that would be sent without an HTTP error status.
TEST(ReasonTest, OnlyRefusalsHaveAnHttpErrorStatus) {
  for (const ReasonInfo& info : AllReasons()) {
    EXPECT_EQ(info.kind == ReasonKind::kRefusal, info.http_status >= 400)
        << info.name;
  }
}

// Guards against a read by prefix that misses keys or returns keys with another
// prefix.
TEST(StoreCallTest, PrefixRangeEndEnclosesExactlyThePrefix) {
  EXPECT_EQ(PrefixRangeEnd("actions/1/"), "actions/10");
  EXPECT_EQ(PrefixRangeEnd(std::string("a\xff")), "b");
  EXPECT_EQ(PrefixRangeEnd(std::string("\xff")), "");
}

// Guards against rendezvous hashing that reassigns keys of the remaining
// members when a member is removed.
TEST(HashingTest, RemovingAMemberMovesOnlyItsKeys) {
  const std::string members[] = {"n1", "n2", "n3", "n4"};
  auto owner = [&](const std::string& key, int count) {
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
    const int before = owner(key, 4);
    if (before != 3) {
      EXPECT_EQ(owner(key, 3), before);
    }
  }
}

// Guards against reports that omit where a finding is located.
TEST(FindingTest, ReportsFileLineObjectAndField) {
  EXPECT_EQ(ToString(Finding{{"a.yaml", 3, "Stage/x", "pool"}, "not found"}),
            "a.yaml:3: Stage/x: pool: not found");
}

}  // namespace
}  // namespace peridotmill
