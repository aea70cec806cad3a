#include "peridotmill_gateway/requests/gateway.h"

#include <gtest/gtest.h>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using GatewayTest = GatewayFixture;
using namespace std::chrono_literals;

// Guards against a call that is not idempotent reaching a second endpoint after
// its connection broke.
TEST_F(GatewayTest, NeverRepeatsACallThatMayHaveRun) {
  const auto caller = Send("book");
  ASSERT_EQ(endpoint_caller_.calls.size(), 1u);
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kNoResponse);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
  EXPECT_EQ(caller->status(), 502);
}

// Guards against a refusal that says "not run" after the call may have run.
TEST_F(GatewayTest, PromisesNotRunOnlyWithProof) {
  struct Case {
    HttpCallEnd end;
    bool is_refused;
    int status;
  };
  for (const Case& test : {Case{HttpCallEnd::kNoResponse, false, 502},
                           Case{HttpCallEnd::kTruncated, false, 502},
                           Case{HttpCallEnd::kComplete, true, 503}}) {
    const auto caller = Send("book");
    while (caller->heads.empty()) {
      auto& call = *endpoint_caller_.calls.back();
      if (test.is_refused) {
        call.listener->OnAnswerHead(FakeEndpointCaller::Refusal());
      }
      call.listener->OnAnswerEnd(test.end);
    }
    EXPECT_EQ(caller->status(), test.status);
    EXPECT_EQ(caller->heads[0].headers.Find("Retry-After").has_value(),
              test.status == 503);
  }
}

// Guards against giving up a call that never left although other endpoints
// live.
TEST_F(GatewayTest, TriesAnotherEndpointWhenNothingWasSent) {
  const auto caller = Send("book");
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kNotSent);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_NE(endpoint_caller_.calls[0]->call.endpoint.id,
            endpoint_caller_.calls[1]->call.endpoint.id);
  endpoint_caller_.listener(1).OnAnswerHead(FakeEndpointCaller::Success());
  endpoint_caller_.listener(1).OnAnswerBody("ok");
  endpoint_caller_.listener(1).OnAnswerEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(caller->status(), 200);
  EXPECT_EQ(caller->body, "ok");
  EXPECT_EQ(gateway_.open_requests(), 0u);
}

// Guards against running an idempotent call on more endpoints than allowed.
TEST_F(GatewayTest, KeepsToTheMostAttempts) {
  const auto caller = Send("look");
  for (int i = 0; i < 2; ++i) {
    EndpointAnswerHead head = FakeEndpointCaller::Success();
    head.status = 500;
    endpoint_caller_.listener(static_cast<size_t>(i)).OnAnswerHead(head);
    endpoint_caller_.listener(static_cast<size_t>(i))
        .OnAnswerEnd(HttpCallEnd::kComplete);
  }
  EXPECT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_EQ(caller->status(), 500);
}

// Guards against passing on an answer without the endpoint's seal.
TEST_F(GatewayTest, RejectsAnswersThatAreNotAuthentic) {
  const auto caller = Send("book");
  EndpointAnswerHead head = FakeEndpointCaller::Success();
  head.is_authentic = false;
  endpoint_caller_.listener(0).OnAnswerHead(head);
  endpoint_caller_.listener(0).OnAnswerBody("other bytes");
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(caller->status(), 502);
  EXPECT_EQ(caller->body.find("other bytes"), std::string::npos);
}

// Guards against a truncated plain answer that looks complete.
TEST_F(GatewayTest, SendsNothingOfATruncatedPlainAnswer) {
  const auto caller = Send("book");
  endpoint_caller_.listener(0).OnAnswerHead(FakeEndpointCaller::Success());
  endpoint_caller_.listener(0).OnAnswerBody("half");
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kTruncated);
  EXPECT_EQ(caller->status(), 502);
}

// Guards against lost, doubled or joined events when a stream changes engines.
TEST_F(GatewayTest, ResumesAStreamAfterItsLastWholeEvent) {
  const auto caller = Send("resume");
  endpoint_caller_.listener(0).OnAnswerHead(FakeEndpointCaller::Stream());
  endpoint_caller_.listener(0).OnAnswerBody("id: 1\ndata: a\n\nid: 2\nda");
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kTruncated);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_EQ(endpoint_caller_.calls[1]->call.resume_after_event, "1");
  endpoint_caller_.listener(1).OnAnswerHead(FakeEndpointCaller::Stream());
  endpoint_caller_.listener(1).OnAnswerBody("id: 2\ndata: b\n\n");
  endpoint_caller_.listener(1).OnAnswerEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(caller->heads.size(), 1u);
  EXPECT_EQ(caller->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_TRUE(caller->is_finished);
}

// Guards against a crashed engine that is found by one node after another: the
// coordinator is told, and gives it no further prompts.
TEST_F(GatewayTest, TellsTheCoordinatorOfAnEngineThatRefusesConnections) {
  const auto with_prompt = [&](const std::string& id) {
    CallerRequest request;
    request.id = RequestId(id);
    request.host = "host";
    request.path = "/resume/x";
    request.key = "key-1";
    request.deadline = 8s;
    request.generation = GenerationDemand{
        .prompt_tokens = 4000, .parts = {{"shared", 3000}, {"own", 1000}}};
    auto channel = std::make_shared<FakeCallerChannel>();
    gateway_.Handle(std::move(request), channel);
    timers_.Advance(5ms);
    return channel;
  };
  const auto caller = with_prompt("g1");
  ASSERT_EQ(endpoint_caller_.calls.size(), 1u);
  const EndpointId failed = endpoint_caller_.calls[0]->call.endpoint.id;
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kNotSent);
  timers_.Advance(5ms);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_NE(endpoint_caller_.calls[1]->call.endpoint.id, failed);
  for (int i = 0; i < 10; ++i) {
    const auto next = with_prompt("n" + std::to_string(i));
    EXPECT_NE(endpoint_caller_.calls.back()->call.endpoint.id, failed);
  }
}

// Guards against stages that are produced again after an engine refused the
// connection being taken for the coordinator's choice of another engine.
TEST_F(GatewayTest, ProducesLostInputsAgainAfterAFailedConnection) {
  const auto caller = Send("staged");
  const auto serve_stages = [&](size_t first) {
    timers_.Advance(5ms);
    ASSERT_GT(stage_caller_.calls.size(), first);
    stage_caller_.Answer(first);
    timers_.Advance(5ms);
    ASSERT_GT(stage_caller_.calls.size(), first + 1);
    stage_caller_.Answer(first + 1);
    timers_.Advance(5ms);
  };
  serve_stages(0);
  ASSERT_EQ(endpoint_caller_.calls.size(), 1u);
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kNotSent);
  timers_.Advance(5ms);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  endpoint_caller_.listener(1).OnAnswerHead(FakeEndpointCaller::Refusal(409));
  endpoint_caller_.listener(1).OnAnswerEnd(HttpCallEnd::kComplete);
  timers_.Advance(5ms);
  serve_stages(2);
  EXPECT_EQ(stage_caller_.calls.size(), 4u);
}

// Guards against an answer whose first part is of one endpoint and whose rest
// is of another.
TEST_F(GatewayTest, NeverJoinsAnswersOfTwoEndpoints) {
  const auto caller = Send("look");
  endpoint_caller_.listener(0).OnAnswerHead(FakeEndpointCaller::Success());
  endpoint_caller_.listener(0).OnAnswerBody(std::string(100'000, 'a'));
  ASSERT_EQ(caller->status(), 200);
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kTruncated);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
  EXPECT_TRUE(caller->is_aborted);
}

// Guards against memory filled by bytes that are no answer and have no end: a
// body without its maker's seal, and an event without an end.
TEST_F(GatewayTest, GivesUpAnswersWithoutEnd) {
  constexpr size_t kEndless = size_t{64} << 20;
  struct Case {
    const char* route;
    EndpointAnswerHead head;
  };
  EndpointAnswerHead unsealed = FakeEndpointCaller::Success();
  unsealed.is_authentic = false;
  for (const Case& test : {Case{"book", unsealed}, Case{"chat", unsealed},
                           Case{"chat", FakeEndpointCaller::Stream()}}) {
    const auto caller = Send(test.route);
    const auto call = endpoint_caller_.calls.back();
    call->listener->OnAnswerHead(test.head);
    const std::string piece(16384, 'x');
    size_t taken = 0;
    while (call->is_open && taken < kEndless) {
      call->listener->OnAnswerBody(piece);
      taken += piece.size();
    }
    EXPECT_FALSE(call->is_open) << test.route;
    EXPECT_LT(taken, size_t{1} << 20) << test.route;
    EXPECT_EQ(caller->status(), 502) << test.route;
  }
}

// Guards against memory filled by answers whose callers do not read, and
// against a paused stream that is taken for a silent one.
TEST_F(GatewayTest, LetsTheEndpointWaitForASlowCaller) {
  const auto caller = Send("resume");
  caller->is_reading = false;
  const auto call = endpoint_caller_.calls.back();
  call->listener->OnAnswerHead(FakeEndpointCaller::Stream());
  size_t sent = 0;
  while (!call->is_paused && sent < 10'000) {
    ++sent;
    call->listener->OnAnswerBody("id: " + std::to_string(sent) +
                                 "\ndata: abc\n\n");
  }
  EXPECT_TRUE(call->is_paused);
  EXPECT_LT(caller->unsent, 70'000u);
  timers_.Advance(5s);
  EXPECT_TRUE(call->is_open);
  caller->Drain();
  EXPECT_FALSE(call->is_paused);
  call->listener->OnAnswerEnd(HttpCallEnd::kComplete);
  EXPECT_TRUE(caller->is_finished);
}

// Guards against a stalled stream that looks alive because its engine sends
// comments now and then.
TEST_F(GatewayTest, CommentsDoNotKeepAStalledStream) {
  const auto caller = Send("resume");
  endpoint_caller_.listener(0).OnAnswerHead(FakeEndpointCaller::Stream());
  endpoint_caller_.listener(0).OnAnswerBody("id: 1\ndata: a\n\n");
  for (int i = 0; i < 10 && endpoint_caller_.calls.size() == 1; ++i) {
    timers_.Advance(400ms);
    if (endpoint_caller_.calls.size() == 1) {
      endpoint_caller_.listener(0).OnAnswerBody(": still here\n\n");
    }
  }
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_EQ(endpoint_caller_.calls[1]->call.resume_after_event, "1");
}

// Guards against a sound stream that is moved or cut because it is slow.
TEST_F(GatewayTest, ASlowStreamIsLeftAlone) {
  const auto caller = Send("resume");
  endpoint_caller_.listener(0).OnAnswerHead(FakeEndpointCaller::Stream());
  for (int i = 1; i <= 6; ++i) {
    endpoint_caller_.listener(0).OnAnswerBody("id: " + std::to_string(i) +
                                              "\ndata: a\n\n");
    timers_.Advance(1100ms);
  }
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
  EXPECT_TRUE(caller->is_finished);
}

// Guards against a stream that may not be resumed ending as if it were
// complete.
TEST_F(GatewayTest, CutsABrokenStreamThatMayNotBeResumed) {
  const auto caller = Send("chat");
  endpoint_caller_.listener(0).OnAnswerHead(FakeEndpointCaller::Stream());
  endpoint_caller_.listener(0).OnAnswerBody("id: 1\ndata: a\n\n");
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kTruncated);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
  EXPECT_TRUE(caller->is_aborted);
  EXPECT_FALSE(caller->is_finished);
}

// Guards against a second head within an open answer, as when a resumed stream
// is refused because its stage results are gone.
TEST_F(GatewayTest, CutsAResumedStreamThatFails) {
  const auto caller = Send("resume");
  endpoint_caller_.listener(0).OnAnswerHead(FakeEndpointCaller::Stream());
  endpoint_caller_.listener(0).OnAnswerBody("id: 1\ndata: a\n\n");
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kTruncated);
  endpoint_caller_.listener(1).OnAnswerHead(FakeEndpointCaller::Refusal(409));
  endpoint_caller_.listener(1).OnAnswerEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(caller->heads.size(), 1u);
  EXPECT_TRUE(caller->is_aborted);
}

// Guards against work that goes on for a caller who has left.
TEST_F(GatewayTest, CancelsItsAttemptWhenTheCallerLeaves) {
  const auto caller = Send("chat");
  caller->on_gone();
  EXPECT_FALSE(endpoint_caller_.calls[0]->is_open);
  EXPECT_EQ(gateway_.open_requests(), 0u);
}

// Guards against holding a request past its route's time limit.
TEST_F(GatewayTest, AnswersAtTheRoutesTimeout) {
  const auto caller = Send("book");
  timers_.Advance(8001ms);
  EXPECT_EQ(caller->status(), 504);
  EXPECT_FALSE(endpoint_caller_.calls[0]->is_open);
}

// Guards against a slow endpoint deciding the latency of idempotent calls.
TEST_F(GatewayTest, SendsAnIdempotentCallToASecondEndpointAfterSilence) {
  const auto caller = Send("look");
  timers_.Advance(800ms);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_FALSE(endpoint_caller_.calls[0]->is_open);
  endpoint_caller_.listener(1).OnAnswerHead(FakeEndpointCaller::Success());
  endpoint_caller_.listener(1).OnAnswerEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(caller->status(), 200);
}

// Guards against wrong denials: unknown routes and keys, a node without a
// configuration, and one that stops.
TEST_F(GatewayTest, DeniesAndRefusesWithTheRightStatus) {
  EXPECT_EQ(Send("missing")->status(), 404);
  EXPECT_EQ(Send("book", "unknown")->status(), 401);
  EXPECT_EQ(Send("book", "")->status(), 401);
  gateway_.StopAccepting();
  EXPECT_EQ(Send("book")->status(), 503);
  EXPECT_TRUE(endpoint_caller_.calls.empty());
  Gateway fresh({clock_, timers_, endpoint_caller_, stage_caller_, coordinator_,
                 endpoints_, repeats_, events_, FailureDomainId("valley")},
                3);
  FakeCallerChannel caller;
  const std::shared_ptr<FakeCallerChannel> channel =
      std::make_shared<FakeCallerChannel>();
  fresh.Handle(CallerRequest(), channel);
  EXPECT_EQ(channel->status(), 503);
}

// Guards against a configuration that goes back.
TEST_F(GatewayTest, NeverAdoptsALowerRevision) {
  const auto newer = std::make_shared<const ActiveConfiguration>(MakeConfig(7));
  const auto older = std::make_shared<const ActiveConfiguration>(MakeConfig(3));
  EXPECT_TRUE(gateway_.SetConfiguration(newer));
  EXPECT_FALSE(gateway_.SetConfiguration(older));
  EXPECT_EQ(gateway_.configuration()->config().revision, Revision(7));
}

// Guards against stages that run out of order, with wrong inputs, or whose
// results are kept after their last use.
TEST_F(GatewayTest, RunsStagesInOrderAndReleasesTheirResults) {
  const auto caller = Send("staged");
  ASSERT_EQ(stage_caller_.calls.size(), 1u);
  EXPECT_EQ(stage_caller_.calls[0]->items.size(), 2u);
  EXPECT_EQ(stage_caller_.calls[0]->items[0].key, "k");
  stage_caller_.Answer(0);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 2u);
  EXPECT_EQ(stage_caller_.calls[1]->items.size(), 3u);
  EXPECT_EQ(stage_caller_.calls[1]->items[0].inputs.size(), 2u);
  EXPECT_TRUE(stage_caller_.released.empty());
  stage_caller_.Answer(1);
  EXPECT_EQ(stage_caller_.released.size(), 2u);
  ASSERT_EQ(endpoint_caller_.calls.size(), 1u);
  EXPECT_EQ(endpoint_caller_.calls[0]->call.inputs->size(), 3u);
  endpoint_caller_.listener(0).OnAnswerHead(FakeEndpointCaller::Stream());
  endpoint_caller_.listener(0).OnAnswerBody("id: 1\ndata: a\n\n");
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(stage_caller_.released.size(), 5u);
  EXPECT_TRUE(caller->is_finished);
}

// Guards against nodes that each place prompts without knowing the others':
// requests without stages ask the coordinator too, and follow it.
TEST_F(GatewayTest, AsksTheCoordinatorForAnEngine) {
  CallerRequest request;
  request.id = RequestId("q1");
  request.host = "host";
  request.path = "/chat/x";
  request.key = "key-1";
  request.deadline = std::chrono::seconds(8);
  request.generation =
      GenerationDemand{"m", 17'000, 100, {{"a", 13'000}, {"b", 4'000}}};
  std::vector<EndpointId> engines;
  for (int i = 0; i < 3; ++i) {
    gateway_.Handle(request, std::make_shared<FakeCallerChannel>());
    timers_.Advance(1ms);
    request.id = RequestId("q" + std::to_string(i + 2));
    ASSERT_EQ(endpoint_caller_.calls.size(), static_cast<size_t>(i + 1));
    engines.push_back(endpoint_caller_.calls.back()->call.endpoint.id);
    if (i == 0) {
      endpoint_caller_.listener(0).OnAnswerHead(FakeEndpointCaller::Stream());
    }
  }
  // The holder of the prefix has answered the first prompt.
  EXPECT_EQ(engines[1], engines[0]);
  EXPECT_EQ(coordinator_.task_count(), 2u);
}

// Guards against makers that run short of room because results are kept for the
// whole length of a stream, and against resuming one without its inputs.
TEST_F(GatewayTest, ReleasesResultsWhenTheEngineAnswers) {
  const auto caller = Send("staged");
  stage_caller_.Answer(0);
  timers_.Advance(1ms);
  stage_caller_.Answer(1);
  endpoint_caller_.listener(0).OnAnswerHead(FakeEndpointCaller::Stream());
  EXPECT_EQ(stage_caller_.released.size(), 5u);
  endpoint_caller_.listener(0).OnAnswerBody("id: 1\ndata: a\n\n");
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kTruncated);
  timers_.Advance(1ms);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
  ASSERT_EQ(stage_caller_.calls.size(), 3u);
  stage_caller_.Answer(2);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 4u);
  stage_caller_.Answer(3);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_EQ(endpoint_caller_.calls[1]->call.inputs->size(), 3u);
  EXPECT_EQ(endpoint_caller_.calls[1]->call.resume_after_event, "1");
}

// Guards against a request that fails because results ran out at their maker.
TEST_F(GatewayTest, ProducesLostInputsAgain) {
  Send("staged");
  stage_caller_.Answer(0);
  timers_.Advance(1ms);
  StageAnswer gone;
  gone.outcome = StageCallOutcome::kAnswered;
  gone.results.assign(3, {StageItemOutcome::kInputGone, ResultHandle()});
  stage_caller_.Answer(1, gone);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 3u);
  EXPECT_EQ(stage_caller_.calls[2]->items[0].stage, 0u);
}

// Guards against a refusal whose cause cannot be found: the line names what was
// predicted and what was allowed.
TEST_F(GatewayTest, LogsWhyARequestWasRefusedAtArrival) {
  for (int i = 0; i < 12; ++i) {
    Send("staged");
  }
  const auto refused = Send("staged");
  EXPECT_EQ(refused->status(), 503);
  EXPECT_TRUE(refused->heads[0].headers.Find("Retry-After").has_value());
  EXPECT_TRUE(events_.Has("admission_refused request=q13 wait_ms="));
}

// Guards against a request without an explanation: its id leads to its outcome.
TEST_F(GatewayTest, LogsEachEndWithItsReason) {
  Send("book");
  endpoint_caller_.listener(0).OnAnswerEnd(HttpCallEnd::kNoResponse);
  EXPECT_TRUE(events_.Has("attempt_failed request=q1 endpoint="));
  EXPECT_TRUE(
      events_.Has("request_end request=q1 route=book outcome=failed "
                  "status=502 reason=endpoint_failed revision=1"));
}

}  // namespace
}  // namespace peridotmill
