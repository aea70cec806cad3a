#include <gtest/gtest.h>

#include "peridotmill_core/attempts/attempt_outcome.h"
#include "peridotmill_gateway/requests/attempt_history.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// A resumable stream that follows two stages. Its engine has sent one event, so
// that the results of the stages are released.
class StreamTakeoverTest : public GatewayFixture {
 protected:
  // An engine that sends nothing for longer than this is silent.
  static constexpr Duration kSilence = 1250ms;

  StreamTakeoverTest() {
    caller_ = Send("staged");
    ServeStages(0);
    engine().OnResponseHead(FakeEndpointCaller::StreamHead());
    engine().OnResponseBody("id: 1\ndata: a\n\n");
  }

  // Answers both stages; `first` is the number of stage calls before.
  void ServeStages(size_t first) {
    for (size_t i = first; i < first + 2; ++i) {
      timers_.Advance(1ms);
      ASSERT_EQ(stage_caller_.calls.size(), i + 1);
      stage_caller_.Answer(i);
    }
  }
  // Refuses the call with which another engine is to take over.
  void RefuseTakeover() {
    ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
    endpoint_caller_.listener(1).OnResponseHead(
        FakeEndpointCaller::RefusalHead());
    endpoint_caller_.listener(1).OnResponseEnd(HttpCallEnd::kComplete);
  }
  void SpendRetryBudget() {
    while (retry_budget_.TryTakeRetries(PoolId("engines"), 1, clock_.Now())) {
    }
  }
  EndpointCallListener& engine() { return endpoint_caller_.listener(0); }
  bool IsEngineInUse() const { return endpoint_caller_.calls[0]->is_open; }
  void EndStream(EndpointCallListener& engine) {
    engine.OnResponseBody("id: 2\ndata: b\n\n");
    engine.OnResponseEnd(HttpCallEnd::kComplete);
  }

  std::shared_ptr<FakeCallerChannel> caller_;
};

// Guards against a stream without an engine for as long as its stages run
// again.
TEST_F(StreamTakeoverTest, KeepsASilentEngineUntilAnotherOneTakesOver) {
  timers_.Advance(kSilence);
  EXPECT_TRUE(IsEngineInUse());
  ServeStages(2);
  EXPECT_FALSE(IsEngineInUse());
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_EQ(endpoint_caller_.calls[1]->call.resume_after_event, "1");
  EXPECT_EQ(endpoint_caller_.calls[1]->call.inputs->size(), 3u);
}

// Guards against a stream that is cut because the retry budget of its stages is
// spent, although its engine goes on.
TEST_F(StreamTakeoverTest, ASpentRetryBudgetEndsNoStream) {
  ASSERT_TRUE(retry_budget_.TryTakeRetries(PoolId("scan"), 4, clock_.Now()));
  timers_.Advance(kSilence);
  ASSERT_TRUE(IsEngineInUse());
  EndStream(engine());
  EXPECT_TRUE(caller_->is_finished);
  EXPECT_EQ(caller_->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against a stream that is cut because its stages fail when they run
// again, although its engine goes on.
TEST_F(StreamTakeoverTest, AFailedStageEndsNoStream) {
  timers_.Advance(kSilence);
  ASSERT_EQ(stage_caller_.calls.size(), 3u);
  StageResponse response;
  response.outcome = StageCallOutcome::kAnswered;
  response.results.assign(2, {StageItemOutcome::kLate, ResultHandle()});
  stage_caller_.Answer(2, response);
  timers_.Advance(1ms);
  ASSERT_FALSE(caller_->is_aborted);
  ASSERT_TRUE(IsEngineInUse());
  EndStream(engine());
  EXPECT_TRUE(caller_->is_finished);
}

// Guards against a stream that is cut because no other engine accepts it when
// its stages have run again.
TEST_F(StreamTakeoverTest, ALostReplacementEndsNoStream) {
  const EndpointId used = endpoint_caller_.calls[0]->call.endpoint.id;
  timers_.Advance(kSilence);
  endpoints_.Remove(EndpointId(used == EndpointId("e1") ? "e2" : "e1"));
  ServeStages(2);
  ASSERT_FALSE(caller_->is_aborted);
  ASSERT_TRUE(IsEngineInUse());
  EndStream(engine());
  EXPECT_TRUE(caller_->is_finished);
}

// Guards against a second engine for a stream whose first one goes on, and
// against results of stages that nobody fetches.
TEST_F(StreamTakeoverTest, AnEngineThatGoesOnKeepsItsStream) {
  timers_.Advance(kSilence);
  ASSERT_EQ(stage_caller_.calls.size(), 3u);
  stage_caller_.Answer(2);
  const size_t released = stage_caller_.released.size();
  engine().OnResponseBody("id: 2\ndata: b\n\n");
  timers_.Advance(1ms);
  EXPECT_EQ(stage_caller_.released.size(), released + 2);
  timers_.Advance(500ms);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
  engine().OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_TRUE(caller_->is_finished);
}

// Guards against a stream that is cut, or whose stages run a third time,
// because its silent engine fails before the stages have run again.
TEST_F(StreamTakeoverTest, ASilentEngineMayFailBeforeTheTakeover) {
  timers_.Advance(kSilence);
  ASSERT_EQ(stage_caller_.calls.size(), 3u);
  ASSERT_TRUE(IsEngineInUse());
  engine().OnResponseEnd(HttpCallEnd::kTruncated);
  ServeStages(2);
  EXPECT_EQ(stage_caller_.calls.size(), 4u);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  endpoint_caller_.listener(1).OnResponseHead(FakeEndpointCaller::StreamHead());
  EndStream(endpoint_caller_.listener(1));
  EXPECT_TRUE(caller_->is_finished);
}

// Guards against a stream that is cut because the engine that is to take over
// refuses it while the retry budget is spent.
TEST_F(StreamTakeoverTest, ARefusedTakeoverIsTriedAgain) {
  endpoints_.Put(MakeRegistration("e3", "engines", "valley"));
  timers_.Advance(kSilence);
  ServeStages(2);
  SpendRetryBudget();
  RefuseTakeover();
  timers_.Advance(300ms);
  ASSERT_FALSE(caller_->is_aborted);
  EXPECT_EQ(endpoint_caller_.calls.size(), 2u);
  retry_budget_.set_settings({.ratio = 0.2, .node_allowance = 10});
  timers_.Advance(200ms);
  ASSERT_EQ(endpoint_caller_.calls.size(), 3u);
  endpoint_caller_.listener(2).OnResponseHead(FakeEndpointCaller::StreamHead());
  EndStream(endpoint_caller_.listener(2));
  EXPECT_TRUE(caller_->is_finished);
}

// Guards against a stream that is cut because all engines but the silent one
// refuse it.
TEST_F(StreamTakeoverTest, ARefusedStreamGoesOnAtItsSilentEngine) {
  timers_.Advance(kSilence);
  ServeStages(2);
  RefuseTakeover();
  endpoints_.Remove(endpoint_caller_.calls[1]->call.endpoint.id);
  timers_.Advance(150ms);
  ASSERT_EQ(endpoint_caller_.calls.size(), 3u);
  EXPECT_EQ(endpoint_caller_.calls[2]->call.endpoint.id,
            endpoint_caller_.calls[0]->call.endpoint.id);
  EXPECT_EQ(endpoint_caller_.calls[2]->call.resume_after_event, "1");
  EXPECT_FALSE(caller_->is_aborted);
}

// Guards against a stopping node that cuts a stream whose silent engine was
// given up before, without looking for another one.
TEST_F(StreamTakeoverTest, ARefusedTakeoverIsTriedAgainDuringAStop) {
  endpoints_.Put(MakeRegistration("e3", "engines", "valley"));
  timers_.Advance(kSilence);
  ServeStages(2);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  gateway_.BeginStopping(clock_.Now() + 500ms, clock_.Now() + 1500ms);
  SpendRetryBudget();
  RefuseTakeover();
  retry_budget_.set_settings({.ratio = 0.2, .node_allowance = 10});
  timers_.Advance(200ms);
  EXPECT_FALSE(caller_->is_aborted);
  EXPECT_EQ(endpoint_caller_.calls.size(), 3u);
}

// Guards against a stream that waits for an engine after its caller has given
// it up.
TEST_F(StreamTakeoverTest, ARefusedTakeoverIsNotTriedForLong) {
  timers_.Advance(kSilence);
  ServeStages(2);
  SpendRetryBudget();
  RefuseTakeover();
  // Four times the target latency after the last event.
  timers_.Advance(2600ms);
  EXPECT_FALSE(caller_->is_aborted);
  timers_.Advance(200ms);
  EXPECT_TRUE(caller_->is_aborted);
}

// Guards against a long stream whose stages count as late when they run again,
// since its caller waited for the first event only until then.
TEST_F(StreamTakeoverTest, ALongStreamIsResumedWhenItsEngineFails) {
  for (int id = 2; id <= 5; ++id) {
    timers_.Advance(1000ms);
    engine().OnResponseBody("id: " + std::to_string(id) + "\ndata: a\n\n");
  }
  engine().OnResponseEnd(HttpCallEnd::kTruncated);
  ServeStages(2);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_EQ(endpoint_caller_.calls[1]->call.resume_after_event, "5");
  EXPECT_FALSE(caller_->is_aborted);
}

// Guards against a stopping node that gives up an engine although it may exit
// before another one has finished the stream.
TEST_F(StreamTakeoverTest, AStoppingNodeMovesNoStream) {
  gateway_.BeginStopping(clock_.Now() + 2600ms, clock_.Now() + 7200ms);
  timers_.Advance(kSilence);
  EXPECT_TRUE(IsEngineInUse());
  EXPECT_EQ(stage_caller_.calls.size(), 2u);
}

// Guards against the same if the stop begins while the stages run again.
TEST_F(StreamTakeoverTest, AStopEndsAPreparedTakeover) {
  timers_.Advance(kSilence);
  ASSERT_EQ(stage_caller_.calls.size(), 3u);
  gateway_.BeginStopping(clock_.Now() + 2600ms, clock_.Now() + 7200ms);
  ServeStages(2);
  EXPECT_TRUE(IsEngineInUse());
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
}

// Guards against a stream that is sent again to an engine which has failed,
// while its silent one is alive.
TEST(AttemptHistoryTest, AllowsNoFailedEndpointAgain) {
  AttemptHistory history;
  history.Add(EndpointId("silent"), AttemptOutcome::kOutcomeUnknown);
  history.Add(EndpointId("refusing"), AttemptOutcome::kRefused);
  history.Add(EndpointId("failed"), AttemptOutcome::kOutcomeUnknown);
  history.AllowAgain(EndpointId("silent"));
  EXPECT_EQ(history.tried(), std::vector<EndpointId>{EndpointId("failed")});
  EXPECT_EQ(history.attempts(), 3);
  EXPECT_EQ(history.possible_runs(), 2);
}

}  // namespace
}  // namespace peridotmill
