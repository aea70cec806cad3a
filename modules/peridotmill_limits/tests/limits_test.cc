#include <gtest/gtest.h>

#include <cmath>
#include <string>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_limits/peridotmill_limits.h"

namespace peridotmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

Pool MakePool(int32_t concurrency) {
  Pool pool;
  pool.concurrency = concurrency;
  return pool;
}

TeamId MakeTeamId(int number) {
  return TeamId("team" + std::to_string(number));
}

class AdaptiveLimitTest : public ::testing::TestWithParam<int> {
 protected:
  // Records one call every 20 ms. Latencies vary by a factor of three around
  // `median_ms`.
  void RecordCalls(double median_ms, int calls) {
    for (int i = 0; i < calls; ++i) {
      now_ += milliseconds(20);
      const double factor = std::exp2(1.6 * (random_.Unit() - 0.5));
      RecordLatency(limit_, 0, FromMilliseconds(median_ms * factor),
                    EffectiveLimit(limit_), now_);
    }
  }
  Random random_{static_cast<uint64_t>(GetParam())};
  AdaptiveLimit limit_ = MakeAdaptiveLimit(MakePool(8));
  TimePoint now_ = kStart;
};
INSTANTIATE_TEST_SUITE_P(Seeds, AdaptiveLimitTest, ::testing::Range(1, 11));

// Guards against random latency variation that lowers the limit of a healthy
// endpoint, and against an overloaded endpoint that keeps its limit.
TEST_P(AdaptiveLimitTest, FollowsSustainedLatencyButNotNoise) {
  RecordCalls(100, 2000);
  EXPECT_GE(EffectiveLimit(limit_), 8);
  RecordCalls(500, 500);
  EXPECT_LE(EffectiveLimit(limit_), 2);
  EXPECT_GE(EffectiveLimit(limit_), 1);
  // The higher latency becomes the new minimum after two windows.
  RecordCalls(500, 6000);
  EXPECT_GE(EffectiveLimit(limit_), 4);
}

// Guards against nodes that share an endpoint and together overload it,
// oscillate between all and none of its capacity, or leave it idle.
TEST(SharedLimitTest, NodesDivideAnEndpointByReportedLoad) {
  for (const int nodes : {2, 3, 9, 20}) {
    std::vector<AdaptiveLimit> limits(static_cast<size_t>(nodes),
                                      MakeAdaptiveLimit(MakePool(64)));
    int total = 0;
    // Each node always has more work than it may start. The endpoint reports
    // once per second.
    for (int report = 0; report < 120; ++report) {
      total = 0;
      for (const AdaptiveLimit& limit : limits) {
        total += EffectiveLimit(limit);
      }
      std::vector<int> own;
      own.reserve(limits.size());
      for (const AdaptiveLimit& limit : limits) {
        own.push_back(EffectiveLimit(limit));
      }
      for (size_t i = 0; i < limits.size(); ++i) {
        RecordOtherNodesLoad(limits[i], total - own[i]);
      }
      if (report >= 60) {
        EXPECT_GE(total, 32) << nodes << " nodes, report " << report;
        EXPECT_LE(total, 96) << nodes << " nodes, report " << report;
      }
    }
  }
}

// Guards against a limit of 0, after which no call would complete and raise the
// limit again.
TEST(SharedLimitTest, LimitIsNeverBelowOne) {
  AdaptiveLimit limit = MakeAdaptiveLimit(MakePool(2));
  for (int i = 0; i < 50; ++i) {
    RecordOverload(limit, kStart + seconds(i));
    RecordOtherNodesLoad(limit, 1000);
  }
  EXPECT_EQ(EffectiveLimit(limit), 1);
}

// Guards against a team that evades its share by sending requests through
// several nodes, and against reported use that never decays or stays after its
// node has left.
TEST(TeamSharesTest, CountsDecayedUseReportedByPeers) {
  TeamShares shares;
  for (int i = 0; i < 10; ++i) {
    AddTeamUse(shares, MakeTeamId(i), 1.0, milliseconds(1000), kStart);
  }
  EXPECT_FALSE(IsOverShare(shares, MakeTeamId(0), 1.0));
  ApplyPeerTeamUse(shares, NodeId("peer"), MakeTeamId(0), 5000, kStart);
  ApplyPeerTeamUse(shares, NodeId("peer"), MakeTeamId(0), 5000, kStart);
  EXPECT_NEAR(GetTeamUse(shares, MakeTeamId(0), kStart), 6000, 1);
  EXPECT_TRUE(IsOverShare(shares, MakeTeamId(0), 1.0));
  EXPECT_FALSE(IsOverShare(shares, MakeTeamId(0), 8.0));
  EXPECT_FALSE(IsOverShare(shares, MakeTeamId(1), 1.0));
  EXPECT_NEAR(GetTeamUse(shares, MakeTeamId(0), kStart + seconds(10)), 3000, 1);
  RemovePeerTeamUse(shares, NodeId("peer"));
  EXPECT_FALSE(IsOverShare(shares, MakeTeamId(0), 1.0));
}

// Guards against refusal of the only team that uses the pool.
TEST(TeamSharesTest, OnlyTeamIsNeverOverItsShare) {
  TeamShares shares;
  AddTeamUse(shares, MakeTeamId(0), 0.1, seconds(100), kStart);
  EXPECT_FALSE(IsOverShare(shares, MakeTeamId(0), 0.1));
}

// Guards against reports to peers that contain light teams in place of heavy
// ones.
TEST(TeamSharesTest, TopTeamUseReturnsTheHeaviestTeams) {
  TeamShares shares;
  for (int i = 0; i < 1000; ++i) {
    AddTeamUse(shares, MakeTeamId(i), 1.0, milliseconds(1 + (i * 7919) % 1000),
               kStart);
  }
  const std::vector<TeamUse> top = TopTeamUse(shares, 3, kStart);
  ASSERT_EQ(top.size(), 3U);
  EXPECT_NEAR(top[0].use, 1000, 0.1);
  EXPECT_NEAR(top[2].use, 998, 0.1);
}

// Guards against tables that grow without bound with teams or peers, and
// against scaled values that overflow or keep idle teams after a long time.
TEST(TeamSharesTest, TablesAreBoundedAndUseDecays) {
  TeamShares shares;
  TimePoint now = kStart;
  for (int i = 0; i < 100'000; ++i) {
    now += milliseconds(1);
    AddTeamUse(shares, MakeTeamId(i), 1.0, milliseconds(10), now);
    ApplyPeerTeamUse(shares, NodeId("p" + std::to_string(i % 600)),
                     MakeTeamId(i % 5000), 10, now);
  }
  EXPECT_LE(shares.teams.size(), kMaxTrackedTeams);
  EXPECT_LE(shares.peers.size(), kMaxReportingPeers);
  for (const auto& [peer, reports] : shares.peers) {
    EXPECT_LE(reports.size(), kMaxTeamsPerPeer);
  }
  for (int i = 0; i < 100; ++i) {
    now += std::chrono::hours(1);
    AddTeamUse(shares, MakeTeamId(1), 1.0, milliseconds(10), now);
  }
  RemoveIdleTeams(shares, now);
  EXPECT_EQ(shares.teams.size(), 1U);
  EXPECT_TRUE(shares.peers.empty());
  EXPECT_NEAR(GetTeamUse(shares, MakeTeamId(1), now), 10, 0.1);
  EXPECT_TRUE(std::isfinite(shares.total_use));
}

}  // namespace
}  // namespace peridotmill
