#include "peridotmill_gateway/stages/stage_coordinator.h"

#include <gtest/gtest.h>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

class StageCoordinatorTest : public GatewayFixture, public StageTaskListener {
 protected:
  std::unique_ptr<OpenStageTask> Submit(int items, int64_t result_bytes = 0) {
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

// Guards against a call for each task: tasks gather while the endpoint works.
TEST_F(StageCoordinatorTest, TasksShareTheNextCall) {
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

// Guards against repeating items that are there already.
TEST_F(StageCoordinatorTest, RepeatsOnlyWhatIsMissing) {
  const auto task = Submit(3);
  timers_.Advance(1ms);
  StageAnswer answer;
  answer.outcome = StageCallOutcome::kAnswered;
  answer.results = {{StageItemOutcome::kDone, ResultHandle("e/0")},
                    {StageItemOutcome::kFailed, {}},
                    {StageItemOutcome::kDone, ResultHandle("e/2")}};
  stage_caller_.Answer(0, answer);
  ASSERT_EQ(stage_caller_.calls.size(), 2u);
  ASSERT_EQ(stage_caller_.calls[1]->items.size(), 1u);
  EXPECT_EQ(stage_caller_.calls[1]->items[0].piece, 1u);
  stage_caller_.Answer(1);
  ASSERT_EQ(results_.size(), 1u);
  EXPECT_EQ(results_[0].handles.size(), 3u);
}

// Guards against repeats without end.
TEST_F(StageCoordinatorTest, FailsTheTaskWhenTheBudgetIsSpent) {
  const auto task = Submit(3);
  timers_.Advance(1ms);
  for (size_t i = 0; i < 10 && results_.empty(); ++i) {
    StageAnswer answer;
    answer.outcome = StageCallOutcome::kUnknown;
    stage_caller_.Answer(i, answer);
    timers_.Advance(2s);
  }
  ASSERT_EQ(results_.size(), 1u);
  EXPECT_EQ(results_[0].outcome, StageItemOutcome::kFailed);
  EXPECT_LE(stage_caller_.calls.size(), 3u);
  EXPECT_TRUE(events_.Has("stage_repeat_refused request=q1 pool=scan"));
}

// Guards against calls whose results find no room at their maker.
TEST_F(StageCoordinatorTest, CountsTheRoomOfResultsUntilTheyAreReleased) {
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

// Guards against a node that takes over as coordinator and fills makers which
// hold the results of the one before: each item that finds no room costs a
// repeat, and one maker that is short of room speaks for all.
TEST_F(StageCoordinatorTest, ANewCoordinatorLeavesRoomAtAllMakers) {
  GatewayConfig config = MakeConfig(2);
  config.pools[2].stage->result_capacity_bytes = 4000;
  coordinator_.SetConfiguration(
      std::make_shared<const ActiveConfiguration>(config));
  endpoints_.Put(MakeRegistration("s2", "scan", "valley", 1));
  const auto first = Submit(4, 1000);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 1u);
  StageAnswer no_room;
  no_room.outcome = StageCallOutcome::kAnswered;
  no_room.results.resize(4);
  for (StageItemResult& result : no_room.results) {
    result.outcome = StageItemOutcome::kNoRoom;
  }
  stage_caller_.Answer(0, no_room);
  timers_.Advance(500ms);
  for (size_t i = 1; i < stage_caller_.calls.size(); ++i) {
    EXPECT_LE(stage_caller_.calls[i]->items.size(), 2u);
  }
  ASSERT_GT(stage_caller_.calls.size(), 1u);
}

// Guards against counting the room of results that their maker has dropped, as
// when requests hang at a dead engine.
TEST_F(StageCoordinatorTest, ResultsTakeNoRoomAfterTheirRetention) {
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

// Guards against filling calls with items that find no room, after another
// coordinator died and left its results behind.
TEST_F(StageCoordinatorTest, LeavesRoomThatUnknownResultsTake) {
  GatewayConfig config = MakeConfig(2);
  config.pools[2].stage->result_capacity_bytes = 3000;
  coordinator_.SetConfiguration(
      std::make_shared<const ActiveConfiguration>(config));
  const auto task = Submit(2, 1000);
  timers_.Advance(1ms);
  StageAnswer answer;
  answer.outcome = StageCallOutcome::kAnswered;
  answer.results = {{StageItemOutcome::kDone, ResultHandle("e/0")},
                    {StageItemOutcome::kNoRoom, {}}};
  stage_caller_.Answer(0, answer);
  timers_.Advance(500ms);
  EXPECT_EQ(stage_caller_.calls.size(), 1u);
  timers_.Advance(2s);
  EXPECT_EQ(stage_caller_.calls.size(), 2u);
}

// Guards against results of an abandoned task that stay at their maker: the
// call goes on, and its results are released when their handles are known.
TEST_F(StageCoordinatorTest, ReleasesTheResultsOfAnAbandonedTask) {
  auto task = Submit(2);
  timers_.Advance(1ms);
  task.reset();
  EXPECT_TRUE(stage_caller_.calls[0]->is_open);
  stage_caller_.Answer(0);
  EXPECT_EQ(stage_caller_.released.size(), 2u);
  EXPECT_TRUE(results_.empty());
}

// Guards against a hanging endpoint that keeps its tasks.
TEST_F(StageCoordinatorTest, GivesUpACallThatTakesFarTooLong) {
  const auto task = Submit(1);
  timers_.Advance(1ms);
  timers_.Advance(3s);
  EXPECT_FALSE(stage_caller_.calls[0]->is_open);
  EXPECT_GE(stage_caller_.calls.size(), 2u);
  EXPECT_TRUE(events_.Has("stage_call_failed pool=scan"));
}

// Guards against call after call to an endpoint that is dead or cut off, each
// of which holds its tasks for the whole time limit.
TEST_F(StageCoordinatorTest, AvoidsAnEndpointAfterOneSilentCall) {
  endpoints_.Put(MakeRegistration("s2", "scan", "valley", 1));
  const auto first = Submit(1);
  timers_.Advance(1ms);
  const std::string silent = stage_caller_.calls[0]->endpoint.id.value();
  // Past the time limit of a call with one item.
  timers_.Advance(800ms);
  std::vector<std::unique_ptr<OpenStageTask>> tasks;
  for (size_t i = 1; i < 4; ++i) {
    ASSERT_GT(stage_caller_.calls.size(), i);
    EXPECT_NE(stage_caller_.calls[i]->endpoint.id.value(), silent);
    stage_caller_.Answer(i);
    tasks.push_back(Submit(1));
    timers_.Advance(50ms);
  }
}

}  // namespace
}  // namespace peridotmill
