#include "peridotmill_gateway/stages/stage_coordinator.h"

#include <gtest/gtest.h>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

class StageCoordinatorTest : public GatewayFixture, public StageTaskListener {
 protected:
  std::unique_ptr<StageTaskHandle> Submit(int items, int64_t result_bytes = 0) {
    StageTask task;
    task.request = RequestId("q" + std::to_string(++submitted_));
    task.pool = PoolId("scan");
    task.preferred_domain = FailureDomainId("valley");
    task.item_count = items;
    task.key = "k";
    task.result_bytes = result_bytes;
    task.due = clock_.Now() + 1s;
    task.deadline = clock_.Now() + 5s;
    return coordinator_.Submit(task, this);
  }
  void OnStageTaskEnd(size_t, StageTaskResult result) override {
    results_.push_back(std::move(result));
  }

  std::vector<StageTaskResult> results_;
  int submitted_ = 0;
};

// Guards against a call for each task: tasks that arrive while the endpoint
// works must share the next call.
TEST_F(StageCoordinatorTest, WaitingTasksShareTheNextCall) {
  const auto first = Submit(1);
  timers_.Advance(1ms);
  const auto second = Submit(2);
  const auto third = Submit(1);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 1u);
  stage_caller_.Answer(0);
  ASSERT_EQ(stage_caller_.calls.size(), 2u);
  EXPECT_EQ(stage_caller_.calls[1]->items.size(), 3u);
  stage_caller_.Answer(1);
  EXPECT_EQ(results_.size(), 3u);
}

// Guards against retrying items whose results exist already.
TEST_F(StageCoordinatorTest, RetriesOnlyTheFailedItems) {
  const auto task = Submit(3);
  timers_.Advance(1ms);
  StageResponse response;
  response.outcome = StageCallOutcome::kAnswered;
  response.results = {{StageItemOutcome::kDone, ResultHandle("e/0")},
                      {StageItemOutcome::kFailed, {}},
                      {StageItemOutcome::kDone, ResultHandle("e/2")}};
  stage_caller_.Answer(0, response);
  ASSERT_EQ(stage_caller_.calls.size(), 2u);
  ASSERT_EQ(stage_caller_.calls[1]->items.size(), 1u);
  EXPECT_EQ(stage_caller_.calls[1]->items[0].piece, 1u);
  stage_caller_.Answer(1);
  ASSERT_EQ(results_.size(), 1u);
  EXPECT_EQ(results_[0].handles.size(), 3u);
}

// Guards against results without a usable handle that reach the request, and
// against an endpoint that counts as sound although it sends them.
TEST_F(StageCoordinatorTest, RunsItemsWithMalformedHandlesAgain) {
  const auto task = Submit(2);
  timers_.Advance(1ms);
  StageResponse response;
  response.outcome = StageCallOutcome::kAnswered;
  response.results = {{StageItemOutcome::kDone, ResultHandle("e/0")},
                      {StageItemOutcome::kFailed, {}}};
  response.malformed_handles = 1;
  stage_caller_.Answer(0, response);
  EXPECT_TRUE(events_.Has("stage_handles_malformed pool=scan"));
  EXPECT_EQ(endpoints_.Serving(PoolId("scan"))[0]->consecutive_failures, 1);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 2u);
  EXPECT_EQ(stage_caller_.calls[1]->items[0].piece, 1u);
}

// Guards against unlimited retries.
TEST_F(StageCoordinatorTest, FailsTheTaskWhenTheRetryBudgetIsExhausted) {
  const auto task = Submit(3);
  timers_.Advance(1ms);
  for (size_t i = 0; i < 10 && results_.empty(); ++i) {
    StageResponse response;
    response.outcome = StageCallOutcome::kUnknown;
    stage_caller_.Answer(i, response);
    timers_.Advance(2s);
  }
  ASSERT_EQ(results_.size(), 1u);
  EXPECT_EQ(results_[0].outcome, StageItemOutcome::kFailed);
  EXPECT_LE(stage_caller_.calls.size(), 3u);
  EXPECT_TRUE(events_.Has("stage_repeat_refused request=q1 pool=scan"));
}

// Guards against calls whose results exceed the result memory of the endpoint.
TEST_F(StageCoordinatorTest, CountsResultMemoryUntilTheResultsAreReleased) {
  GatewayConfig config = MakeConfig(2);
  config.pools[2].stage->result_capacity_bytes = 3000;
  coordinator_.SetConfiguration(
      std::make_shared<const ActiveConfiguration>(config));
  auto first = Submit(2, 1000);
  timers_.Advance(1ms);
  const auto second = Submit(2, 1000);
  stage_caller_.Answer(0);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 2u);
  EXPECT_EQ(stage_caller_.calls[1]->items.size(), 1u);
  first.reset();
  EXPECT_EQ(stage_caller_.released.size(), 2u);
  stage_caller_.Answer(1);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 3u);
}

// Guards against a node that takes over as coordinator and sends full calls to
// endpoints which still store the results of the previous coordinator: each
// item that is rejected for lack of memory costs a retry. If one endpoint is
// short of memory, all endpoints of the pool are assumed to be.
TEST_F(StageCoordinatorTest,
       NewCoordinatorAssumesForeignResultsAtAllEndpoints) {
  GatewayConfig config = MakeConfig(2);
  config.pools[2].stage->result_capacity_bytes = 4000;
  coordinator_.SetConfiguration(
      std::make_shared<const ActiveConfiguration>(config));
  endpoints_.Put(MakeRegistration("s2", "scan", "valley", 1));
  const auto first = Submit(4, 1000);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 1u);
  StageResponse no_capacity;
  no_capacity.outcome = StageCallOutcome::kAnswered;
  no_capacity.results.resize(4);
  for (StageItemResult& result : no_capacity.results) {
    result.outcome = StageItemOutcome::kNoResultCapacity;
  }
  stage_caller_.Answer(0, no_capacity);
  timers_.Advance(500ms);
  for (size_t i = 1; i < stage_caller_.calls.size(); ++i) {
    EXPECT_LE(stage_caller_.calls[i]->items.size(), 2u);
  }
  ASSERT_GT(stage_caller_.calls.size(), 1u);
}

// Guards against counting the memory of results that their producer has deleted
// at the end of their retention, as when requests hang at a dead engine.
TEST_F(StageCoordinatorTest, ResultsTakeNoMemoryAfterTheirRetention) {
  GatewayConfig config = MakeConfig(2);
  config.pools[2].stage->result_capacity_bytes = 2000;
  coordinator_.SetConfiguration(
      std::make_shared<const ActiveConfiguration>(config));
  const auto held = Submit(2, 1000);
  timers_.Advance(1ms);
  stage_caller_.Answer(0);
  timers_.Advance(3900ms);
  const auto next = Submit(2, 1000);
  timers_.Advance(50ms);
  EXPECT_EQ(stage_caller_.calls.size(), 1u);
  timers_.Advance(200ms);
  EXPECT_EQ(stage_caller_.calls.size(), 2u);
}

// Guards against calls with items that are rejected for lack of result memory,
// after another coordinator died and left its results at the endpoint.
TEST_F(StageCoordinatorTest, LeavesMemoryForForeignResults) {
  GatewayConfig config = MakeConfig(2);
  config.pools[2].stage->result_capacity_bytes = 3000;
  coordinator_.SetConfiguration(
      std::make_shared<const ActiveConfiguration>(config));
  const auto task = Submit(2, 1000);
  timers_.Advance(1ms);
  StageResponse response;
  response.outcome = StageCallOutcome::kAnswered;
  response.results = {{StageItemOutcome::kDone, ResultHandle("e/0")},
                      {StageItemOutcome::kNoResultCapacity, {}}};
  stage_caller_.Answer(0, response);
  timers_.Advance(500ms);
  EXPECT_EQ(stage_caller_.calls.size(), 1u);
  timers_.Advance(2s);
  EXPECT_EQ(stage_caller_.calls.size(), 2u);
}

// Guards against results of a cancelled task that stay at their producer: the
// call is not cancelled, and its results are released when it ends.
TEST_F(StageCoordinatorTest, ReleasesTheResultsOfACancelledTask) {
  auto task = Submit(2);
  timers_.Advance(1ms);
  task.reset();
  EXPECT_TRUE(stage_caller_.calls[0]->is_open);
  stage_caller_.Answer(0);
  EXPECT_EQ(stage_caller_.released.size(), 2u);
  EXPECT_TRUE(results_.empty());
}

// Guards against tasks that wait for a hanging endpoint without limit.
TEST_F(StageCoordinatorTest, TimesOutACallToAHangingEndpoint) {
  const auto task = Submit(1);
  timers_.Advance(1ms);
  timers_.Advance(3s);
  EXPECT_FALSE(stage_caller_.calls[0]->is_open);
  EXPECT_GE(stage_caller_.calls.size(), 2u);
  EXPECT_TRUE(events_.Has("stage_call_failed pool=scan"));
}

// Guards against repeated calls to an endpoint that is dead or cut off, each of
// which delays its tasks for the whole call timeout.
TEST_F(StageCoordinatorTest, AvoidsAnEndpointAfterOneCallTimedOut) {
  endpoints_.Put(MakeRegistration("s2", "scan", "valley", 1));
  const auto first = Submit(1);
  timers_.Advance(1ms);
  const std::string unresponsive = stage_caller_.calls[0]->endpoint.id.value();
  // Longer than the timeout of a call with one item.
  timers_.Advance(800ms);
  std::vector<std::unique_ptr<StageTaskHandle>> tasks;
  for (size_t i = 1; i < 4; ++i) {
    ASSERT_GT(stage_caller_.calls.size(), i);
    EXPECT_NE(stage_caller_.calls[i]->endpoint.id.value(), unresponsive);
    stage_caller_.Answer(i);
    tasks.push_back(Submit(1));
    timers_.Advance(50ms);
  }
}

}  // namespace
}  // namespace peridotmill
