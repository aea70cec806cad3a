// Plays loads against the decisions of a gateway and its coordinator in
// simulated time, and checks what the callers get.

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/stages/stage_coordinator.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"
#include "peridotmill_gateway/tests/simulated_fleet.h"
#include "peridotmill_gateway/tests/simulated_load.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

constexpr int64_t kMegabyte = 1'000'000;
// Requests a second that take a little more than half of the stage pools.
constexpr double kUsualReviews = 21;
constexpr double kUsualQueries = 57;

// Four failure domains, each with two engines and an endpoint of each stage
// pool, one of them with two. "review" is urgent and has one stage with large
// results, "query" a chain of three stages. Requests arrive in groups of three.
class LoadTest : public testing::TestWithParam<uint64_t> {
 protected:
  LoadTest()
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
    for (int i = 0; i < 4; ++i) {
      const std::string domain = "d" + std::to_string(i);
      for (const char* const id : {"a", "b"}) {
        endpoints_.Put(
            MakeRegistration("engine-" + domain + id, "engines", domain, 64));
      }
      AddStageEndpoints(domain, domain);
    }
    AddStageEndpoints("extra", "d0");
  }

  static StagePoolDefinition MakePool(const std::string& id) {
    StagePoolDefinition pool;
    pool.call_time = 200ms;
    pool.result_retention = 4s;
    if (id == "scan") {
      pool.batch_size = 18;
      pool.item_time = 9ms;
      pool.result_capacity_bytes = 40 * kMegabyte;
    } else if (id == "rank") {
      pool.batch_size = 50;
      pool.item_time = 3400us;
      pool.result_capacity_bytes = 6'700'000;
    } else {
      pool.batch_size = 84;
      pool.item_time = 2ms;
      pool.result_capacity_bytes = 1'100'000;
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
    config.routes.push_back(MakeRoute("review", 800ms, 0));
    config.routes.back().stages = {
        {.pool = PoolId("scan"), .after = {}, .result_bytes = 1'500'000}};
    config.routes.push_back(MakeRoute("query", 1900ms, 1));
    config.routes.back().stages = {
        {.pool = PoolId("scan"), .after = {}, .result_bytes = 8'000},
        {.pool = PoolId("rank"), .after = {0}, .result_bytes = 60'000},
        {.pool = PoolId("merge"), .after = {1}, .result_bytes = 6'000}};
    return config;
  }

  static RouteDefinition MakeRoute(const std::string& name,
                                   Duration target,
                                   int priority) {
    RouteDefinition route;
    route.name = name;
    route.host = "host";
    route.path_prefix = "/" + name + "/";
    route.kind = RequestKind::kStream;
    route.pools = {{PoolId("engines"), 1}};
    route.timeout = 6s;
    route.target_latency = target;
    route.priority = priority;
    return route;
  }

  static SimulatedKind Review(double requests_per_second) {
    return {.route = "review",
            .requests_per_second = requests_per_second,
            .clump = 3,
            .target_latency = 800ms,
            .deadline = 6s,
            .items = {3},
            .prompt_tokens = 9000,
            .prefix_count = 200,
            .prefix_tokens = 6000};
  }
  static SimulatedKind Query(double requests_per_second) {
    return {.route = "query",
            .requests_per_second = requests_per_second,
            .clump = 3,
            .target_latency = 1900ms,
            .deadline = 6s,
            .items = {1, 6, 10},
            .prompt_tokens = 2400,
            .prefix_count = 200,
            .prefix_tokens = 600};
  }

  void AddStageEndpoints(const std::string& name, const std::string& domain) {
    for (const char* const pool : {"scan", "rank", "merge"}) {
      const auto registration =
          MakeRegistration(std::string(pool) + "-" + name, pool, domain, 1);
      endpoints_.Put(registration);
      fleet_.AddStageEndpoint(registration, MakePool(pool));
    }
  }

  // Plays the usual load for 16 s, with a burst of `kind` for 6 s of them.
  void PlayBurst(const SimulatedKind& kind) {
    load_.Start(Review(kUsualReviews), 16s);
    load_.Start(Query(kUsualQueries), 16s);
    timers_.Advance(4s);
    load_.Start(kind, 6s);
    timers_.Advance(26s);
  }

  // Returns the items of the pool "scan" that belong to answers on time, and
  // how many there can be at most if `burst_reviews` a second come for 6 s: the
  // pool runs nothing but full calls as long as more is offered.
  double OnTimeItems() {
    return 3.0 * load_.outcomes("review").on_time +
           load_.outcomes("query").on_time;
  }
  double PossibleItems(double burst_reviews) {
    const StagePoolDefinition pool = MakePool("scan");
    const double capacity_per_second =
        5 * pool.batch_size * 1000.0 /
        ToMilliseconds(pool.call_time + pool.batch_size * pool.item_time);
    const double offered_per_second =
        3 * (kUsualReviews + burst_reviews) + kUsualQueries;
    const double offered =
        3.0 * load_.outcomes("review").sent + load_.outcomes("query").sent;
    return offered -
           6 * std::max(0.0, offered_per_second - capacity_per_second);
  }

  double CrossDomainShare() const {
    return static_cast<double>(fleet_.cross_domain_bytes()) /
           static_cast<double>(fleet_.fetched_bytes());
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

INSTANTIATE_TEST_SUITE_P(Seeds, LoadTest, testing::Values(1, 2, 3, 4));

// Guards against results that cross failure domains although the endpoints of
// the right domain could run the stages in time. Without a choice, about three
// of four bytes cross.
TEST_P(LoadTest, ResultsStayInTheirDomainAtModerateLoad) {
  load_.Start(Review(kUsualReviews), 16s);
  load_.Start(Query(kUsualQueries), 16s);
  timers_.Advance(26s);
  EXPECT_GE(load_.outcomes("review").on_time_share(), 0.999);
  EXPECT_GE(load_.outcomes("query").on_time_share(), 0.999);
  EXPECT_LE(CrossDomainShare(), 0.25);
}

// Guards against decisions that make requests late although the pools could
// serve them: a fixed reserve for the engine left urgent requests no time to
// queue, an assumed storage time kept result memory empty, and first stages
// were started only as fast as their results were expected to be fetched.
TEST_P(LoadTest, ABurstOfUrgentRequestsIsServedNearTheCapacity) {
  PlayBurst(Review(45));
  EXPECT_GE(OnTimeItems(), 0.9 * PossibleItems(45));
  // The others are served too, if late.
  EXPECT_LE(load_.outcomes("review").unserved,
            load_.outcomes("review").sent / 100);
  EXPECT_GE(load_.outcomes("query").on_time_share(), 0.95);
}

// Guards against a burst of all kinds in which the urgent ones displace the
// others.
TEST_P(LoadTest, ABurstOfAllKindsIsServedOnTime) {
  load_.Start(Review(kUsualReviews), 16s);
  load_.Start(Query(kUsualQueries), 16s);
  timers_.Advance(4s);
  load_.Start(Review(17), 6s);
  load_.Start(Query(40), 6s);
  timers_.Advance(26s);
  EXPECT_GE(load_.outcomes("review").on_time_share(), 0.9);
  EXPECT_GE(load_.outcomes("query").on_time_share(), 0.9);
}

}  // namespace
}  // namespace peridotmill
