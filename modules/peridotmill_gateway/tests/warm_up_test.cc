// Tests of the bound on what all nodes together send to an endpoint that has
// just started and is still cold.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_core/maths/random.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/placement/prompt_placement.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"
#include "peridotmill_gateway/warm_up/warm_up_turns.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

constexpr double kRate = 6.6;
// An endpoint tolerates this many requests in a second: one and a half times
// its rate, and a few more.
constexpr size_t kMaxInASecond = 14;

// Returns the largest number of times that lie within one second.
size_t LargestNumberInASecond(std::vector<TimePoint> times) {
  std::sort(times.begin(), times.end());
  size_t largest = 0;
  size_t first = 0;
  for (size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] > 1s) {
      ++first;
    }
    largest = std::max(largest, last - first + 1);
  }
  return largest;
}

// Returns when `nodes` nodes call one endpoint within `length`, if each does so
// as soon as it may and believes that there are `assumed_nodes` nodes.
std::vector<TimePoint> CallWheneverAllowed(uint64_t endpoint,
                                           int nodes,
                                           int assumed_nodes,
                                           Duration length) {
  const TimePoint start(1h);
  std::vector<TimePoint> calls;
  for (int node = 0; node < nodes; ++node) {
    auto pool = std::make_shared<PoolWarmUp>();
    pool->requests_per_second = kRate;
    pool->callers = assumed_nodes;
    pool->node_seed = Hash64("node-" + std::to_string(node));
    WarmUp warm_up = {
        .pool = pool, .end = start + length, .endpoint_seed = endpoint};
    for (TimePoint at = NextAllowedCall(warm_up, start); at < warm_up.end;
         at = NextAllowedCall(warm_up, at + 1ms)) {
      EXPECT_TRUE(AllowsCall(warm_up, at));
      RecordWarmUpCall(warm_up, at);
      calls.push_back(at);
    }
  }
  return calls;
}

// Guards against a cold endpoint that gets more than it tolerates while every
// node of the fleet has more requests for it than it may send.
TEST(WarmUpTurnsTest, AllNodesTogetherStayWithinWhatAnEndpointTolerates) {
  for (const int nodes : {1, 9, 72, 330}) {
    size_t calls = 0;
    for (uint64_t endpoint = 0; endpoint < 200; ++endpoint) {
      const auto times = CallWheneverAllowed(Hash64(std::to_string(endpoint)),
                                             nodes, nodes, 3s);
      EXPECT_LE(LargestNumberInASecond(times), kMaxInASecond)
          << nodes << " nodes, endpoint " << endpoint;
      calls += times.size();
    }
    // The endpoints are used: by a third of their rate in the mean.
    EXPECT_GE(static_cast<double>(calls), 200 * 3 * kRate / 4) << nodes;
  }
}

// Guards against nodes that are cut off from each other, count only those on
// their side, and together send a cold endpoint twice its share.
TEST(WarmUpTurnsTest, HalvesOfAFleetStayWithinWhatAnEndpointTolerates) {
  for (uint64_t endpoint = 0; endpoint < 100; ++endpoint) {
    EXPECT_LE(LargestNumberInASecond(CallWheneverAllowed(
                  Hash64(std::to_string(endpoint)), 72, 36, 3s)),
              kMaxInASecond)
        << endpoint;
  }
}

// Guards against nodes that have just started and take the share of all the
// others, which they do not know yet.
TEST(WarmUpBoundsTest, SharesWithTheMostNodesThatWereKnownLately) {
  NodeCount count;
  const TimePoint start(1h);
  EXPECT_EQ(NodesToShareWith(count, start), 0);
  RecordNodeCount(count, 3, start);
  RecordNodeCount(count, 72, start + 1s);
  EXPECT_EQ(NodesToShareWith(count, start + 1900ms), 0);
  EXPECT_EQ(NodesToShareWith(count, start + 2s), 72);
  // The other side of a partition is missing.
  RecordNodeCount(count, 36, start + 10s);
  EXPECT_EQ(NodesToShareWith(count, start + 10s), 72);
  RecordNodeCount(count, 36, start + 69s);
  EXPECT_EQ(NodesToShareWith(count, start + 69s), 72);
  RecordNodeCount(count, 36, start + 71s);
  EXPECT_EQ(NodesToShareWith(count, start + 71s), 36);
}

// Guards against nodes that are told at once, after a calm time, that half of
// the fleet is gone, and share with the others only.
TEST(WarmUpBoundsTest, ANumberThatWasKnownUntilNowCounts) {
  NodeCount count;
  const TimePoint start(1h);
  RecordNodeCount(count, 72, start);
  RecordNodeCount(count, 36, start + 10min);
  EXPECT_EQ(NodesToShareWith(count, start + 10min), 72);
  RecordNodeCount(count, 35, start + 10min + 59s);
  EXPECT_EQ(NodesToShareWith(count, start + 10min + 59s), 72);
  RecordNodeCount(count, 36, start + 10min + 61s);
  EXPECT_EQ(NodesToShareWith(count, start + 10min + 61s), 36);
}

// Guards against a rate of a configuration that makes turns so short that nodes
// end or search them for long.
TEST(WarmUpTurnsTest, AnyRateHasTurns) {
  for (const double rate : {1e-9, 1e9, 1e12}) {
    const WarmUpTurns turns = {
        .requests_per_second = rate, .callers = 330, .seed = 7};
    const int64_t turn = TurnAt(turns, TimePoint(1h));
    EXPECT_LE(TurnStart(turns, turn), TimePoint(1h));
    EXPECT_GE(TurnStart(turns, turn + 1) - TurnStart(turns, turn), 1ms);
  }
}

class WarmUpTest : public GatewayFixture {
 protected:
  void SetBounds(int nodes) {
    GatewayConfig config = MakeConfig(2);
    for (PoolDefinition& pool : config.pools) {
      pool.warm_up =
          WarmUpDefinition{.duration = 3s, .requests_per_second = kRate};
    }
    endpoints_.SetWarmUpBounds(MakeWarmUpBounds(config, nodes, NodeId("node")));
  }
  // Makes endpoints of a pool cold.
  void Chill(const std::string& pool, const std::set<std::string>& ids) {
    for (const EndpointPtr& endpoint : endpoints_.Serving(PoolId(pool))) {
      if (ids.contains(endpoint->registration.id.value())) {
        RecordEndpointNotice(endpoints_, events_,
                             IncarnationOf(endpoint->registration),
                             {.warm_up_left = 3s}, clock_.Now());
      }
    }
  }
  // Sends requests at one moment and returns how many went to each endpoint.
  std::map<std::string, int> SendBurst(const std::string& route, int count) {
    std::map<std::string, int> arrivals;
    for (int i = 0; i < count; ++i) {
      const size_t first = endpoint_caller_.calls.size();
      Send(route);
      for (size_t j = first; j < endpoint_caller_.calls.size(); ++j) {
        ++arrivals[endpoint_caller_.calls[j]->call.endpoint.id.value()];
      }
    }
    return arrivals;
  }
};

// Guards against a burst that goes to the idle endpoints of a domain that has
// just returned, and against requests that are refused for them.
TEST_F(WarmUpTest, ABurstGoesToWarmEndpoints) {
  SetBounds(72);
  Chill("plain", {"p1", "p2"});
  EXPECT_TRUE(events_.Has("endpoint_cold endpoint=p1 ms=3000"));
  const auto arrivals = SendBurst("look", 60);
  int cold = 0;
  int all = 0;
  for (const auto& [id, count] : arrivals) {
    cold += id == "p3" ? 0 : count;
    all += count;
  }
  EXPECT_LE(cold, 2);
  EXPECT_EQ(all, 60);
  EXPECT_GE(gateway_.counters().passed_warming, 58u);
  timers_.Advance(3001ms);
  const auto later = SendBurst("look", 60);
  EXPECT_GE(later.at("p1"), 10);
}

// Guards against pools without a bound that are slowed by what their endpoints
// say of their warm-up.
TEST_F(WarmUpTest, PoolsWithoutABoundAreNotHeldBack) {
  Chill("plain", {"p1", "p2", "p3"});
  EXPECT_EQ(SendBurst("look", 30).size(), 3u);
}

// Guards against requests that wait for their deadline when all endpoints are
// cold, and against a bound that is broken when nothing else is left.
TEST_F(WarmUpTest, RefusesAtOnceBeyondTheBoundIfAllEndpointsAreCold) {
  SetBounds(1);
  Chill("plain", {"p1", "p2", "p3"});
  const auto arrivals = SendBurst("look", 10);
  for (const auto& [id, count] : arrivals) {
    EXPECT_LE(count, 1) << id;
  }
  timers_.Advance(310ms);
  EXPECT_GE(gateway_.counters().refused, 4u);
  EXPECT_EQ(gateway_.counters().failed, 0u);
  timers_.Advance(3s);
  EXPECT_GE(SendBurst("look", 10).size(), 2u);
}

// Guards against a coordinator that suggests a cold engine to many nodes.
TEST_F(WarmUpTest, CoordinatorsSuggestNoColdEngine) {
  SetBounds(1);
  Chill("engines", {"e1"});
  PromptPlacements placements;
  for (int i = 0; i < 30; ++i) {
    const EndpointPtr engine =
        PlacePrompt(placements, endpoints_.Serving(PoolId("engines")),
                    RequestId("r" + std::to_string(i)), {.tokens = 5000},
                    PromptData(), 500'000, clock_.Now());
    ASSERT_NE(engine, nullptr);
    EXPECT_EQ(engine->registration.id, EndpointId("e2"));
  }
}

// Guards against stage calls that a cold endpoint does not tolerate.
TEST_F(WarmUpTest, StageCallsKeepTheBound) {
  SetBounds(2);
  Chill("scan", {"s1"});
  std::vector<TimePoint> starts;
  for (int i = 0; i < 300; ++i) {
    Send("staged");
    timers_.Advance(10ms);
    for (; starts.size() < stage_caller_.calls.size();) {
      starts.push_back(clock_.Now());
      stage_caller_.Answer(starts.size() - 1);
    }
  }
  EXPECT_LE(LargestNumberInASecond(starts), 4u);
  EXPECT_GE(starts.size(), 1u);
}

// Guards against an endpoint that one odd statement makes cold for an hour.
TEST_F(WarmUpTest, EndsAnyWarmUpAfterTenMinutes) {
  SetBounds(72);
  endpoints_.RecordWarmUp(
      IncarnationOf(endpoints_.Serving(PoolId("plain"))[0]->registration), 1h,
      clock_.Now());
  EXPECT_EQ(endpoints_.CountWarmingEndpoints(clock_.Now() + 9min), 1u);
  EXPECT_EQ(endpoints_.CountWarmingEndpoints(clock_.Now() + 10min), 0u);
}

// Guards against a warm-up that an older statement cuts short, and against one
// that is forgotten while the registration is replaced.
TEST_F(WarmUpTest, AnOlderStatementShortensNoWarmUp) {
  SetBounds(72);
  const EndpointRegistration registration =
      endpoints_.Serving(PoolId("plain"))[0]->registration;
  Chill("plain", {"p1"});
  endpoints_.RecordWarmUp(IncarnationOf(registration), 100ms, clock_.Now());
  endpoints_.RecordWarmUp(IncarnationOf(registration), 0ms, clock_.Now());
  endpoints_.Remove(registration.id);
  endpoints_.Put(registration);
  timers_.Advance(2900ms);
  EXPECT_EQ(endpoints_.CountWarmingEndpoints(clock_.Now()), 1u);
  timers_.Advance(101ms);
  EXPECT_EQ(endpoints_.CountWarmingEndpoints(clock_.Now()), 0u);
}

}  // namespace
}  // namespace peridotmill
