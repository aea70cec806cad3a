#include <gtest/gtest.h>

#include <set>

#include "peridotmill_gateway/overload/displacement.h"
#include "peridotmill_gateway/overload/return_schedule.h"
#include "peridotmill_gateway/overload/route_competition.h"
#include "peridotmill_gateway/overload/yield_order.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart = TimePoint(1h);
const PoolId kPool("rank");
const PoolThroughputs kThroughputs = {{kPool, {.items_per_second = 100}}};

// Demand of three priorities, of which the least urgent takes most of the work.
PriorityDemands MakeDemands() {
  PriorityDemands demands;
  RecordArrival(demands, 0, 1, kStart);
  RecordArrival(demands, 1, 1, kStart);
  RecordArrival(demands, 5, 4, kStart);
  return demands;
}

WaitingRequest MakeRequest(int priority, Duration useful = 6s) {
  WaitingRequest request;
  request.submitted = kStart;
  request.latest_on_time_start = kStart - 1s;
  request.latest_useful_start = kStart + useful;
  request.priority = priority;
  request.work = {{.pool = kPool, .items = 30, .start = 280ms, .end = 560ms}};
  return request;
}

// Guards against a deployment with one priority that is served otherwise than
// before.
TEST(OverloadDecisionsTest, NothingYieldsWhereOnePriorityComes) {
  PriorityDemands demands;
  RecordArrival(demands, 1, 1, kStart);
  EXPECT_EQ(StartShare(demands, StartOutlook::kOnTime, 2), 1);
  EXPECT_EQ(StartShare(demands, StartOutlook::kLate, 0.1), 0.3);
  EXPECT_EQ(YieldDelay(demands, 1, 9, StartOutlook::kLate), 600ms);
  EXPECT_FALSE(IsBelowGuaranteedShare(demands, 1));
}

// Guards against a deployment whose teams all have the same priority and whose
// kinds compete, but are not recognised as such.
TEST(OverloadDecisionsTest, RoutesOfSeveralPrioritiesCompeteForAPool) {
  GatewayConfig config;
  config.routes.resize(2);
  for (RouteDefinition& route : config.routes) {
    route.stages = {{.pool = kPool, .after = {}, .result_bytes = 1}};
  }
  EXPECT_FALSE(DoRoutesCompeteForStages(config));
  config.routes[1].priority = 2;
  EXPECT_TRUE(DoRoutesCompeteForStages(config));
  config.routes[1].stages[0].pool = PoolId("merge");
  EXPECT_FALSE(DoRoutesCompeteForStages(config));
}

// Guards against requests that wait in calm for nobody's benefit, and against
// late ones that take the room of those which can be on time.
TEST(OverloadDecisionsTest, LateRequestsLeaveRoomOnlyUnderPressure) {
  const PriorityDemands demands = MakeDemands();
  EXPECT_GE(StartShare(demands, StartOutlook::kLate, 0.6), 0.9);
  EXPECT_LE(StartShare(demands, StartOutlook::kLate, 1.2), 0.3);
  EXPECT_GE(StartShare(demands, StartOutlook::kOnTime, 1.2), 1);
}

// Guards against an order that a large request, or one of low priority, waits
// in for ever: the delay is bounded.
TEST(OverloadDecisionsTest, LargeAndLessUrgentRequestsYieldForABoundedTime) {
  const PriorityDemands demands = MakeDemands();
  const auto delay = [&](int priority, double seconds) {
    return YieldDelay(demands, priority, seconds, StartOutlook::kOnTime);
  };
  EXPECT_EQ(delay(0, 1), 0ms);
  EXPECT_GT(delay(0, 2), delay(0, 1));
  EXPECT_GT(delay(1, 1), delay(0, 2));
  EXPECT_LE(delay(0, 1e6), 300ms);
}

// Guards against priorities, also of a team that overrides its own, of which
// nothing starts, and against a guarantee above their part of the work.
TEST(OverloadDecisionsTest, EachPriorityHasAGuaranteedShare) {
  PriorityDemands demands = MakeDemands();
  EXPECT_FALSE(IsBelowGuaranteedShare(demands, 5));
  RecordStart(demands, 0, 1, kStart);
  EXPECT_TRUE(IsBelowGuaranteedShare(demands, 5));
  RecordStart(demands, 5, 0.5, kStart);
  EXPECT_FALSE(IsBelowGuaranteedShare(demands, 5));
  EXPECT_TRUE(IsBelowGuaranteedShare(demands, 1));
}

// Guards against a pressure that lasts longer than its cause, or is seen only
// when requests wait.
TEST(OverloadDecisionsTest, PressureFollowsTheDemand) {
  PoolDemands demands;
  for (int i = 0; i < 40; ++i) {
    RecordPoolDemand(demands, {{.pool = kPool, .items = 15}},
                     kStart + i * 100ms);
  }
  EXPECT_NEAR(PoolPressure(demands, kPool, 100, kStart + 4s), 1.5, 0.2);
  EXPECT_LT(PoolPressure(demands, kPool, 100, kStart + 6s), 0.5);
}

// Guards against callers that wait for a turn which the requests that go first
// will not leave them, and against refusing one whose turn comes.
TEST(OverloadDecisionsTest, RefusesAWaitingRequestWhoseTurnComesTooLate) {
  AdmissionQueue queue;
  queue.demands = MakeDemands();
  queue.waiting.emplace(1, MakeRequest(5, 2s));
  queue.waiting.emplace(2, MakeRequest(5));
  EXPECT_TRUE(TakeDisplaced(queue, kThroughputs, kStart).empty());
  for (AdmissionId id = 3; id <= 12; ++id) {
    queue.waiting.emplace(id, MakeRequest(0));
  }
  const auto displaced = TakeDisplaced(queue, kThroughputs, kStart);
  ASSERT_EQ(displaced.size(), 1u);
  EXPECT_EQ(displaced[0].id, 1u);
  // 300 items at about 90 a second go first.
  EXPECT_GT(displaced[0].retry_after, 2s);
  EXPECT_LT(displaced[0].retry_after, 4s);
  EXPECT_FALSE(queue.waiting.contains(1));
}

// Guards against refused callers that return together and are refused again.
TEST(OverloadDecisionsTest, SpreadsReturnsOverTheTimeWithRoom) {
  ReturnSchedule schedule;
  std::set<Duration> returns;
  for (int i = 0; i < 10; ++i) {
    returns.insert(
        ReserveReturn(schedule, MakeRequest(2), kThroughputs, 1s, kStart));
  }
  EXPECT_EQ(returns.size(), 10u);
  EXPECT_EQ(*returns.begin(), 1s);
  // 30 items take 0.33 s, and new requests take part of the throughput.
  EXPECT_GT(*returns.rbegin(), 4s);
  EXPECT_EQ(
      ReserveReturn(schedule, MakeRequest(2), kThroughputs, 1s, kStart + 60s),
      1s);
}

}  // namespace
}  // namespace peridotmill
