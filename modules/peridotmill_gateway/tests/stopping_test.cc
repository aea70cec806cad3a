#include <gtest/gtest.h>

#include "peridotmill_gateway/estimates/completion_times.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// A gateway that has served streams of one second on the routes "chat" and
// "staged", and calls of 60 ms on "book".
class StoppingTest : public GatewayFixture {
 protected:
  StoppingTest() {
    for (int i = 0; i < 40; ++i) {
      ServeStream(Send("chat"), 1000ms);
    }
    endpoint_caller_.calls.clear();
  }

  // Runs the stages of the last request, if it has any, and streams two events.
  void ServeStream(const std::shared_ptr<FakeCallerChannel>&, Duration length) {
    EndpointCallListener& engine =
        endpoint_caller_.listener(endpoint_caller_.calls.size() - 1);
    timers_.Advance(100ms);
    engine.OnResponseHead(FakeEndpointCaller::StreamHead());
    engine.OnResponseBody("id: 1\ndata: a\n\n");
    timers_.Advance(length);
    engine.OnResponseBody("id: 2\ndata: b\n\n");
    engine.OnResponseEnd(HttpCallEnd::kComplete);
  }

  void BeginStopping(Duration time_left) {
    gateway_.BeginStopping(clock_.Now() + 2600ms, clock_.Now() + time_left);
    timers_.Advance(Duration::zero());
  }
};

// Guards against a stream that a stopping node accepts and has to cut, since it
// lasts longer than the node.
TEST_F(StoppingTest, RefusesAStreamThatOutlastsTheNode) {
  BeginStopping(7200ms);
  timers_.Advance(5000ms);
  const auto served = Send("chat");
  EXPECT_TRUE(served->heads.empty());
  timers_.Advance(1500ms);
  const auto refused = Send("chat");
  ASSERT_EQ(refused->status(), 503);
  EXPECT_TRUE(refused->heads[0].headers.Find("Retry-After"));
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
}

// Guards against refusing what a stopping node can still serve: the caller's
// next node may be about to stop too.
TEST_F(StoppingTest, ServesWhatEndsBeforeTheNode) {
  BeginStopping(7200ms);
  const auto caller = Send("chat");
  ServeStream(caller, 1000ms);
  EXPECT_EQ(caller->status(), 200);
  EXPECT_TRUE(caller->is_finished);
}

// Guards against a request that waits for its stages until the process exits,
// without a response: nobody ends the wait before its caller's deadline.
TEST_F(StoppingTest, RefusesARequestWhoseStagesTakeTooLong) {
  const auto caller = Send("staged");
  BeginStopping(7200ms);
  gateway_.RefuseUnfinishableRequests();
  EXPECT_TRUE(caller->heads.empty());
  // The stage call is not answered, and ends by its timeout after 800 ms.
  BeginStopping(1500ms);
  gateway_.RefuseUnfinishableRequests();
  EXPECT_EQ(caller->status(), 503);
  EXPECT_TRUE(caller->is_finished);
  EXPECT_EQ(gateway_.open_requests(), 0u);
}

// Guards against callers that get the end of their connection instead of a
// response when a stopping process exits.
TEST_F(StoppingTest, GivesEachOpenRequestAFinalResponse) {
  const auto call = Send("book");
  const auto waiting = Send("chat");
  const auto begun = Send("resume");
  endpoint_caller_.listener(2).OnResponseHead(FakeEndpointCaller::StreamHead());
  endpoint_caller_.listener(2).OnResponseBody("id: 1\ndata: a\n\n");
  BeginStopping(3000ms);
  timers_.Advance(3000ms);
  EXPECT_EQ(gateway_.open_requests(), 0u);
  EXPECT_EQ(call->status(), 502);
  EXPECT_EQ(waiting->status(), 502);
  EXPECT_TRUE(begun->is_aborted);
  for (const auto& sent : endpoint_caller_.calls) {
    EXPECT_FALSE(sent->is_open);
  }
}

// Guards against a caller's deadline that a stop moves to a later time.
TEST_F(StoppingTest, KeepsAnEarlierDeadline) {
  const auto caller = Send("book");
  BeginStopping(9000ms);
  timers_.Advance(8000ms);
  EXPECT_EQ(caller->status(), 504);
}

// Guards against estimates that suit one deployment's streams only.
TEST(CompletionTimesTest, FollowsTheObservedTimesOfEachRoute) {
  CompletionTimes times;
  const Duration prior = PredictOutputTime(times, "short", 0.9);
  for (int i = 0; i < 100; ++i) {
    RecordOutputTime(times, "short", 60ms);
    RecordPreparationTime(times, "short", i % 10 == 0 ? 900ms : 300ms);
  }
  EXPECT_LT(PredictOutputTime(times, "short", 0.9), 80ms);
  EXPECT_EQ(PredictOutputTime(times, "other", 0.9), prior);
  EXPECT_LT(PredictPreparationTime(times, "short", 0.5), 400ms);
  EXPECT_GT(PredictPreparationTime(times, "short", 0.99), 800ms);
}

// Guards against memory that grows with the number of routes ever seen.
TEST(CompletionTimesTest, KeepsABoundedNumberOfRoutes) {
  CompletionTimes times;
  for (size_t i = 0; i < 3 * kMaxCompletionRoutes; ++i) {
    RecordOutputTime(times, "route" + std::to_string(i), 60ms);
  }
  EXPECT_LE(times.routes.size(), kMaxCompletionRoutes);
}

}  // namespace
}  // namespace peridotmill
