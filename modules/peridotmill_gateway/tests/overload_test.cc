// Plays loads above the capacity of stage pools that requests of three
// priorities share, and checks what the callers of each kind get.

#include <gtest/gtest.h>

#include <cmath>
#include <numbers>
#include <string>
#include <vector>

#include "peridotmill_gateway/stages/stage_coordinator.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"
#include "peridotmill_gateway/tests/simulated_fleet.h"
#include "peridotmill_gateway/tests/simulated_load.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// Three failure domains. "check" (priority 0) and "ask" (priority 2) are chains
// of three stages; "draft" (priority 1) has one stage with large results and
// "bulk" is the same with three times the items. "ask" takes two thirds of the
// work of two pools.
class OverloadTest : public testing::TestWithParam<uint64_t> {
 protected:
  OverloadTest()
      : timers_(clock_),
        fleet_(timers_),
        retry_budget_({.ratio = 0.2, .node_allowance = 20}),
        coordinator_(
            {clock_, timers_, fleet_, endpoints_, retry_budget_, events_},
            GetParam()),
        gateway_({clock_, timers_, fleet_, fleet_, coordinator_, endpoints_,
                  retry_budget_, events_, FailureDomainId("d0")},
                 GetParam()),
        load_(gateway_, clock_, timers_, GetParam()) {
    auto active = std::make_shared<const ActiveConfiguration>(MakeConfig());
    gateway_.SetConfiguration(active);
    coordinator_.SetConfiguration(active);
    for (const RouteDefinition& route : active->config().routes) {
      std::vector<int64_t> result_bytes;
      for (const StageDefinition& stage : route.stages) {
        result_bytes.push_back(stage.result_bytes);
      }
      fleet_.SetResultBytes(route.name, std::move(result_bytes));
    }
    fleet_.set_engine_times(100ms, 350ms);
    for (int i = 0; i < 15; ++i) {
      const std::string domain = "d" + std::to_string(i % 3);
      const std::string name = std::to_string(i);
      endpoints_.Put(MakeRegistration("engine" + name, "engines", domain, 64));
      for (const char* const pool : {"scan", "rank", "merge"}) {
        if (std::string(pool) == "scan" && i >= 11) {
          continue;
        }
        const auto registration =
            MakeRegistration(pool + name, pool, domain, 1);
        endpoints_.Put(registration);
        fleet_.AddStageEndpoint(registration, MakePool(pool));
      }
    }
  }

  static StagePoolDefinition MakePool(const std::string& id) {
    StagePoolDefinition pool;
    pool.call_time = 150ms;
    pool.result_retention = 4s;
    if (id == "scan") {
      pool.batch_size = 8;
      pool.item_time = 16ms;
      pool.result_capacity_bytes = 43'000'000;
    } else if (id == "rank") {
      pool.batch_size = 24;
      pool.item_time = 5400us;
      pool.result_capacity_bytes = 4'200'000;
    } else {
      pool.batch_size = 40;
      pool.item_time = 3200us;
      pool.result_capacity_bytes = 710'000;
    }
    return pool;
  }

  static GatewayConfig MakeConfig() {
    GatewayConfig config;
    config.revision = Revision(1);
    config.pools.push_back({.id = PoolId("engines"),
                            .engines = EnginePoolDefinition{
                                .slots = 64, .memory_tokens = 1'000'000}});
    for (const char* const id : {"scan", "rank", "merge"}) {
      config.pools.push_back({.id = PoolId(id), .stage = MakePool(id)});
    }
    const std::vector<StageDefinition> chain = {
        {.pool = PoolId("scan"), .after = {}, .result_bytes = 8'000},
        {.pool = PoolId("rank"), .after = {0}, .result_bytes = 60'000},
        {.pool = PoolId("merge"), .after = {1}, .result_bytes = 6'000}};
    const std::vector<StageDefinition> single = {
        {.pool = PoolId("scan"), .after = {}, .result_bytes = 3'000'000}};
    config.routes = {MakeRoute("check", 1900ms, 10s, 0, chain),
                     MakeRoute("draft", 1300ms, 15s, 1, single),
                     MakeRoute("bulk", 1300ms, 15s, 1, single),
                     MakeRoute("ask", 1700ms, 15s, 2, chain)};
    return config;
  }

  static RouteDefinition MakeRoute(const std::string& name,
                                   Duration target,
                                   Duration timeout,
                                   int priority,
                                   std::vector<StageDefinition> stages) {
    RouteDefinition route;
    route.name = name;
    route.host = "host";
    route.path_prefix = "/" + name + "/";
    route.kind = RequestKind::kStream;
    route.pools = {{PoolId("engines"), 1}};
    route.timeout = timeout;
    route.target_latency = target;
    route.priority = priority;
    route.stages = std::move(stages);
    return route;
  }

  static SimulatedKind Check(double requests_per_second) {
    return {.route = "check",
            .requests_per_second = requests_per_second,
            .target_latency = 1900ms,
            .deadline = 10s,
            .items = {1, 8, 16}};
  }
  static SimulatedKind Draft(double requests_per_second) {
    return {.route = "draft",
            .requests_per_second = requests_per_second,
            .target_latency = 1300ms,
            .deadline = 15s,
            .items = {2}};
  }
  static SimulatedKind Bulk(double requests_per_second) {
    return {.route = "bulk",
            .requests_per_second = requests_per_second,
            .target_latency = 1300ms,
            .deadline = 15s,
            .items = {6}};
  }
  static SimulatedKind Ask(double requests_per_second) {
    return {.route = "ask",
            .requests_per_second = requests_per_second,
            .target_latency = 1700ms,
            .deadline = 15s,
            .items = {1, 8, 16}};
  }

  // Sends all kinds for `duration` at `factor` times the usual rate, at which
  // the pools are busy for six tenths of the time.
  void Send(double factor, Duration duration) {
    load_.Start(Check(29 * factor), duration);
    load_.Start(Draft(23 * factor), duration);
    load_.Start(Bulk(4 * factor), duration);
    load_.Start(Ask(54 * factor), duration);
  }

  double ServedShare(const std::string& route) {
    const CallerOutcomes& outcomes = load_.outcomes(route);
    return static_cast<double>(outcomes.on_time + outcomes.late) /
           outcomes.sent;
  }
  double ServedShareOfAll() {
    int served = 0;
    int sent = 0;
    for (const char* const route : {"check", "draft", "bulk", "ask"}) {
      const CallerOutcomes& outcomes = load_.outcomes(route);
      served += outcomes.on_time + outcomes.late;
      sent += outcomes.sent;
    }
    return static_cast<double>(served) / sent;
  }

  // Checks that no kind or size starves, and that none is served less often
  // than a less urgent one.
  void ExpectNoStarvation() {
    EXPECT_GE(ServedShare("ask"), ServedShareOfAll() / 4);
    EXPECT_GE(ServedShare("bulk"), ServedShare("draft") / 2);
    EXPECT_GE(ServedShare("check"), ServedShare("ask") - 0.05);
    EXPECT_GE(ServedShare("draft"), ServedShare("ask") - 0.05);
  }

  ManualClock clock_;
  ManualTimerQueue timers_;
  SimulatedFleet fleet_;
  RecordingEvents events_;
  EndpointRegistry endpoints_;
  PoolRetryBudget retry_budget_;
  StageCoordinator coordinator_;
  Gateway gateway_;
  SimulatedLoad load_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, OverloadTest, testing::Values(1, 2, 3, 4));

// Guards against a wave above the capacity in which urgent requests wait with
// the others.
TEST_P(OverloadTest, AWaveDelaysTheLeastUrgent) {
  for (int i = 0; i < 26; ++i) {
    Send(1.3 * (1 + 0.55 * std::sin(2 * std::numbers::pi * i / 13)), 1s);
    timers_.Advance(1s);
  }
  timers_.Advance(20s);
  EXPECT_GE(load_.outcomes("check").on_time_share(), 0.9);
  EXPECT_GE(load_.outcomes("draft").on_time_share(), 0.9);
  EXPECT_GE(load_.outcomes("ask").on_time_share(), 0.5);
  ExpectNoStarvation();
}

// Guards against a burst of 1.7 times the capacity in which urgent requests are
// late, or the others are not served afterwards.
TEST_P(OverloadTest, ABurstDelaysTheLeastUrgent) {
  Send(1, 16s);
  timers_.Advance(4s);
  Send(1.9, 5s);
  timers_.Advance(32s);
  EXPECT_GE(load_.outcomes("check").on_time_share(), 0.9);
  EXPECT_GE(load_.outcomes("draft").on_time_share(), 0.9);
  EXPECT_GE(ServedShare("bulk"), 0.9);
  EXPECT_GE(ServedShare("ask"), 0.75);
  ExpectNoStarvation();
}

// Guards against urgent requests alone above the capacity, which leave nothing
// to the others for as long as they come.
TEST_P(OverloadTest, UrgentRequestsAloneAboveTheCapacityStarveNobody) {
  Send(1, 20s);
  load_.Start(Check(150), 20s);
  timers_.Advance(40s);
  EXPECT_GE(load_.outcomes("check").on_time_share(), 0.5);
  ExpectNoStarvation();
}

// Guards against requests that are held for seconds beside pools with room,
// since one of eight engine calls is slow and their start is predicted to be
// barely late.
TEST_P(OverloadTest, DoubtfulRequestsStartInPoolsWithRoom) {
  constexpr double kFastEngineCallShare = 7.0 / 8;
  fleet_.set_slow_engine_calls(8, 1100ms);
  Send(1.2, 16s);
  timers_.Advance(32s);
  for (const char* const route : {"check", "draft", "ask"}) {
    EXPECT_GE(load_.outcomes(route).on_time_share(), 0.9 * kFastEngineCallShare)
        << route;
    EXPECT_EQ(load_.outcomes(route).first_refusals, 0) << route;
  }
}

}  // namespace
}  // namespace peridotmill
