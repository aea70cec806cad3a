#include <gtest/gtest.h>

#include <cmath>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_routing/tests/routing_fixture.h"

namespace peridotmill::testing {
namespace {

using std::chrono::milliseconds;

Stage MakeStage(const char* name, int median, int p95) {
  Stage stage;
  stage.name = StageId(name);
  stage.service_time = {milliseconds(median), milliseconds(p95)};
  return stage;
}

// Guards against estimates that ignore the configured service time before the
// first samples, and against one sample that outweighs it.
TEST(ServiceTimeEstimatorTest, StartsFromThePrior) {
  ServiceTimeEstimator estimator;
  const Stage stage = MakeStage("s", 50, 200);
  RecordServiceTime(estimator, stage, 0, milliseconds(4000));
  EXPECT_NEAR(ToMilliseconds(ServiceTimeQuantile(estimator, stage, 0, 0.5)), 50,
              10);
  EXPECT_NEAR(ToMilliseconds(ServiceTimeQuantile(estimator, stage, 1, 0.95)),
              200, 20);
}

class SeededEstimateTest : public ::testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Seeds,
                         SeededEstimateTest,
                         ::testing::Range(1, kSeeds + 1));

// Guards against estimates that still reflect old samples after a stage has
// become slower or faster.
TEST_P(SeededEstimateTest, FollowsAChangeOfServiceTime) {
  Random random(static_cast<uint64_t>(GetParam()));
  ServiceTimeEstimator estimator;
  const Stage stage = MakeStage("s", 50, 200);
  for (const double median : {50.0, 500.0, 20.0}) {
    for (int i = 0; i < 150; ++i) {
      // Uniform from half the median to one and a half times it.
      RecordServiceTime(estimator, stage, 0,
                        FromMilliseconds(median * (0.5 + random.Unit())));
    }
    EXPECT_NEAR(ToMilliseconds(ServiceTimeQuantile(estimator, stage, 0, 0.5)),
                median, 0.3 * median);
  }
}

// Guards against a remaining time of a stream that is estimated from the
// elapsed time instead of the tokens still to be generated.
TEST(ServiceTimeEstimatorTest, StreamsAreEstimatedByTokens) {
  ServiceTimeEstimator estimator;
  Stage stage = MakeStage("g", 2000, 4000);
  stage.role = StageRole::kGenerate;
  for (int i = 0; i < 200; ++i) {
    RecordFirstToken(estimator, stage, 0, milliseconds(300));
    RecordStreamEnd(estimator, stage, 0, milliseconds(4000), TokenCount(100));
  }
  const auto remaining = [&](int tokens) {
    return ToMilliseconds(
        RemainingStreamTime(estimator, stage, 0, TokenCount(tokens), 0.5));
  };
  EXPECT_NEAR(ToMilliseconds(ServiceTimeQuantile(estimator, stage, 0, 0.5)),
              4300, 600);
  EXPECT_NEAR(remaining(50), 2000, 400);
  EXPECT_GE(remaining(511), 0);
  EXPECT_EQ(remaining(512), 0);
}

// A pipeline in which b and c follow a, and d follows both.
struct DiamondPipeline {
  DiamondPipeline() {
    for (const auto& [name, median] :
         {std::pair("a", 100), {"b", 200}, {"c", 50}, {"d", 100}}) {
      // The prior is narrow, so that all quantiles are close to the median.
      objects.stages[StageId(name)] = MakeStage(name, median, median + 1);
    }
    pipeline.stages = {{StageId("a"), {}},
                       {StageId("b"), {StageId("a")}},
                       {StageId("c"), {StageId("a")}},
                       {StageId("d"), {StageId("b"), StageId("c")}}};
  }
  StagePlan Plan(Duration time_left, double weight = 1.0) {
    return PlanStages(pipeline, objects, progress, estimator, weight,
                      kStart + time_left, kStart);
  }
  Pipeline pipeline;
  ObjectSet objects;
  PipelineProgress progress;
  ServiceTimeEstimator estimator;
};

// Guards against time budgets that ignore the critical path or completed
// stages.
TEST(StagePlanTest, SplitsTheTimeLeftOverTheCriticalPath) {
  DiamondPipeline diamond;
  StagePlan plan = diamond.Plan(milliseconds(800));
  EXPECT_TRUE(plan.is_feasible);
  EXPECT_NEAR(ToMilliseconds(plan.predicted), 400, 40);
  ASSERT_EQ(plan.startable.size(), 1U);
  EXPECT_NEAR(ToMilliseconds(plan.startable[0].budget), 200, 30);
  diamond.progress.completed.insert(StageId("a"));
  plan = diamond.Plan(milliseconds(600));
  ASSERT_EQ(plan.startable.size(), 2U);
  EXPECT_NEAR(ToMilliseconds(plan.startable[0].budget), 400, 40);
  EXPECT_NEAR(ToMilliseconds(plan.startable[1].budget), 200, 30);
}

// Guards against executing requests that cannot meet their deadline, and
// against counting the full service time of a stage that is running already.
TEST(StagePlanTest, FeasibilityDependsOnRemainingTime) {
  DiamondPipeline diamond;
  EXPECT_FALSE(diamond.Plan(milliseconds(300)).is_feasible);
  EXPECT_FALSE(diamond.Plan(milliseconds(-1)).is_feasible);
  diamond.progress.completed = {StageId("a"), StageId("c")};
  diamond.progress.running[StageId("b")] = {kStart - milliseconds(100), {}};
  const StagePlan plan = diamond.Plan(milliseconds(300));
  EXPECT_TRUE(plan.is_feasible);
  EXPECT_NEAR(ToMilliseconds(plan.predicted), 200, 40);
  EXPECT_TRUE(plan.startable.empty());
}

// Guards against an attainment weight that has no effect on early refusal.
TEST(StagePlanTest, LowWeightRefusesEarlier) {
  EXPECT_DOUBLE_EQ(RefusalQuantile(1.0), 0.5);
  EXPECT_DOUBLE_EQ(RefusalQuantile(0.0), 0.9);
  DiamondPipeline diamond;
  diamond.objects.stages[StageId("b")].service_time.p95 = milliseconds(800);
  EXPECT_TRUE(diamond.Plan(milliseconds(500), 1.0).is_feasible);
  EXPECT_FALSE(diamond.Plan(milliseconds(500), 0.0).is_feasible);
}

}  // namespace
}  // namespace peridotmill::testing
