#include <gtest/gtest.h>

#include "peridotmill_gateway/estimates/completion_times.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// A gateway that has served 40 streams of one second on the route "resume".
class StoppingTest : public GatewayFixture {
 protected:
  StoppingTest() {
    for (int i = 0; i < 40; ++i) {
      Send("resume");
      ServeStream(1000ms);
    }
    endpoint_caller_.calls.clear();
  }

  // Streams two events, `length` apart, in response to the last call.
  void ServeStream(Duration length) {
    EndpointCallListener& engine =
        endpoint_caller_.listener(endpoint_caller_.calls.size() - 1);
    timers_.Advance(100ms);
    engine.OnResponseHead(FakeEndpointCaller::StreamHead());
    engine.OnResponseBody("id: 1\ndata: a\n\n");
    timers_.Advance(length);
    engine.OnResponseBody("id: 2\ndata: b\n\n");
    engine.OnResponseEnd(HttpCallEnd::kComplete);
  }

  // Begins a stop; the load balancer removes the node after `until_removed`.
  void BeginStopping(Duration time_left, Duration until_removed = 8000ms) {
    gateway_.BeginStopping(clock_.Now() + until_removed,
                           clock_.Now() + time_left);
    timers_.Advance(Duration::zero());
  }
};

// Guards against a stream that a stopping node accepts and has to cut, since it
// lasts longer than the node.
TEST_F(StoppingTest, RefusesAStreamThatOutlastsTheNode) {
  BeginStopping(7200ms);
  timers_.Advance(5000ms);
  const auto served = Send("resume");
  EXPECT_TRUE(served->heads.empty());
  timers_.Advance(1500ms);
  const auto refused = Send("resume");
  ASSERT_EQ(refused->status(), 503);
  EXPECT_TRUE(refused->heads[0].headers.Find("Retry-After"));
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
}

// Guards against refusing what a stopping node can still serve: the caller's
// next node may be about to stop too.
TEST_F(StoppingTest, ServesWhatEndsBeforeTheNode) {
  BeginStopping(7200ms);
  const auto caller = Send("resume");
  ServeStream(1000ms);
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
  BeginStopping(1500ms);
  gateway_.RefuseUnfinishableRequests();
  EXPECT_EQ(caller->status(), 503);
  EXPECT_TRUE(caller->is_finished);
  EXPECT_EQ(gateway_.open_requests(), 0u);
}

// Guards against a stopping node that cuts more of the streams which cannot be
// resumed at another node.
TEST_F(StoppingTest, IsStricterWithStreamsThatCannotBeResumed) {
  for (int i = 0; i < 50; ++i) {
    for (const char* const route : {"chat", "resume"}) {
      Send(route);
      ServeStream(i % 20 == 0 ? 5000ms : 500ms);
    }
  }
  endpoint_caller_.calls.clear();
  BeginStopping(7200ms);
  timers_.Advance(2500ms);
  EXPECT_TRUE(Send("resume")->heads.empty());
  EXPECT_EQ(Send("chat")->status(), 503);
}

// Guards against streams that are cut although their callers came late: nothing
// bounds how long a stream lasts.
TEST_F(StoppingTest, BeginsNoStreamAfterTheNodeWasRemoved) {
  BeginStopping(7200ms, 2600ms);
  timers_.Advance(2599ms);
  EXPECT_TRUE(Send("resume")->heads.empty());
  timers_.Advance(1ms);
  EXPECT_EQ(Send("resume")->status(), 503);
  EXPECT_TRUE(Send("book")->heads.empty());
}

// Guards against estimates that take an engine's quick errors for short
// streams.
TEST_F(StoppingTest, ErrorsAreNoObservationsOfStreams) {
  for (int i = 0; i < 20; ++i) {
    Send("resume");
    ServeStream(5000ms);
    EndpointResponseHead error;
    error.status = 404;
    error.is_authentic = true;
    for (int j = 0; j < 10; ++j) {
      Send("resume");
      EndpointCallListener& engine =
          endpoint_caller_.listener(endpoint_caller_.calls.size() - 1);
      engine.OnResponseHead(error);
      engine.OnResponseEnd(HttpCallEnd::kComplete);
    }
  }
  BeginStopping(7200ms);
  timers_.Advance(2500ms);
  EXPECT_EQ(Send("resume")->status(), 503);
}

// Guards against estimates that leave out the stages before the engine.
TEST_F(StoppingTest, RefusesARequestWhoseStagesUsuallyTakeTooLong) {
  size_t answered = 0;
  for (int i = 0; i < 30; ++i) {
    Send("staged");
    for (int stage = 0; stage < 2; ++stage) {
      while (stage_caller_.calls.size() == answered) {
        timers_.Advance(10ms);
      }
      timers_.Advance(170ms);
      stage_caller_.Answer(answered++);
    }
    timers_.Advance(10ms);
    ServeStream(100ms);
  }
  endpoint_caller_.calls.clear();
  BeginStopping(7200ms);
  timers_.Advance(6000ms);
  EXPECT_TRUE(Send("staged")->heads.empty());
  timers_.Advance(600ms);
  const auto refused = Send("staged");
  EXPECT_EQ(refused->status(), 503);
  EXPECT_NE(refused->body.find("shutting_down"), std::string::npos);
  EXPECT_TRUE(endpoint_caller_.calls.empty());
}

// Guards against a request that is accepted during the stop and outlives it
// after all: the estimate was wrong.
TEST_F(StoppingTest, EndsRequestsThatWereAcceptedDuringTheStop) {
  BeginStopping(7200ms);
  timers_.Advance(4000ms);
  const auto caller = Send("resume");
  EXPECT_TRUE(caller->heads.empty());
  timers_.Advance(3200ms);
  EXPECT_EQ(caller->status(), 502);
  EXPECT_EQ(gateway_.open_requests(), 0u);
}

// Guards against needless refusals by a node that has served a route rarely.
TEST_F(StoppingTest, ServesShortCallsOfRoutesThatWereNotObserved) {
  BeginStopping(7200ms, 2600ms);
  timers_.Advance(3000ms);
  EXPECT_TRUE(Send("book")->heads.empty());
}

// Guards against a call that a stopping node begins although it has a little
// less time than such calls take, so that its caller never learns whether it
// has run.
TEST_F(StoppingTest, RefusesACallThatTakesSlightlyLongerThanItHas) {
  constexpr Duration kCallTime = 3200ms;
  for (int i = 0; i < 60; ++i) {
    Send("book");
    EndpointCallListener& endpoint =
        endpoint_caller_.listener(endpoint_caller_.calls.size() - 1);
    timers_.Advance(kCallTime);
    endpoint.OnResponseHead(FakeEndpointCaller::SuccessHead());
    endpoint.OnResponseEnd(HttpCallEnd::kComplete);
  }
  for (const Duration missing : {200ms, 50ms, 1ms}) {
    BeginStopping(kCallTime - missing);
    EXPECT_EQ(Send("book")->status(), 503) << missing.count();
  }
  BeginStopping(kCallTime + 400ms);
  EXPECT_TRUE(Send("book")->heads.empty());
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
  const RouteDefinition observed = {.name = "short"};
  const RouteDefinition other = {.name = "other"};
  const Duration prior = PredictOutputTime(times, observed, 0.9);
  for (int i = 0; i < 100; ++i) {
    RecordOutputTime(times, observed, 60ms);
    RecordPreparationTime(times, observed, i % 10 == 0 ? 900ms : 300ms);
  }
  EXPECT_LT(PredictOutputTime(times, observed, 0.9), 80ms);
  EXPECT_EQ(PredictOutputTime(times, other, 0.9), prior);
  EXPECT_LT(PredictPreparationTime(times, observed, 0.5), 400ms);
  EXPECT_GT(PredictPreparationTime(times, observed, 0.99), 800ms);
}

// Guards against memory that grows with the number of routes ever seen.
TEST(CompletionTimesTest, KeepsABoundedNumberOfRoutes) {
  CompletionTimes times;
  for (size_t i = 0; i < 3 * kMaxCompletionRoutes; ++i) {
    RecordOutputTime(times, {.name = "route" + std::to_string(i)}, 60ms);
  }
  EXPECT_LE(times.routes.size(), kMaxCompletionRoutes);
}

}  // namespace
}  // namespace peridotmill
