#include "peridotmill_gateway/requests/gateway.h"

#include <gtest/gtest.h>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using GatewayTest = GatewayFixture;
using namespace std::chrono_literals;

// Guards against sending a non-idempotent call to a second endpoint after the
// connection of the first attempt broke and the call may have run.
TEST_F(GatewayTest, DoesNotRetryANonIdempotentCallThatMayHaveRun) {
  const auto caller = Send("book");
  ASSERT_EQ(endpoint_caller_.calls.size(), 1u);
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kNoResponse);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
  EXPECT_EQ(caller->status(), 502);
}

// Guards against a response which states that the call has not run although an
// attempt may have run it.
TEST_F(GatewayTest, StatesNotRunOnlyIfNoAttemptCanHaveRun) {
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
        call.listener->OnResponseHead(FakeEndpointCaller::RefusalHead());
      }
      call.listener->OnResponseEnd(test.end);
    }
    EXPECT_EQ(caller->status(), test.status);
    EXPECT_EQ(caller->heads[0].headers.Find("Retry-After").has_value(),
              test.status == 503);
  }
}

// Guards against failing a call that was never sent while other endpoints are
// available.
TEST_F(GatewayTest, TriesAnotherEndpointWhenNothingWasSent) {
  const auto caller = Send("book");
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kNotSent);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_NE(endpoint_caller_.calls[0]->call.endpoint.id,
            endpoint_caller_.calls[1]->call.endpoint.id);
  endpoint_caller_.listener(1).OnResponseHead(
      FakeEndpointCaller::SuccessHead());
  endpoint_caller_.listener(1).OnResponseBody("ok");
  endpoint_caller_.listener(1).OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(caller->status(), 200);
  EXPECT_EQ(caller->body, "ok");
  EXPECT_EQ(gateway_.open_requests(), 0u);
}

// Guards against running an idempotent call on more endpoints than the route's
// max_attempts.
TEST_F(GatewayTest, StopsAtMaxAttempts) {
  const auto caller = Send("look");
  for (int i = 0; i < 2; ++i) {
    EndpointResponseHead head = FakeEndpointCaller::SuccessHead();
    head.status = 500;
    endpoint_caller_.listener(static_cast<size_t>(i)).OnResponseHead(head);
    endpoint_caller_.listener(static_cast<size_t>(i))
        .OnResponseEnd(HttpCallEnd::kComplete);
  }
  EXPECT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_EQ(caller->status(), 500);
}

// Guards against forwarding a response that does not carry the endpoint's
// authentication.
TEST_F(GatewayTest, RejectsResponsesThatAreNotAuthentic) {
  const auto caller = Send("book");
  EndpointResponseHead head = FakeEndpointCaller::SuccessHead();
  head.is_authentic = false;
  endpoint_caller_.listener(0).OnResponseHead(head);
  endpoint_caller_.listener(0).OnResponseBody("other bytes");
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(caller->status(), 502);
  EXPECT_EQ(caller->body.find("other bytes"), std::string::npos);
}

// Guards against a truncated non-stream response that reaches the caller as a
// complete one.
TEST_F(GatewayTest, ForwardsNothingOfATruncatedPlainResponse) {
  const auto caller = Send("book");
  endpoint_caller_.listener(0).OnResponseHead(
      FakeEndpointCaller::SuccessHead());
  endpoint_caller_.listener(0).OnResponseBody("half");
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kTruncated);
  EXPECT_EQ(caller->status(), 502);
}

// Guards against lost, duplicate or merged events when a stream moves to
// another engine.
TEST_F(GatewayTest, ResumesAStreamAfterItsLastCompleteEvent) {
  const auto caller = Send("resume");
  endpoint_caller_.listener(0).OnResponseHead(FakeEndpointCaller::StreamHead());
  endpoint_caller_.listener(0).OnResponseBody("id: 1\ndata: a\n\nid: 2\nda");
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kTruncated);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_EQ(endpoint_caller_.calls[1]->call.resume_after_event, "1");
  endpoint_caller_.listener(1).OnResponseHead(FakeEndpointCaller::StreamHead());
  endpoint_caller_.listener(1).OnResponseBody("id: 2\ndata: b\n\n");
  endpoint_caller_.listener(1).OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(caller->heads.size(), 1u);
  EXPECT_EQ(caller->body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  EXPECT_TRUE(caller->is_finished);
}

// Guards against an error response of the engine that was to resume a stream
// ending the stream as if it were complete, or becoming a part of it.
TEST_F(GatewayTest, AbortsAStreamWhoseResumptionFails) {
  for (const int status : {500, 400, 401, 204}) {
    SCOPED_TRACE(status);
    const size_t first = endpoint_caller_.calls.size();
    const auto caller = Send("resume");
    endpoint_caller_.listener(first).OnResponseHead(
        FakeEndpointCaller::StreamHead());
    endpoint_caller_.listener(first).OnResponseBody("id: 1\ndata: a\n\n");
    endpoint_caller_.listener(first).OnResponseEnd(HttpCallEnd::kTruncated);
    ASSERT_EQ(endpoint_caller_.calls.size(), first + 2);
    EndpointResponseHead head = FakeEndpointCaller::SuccessHead();
    head.status = status;
    endpoint_caller_.listener(first + 1).OnResponseHead(head);
    endpoint_caller_.listener(first + 1).OnResponseBody("error");
    endpoint_caller_.listener(first + 1).OnResponseEnd(HttpCallEnd::kComplete);
    EXPECT_EQ(caller->body, "id: 1\ndata: a\n\n");
    EXPECT_FALSE(caller->is_finished);
    EXPECT_TRUE(caller->is_aborted);
  }
}

// Guards against each node sending prompts to a crashed engine until it notices
// the crash itself. The first refused connection is reported to the
// coordinator, which then chooses other engines.
TEST_F(GatewayTest, ReportsARefusedConnectionToTheCoordinator) {
  const auto send_prompt = [&](const std::string& id) {
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
  const auto caller = send_prompt("g1");
  ASSERT_EQ(endpoint_caller_.calls.size(), 1u);
  const EndpointId failed = endpoint_caller_.calls[0]->call.endpoint.id;
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kNotSent);
  timers_.Advance(5ms);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_NE(endpoint_caller_.calls[1]->call.endpoint.id, failed);
  for (int i = 0; i < 10; ++i) {
    const auto next = send_prompt("n" + std::to_string(i));
    EXPECT_NE(endpoint_caller_.calls.back()->call.endpoint.id, failed);
  }
}

// Guards against taking the end of a rerun stage for the coordinator's response
// to the request for another engine. Both occur if an engine refuses the
// connection and the next one reports lost inputs.
TEST_F(GatewayTest, RerunsStagesForLostInputsAfterAFailedConnection) {
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
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kNotSent);
  timers_.Advance(5ms);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  endpoint_caller_.listener(1).OnResponseHead(
      FakeEndpointCaller::RefusalHead(409));
  endpoint_caller_.listener(1).OnResponseEnd(HttpCallEnd::kComplete);
  timers_.Advance(5ms);
  serve_stages(2);
  EXPECT_EQ(stage_caller_.calls.size(), 4u);
}

// Guards against a response that begins with bytes of one endpoint and
// continues with bytes of another.
TEST_F(GatewayTest, NeverMergesResponsesOfTwoEndpoints) {
  const auto caller = Send("look");
  endpoint_caller_.listener(0).OnResponseHead(
      FakeEndpointCaller::SuccessHead());
  endpoint_caller_.listener(0).OnResponseBody(std::string(100'000, 'a'));
  ASSERT_EQ(caller->status(), 200);
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kTruncated);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
  EXPECT_TRUE(caller->is_aborted);
}

// Guards against unbounded buffering of a response that never ends: a body that
// is not authentic, or a single event without an end.
TEST_F(GatewayTest, FailsResponsesThatNeverEnd) {
  constexpr size_t kMaxReceivedBytes = size_t{64} << 20;
  struct Case {
    const char* route;
    EndpointResponseHead head;
  };
  EndpointResponseHead not_authentic = FakeEndpointCaller::SuccessHead();
  not_authentic.is_authentic = false;
  for (const Case& test :
       {Case{"book", not_authentic}, Case{"chat", not_authentic},
        Case{"chat", FakeEndpointCaller::StreamHead()}}) {
    const auto caller = Send(test.route);
    const auto call = endpoint_caller_.calls.back();
    call->listener->OnResponseHead(test.head);
    const std::string chunk(16384, 'x');
    size_t received_bytes = 0;
    while (call->is_open && received_bytes < kMaxReceivedBytes) {
      call->listener->OnResponseBody(chunk);
      received_bytes += chunk.size();
    }
    EXPECT_FALSE(call->is_open) << test.route;
    EXPECT_LT(received_bytes, size_t{1} << 20) << test.route;
    EXPECT_EQ(caller->status(), 502) << test.route;
  }
}

// Guards against many endpoints that fill the memory of the node at the same
// time, each within the limits of one response, and against failing short
// responses meanwhile.
TEST_F(GatewayTest, BoundsTheBufferedBytesOfAllResponsesTogether) {
  constexpr size_t kRequests = 400;
  constexpr size_t kRounds = 12;
  constexpr size_t kMaxBufferedBytes =
      (size_t{32} << 20) + kRequests * (size_t{32} << 10);
  const std::string part(16384, 'x');
  for (const char* const route : {"chat", "look"}) {
    SCOPED_TRACE(route);
    const bool is_stream = route == std::string("chat");
    const size_t first = endpoint_caller_.calls.size();
    std::vector<std::shared_ptr<FakeCallerChannel>> callers;
    for (size_t i = 0; i < kRequests; ++i) {
      callers.push_back(Send(route));
    }
    ASSERT_EQ(endpoint_caller_.calls.size(), first + kRequests);
    for (size_t i = 0; i < kRequests; ++i) {
      EndpointResponseHead head = is_stream ? FakeEndpointCaller::StreamHead()
                                            : FakeEndpointCaller::SuccessHead();
      endpoint_caller_.listener(first + i).OnResponseHead(head);
    }
    for (size_t round = 0; round < kRounds; ++round) {
      for (size_t i = 0; i < kRequests; ++i) {
        const auto call = endpoint_caller_.calls[first + i];
        if (call->is_open) {
          call->listener->OnResponseBody(part);
        }
        EXPECT_LE(gateway_.buffered_response_bytes(), kMaxBufferedBytes);
      }
    }
    for (size_t i = 0; i < kRequests; ++i) {
      const auto call = endpoint_caller_.calls[first + i];
      if (call->is_open) {
        call->listener->OnResponseEnd(HttpCallEnd::kTruncated);
      }
    }
    timers_.Advance(10s);
    EXPECT_EQ(gateway_.buffered_response_bytes(), 0u);
  }
}

// Guards against a stream that sends comments or empty lines without end, which
// are complete events to the splitter.
TEST_F(GatewayTest, BreaksOffStreamsOfOnlyComments) {
  for (const char* const line : {":\n\n", "\n\n", ": keep-alive\r\n\r\n"}) {
    const auto caller = Send("chat");
    const auto call = endpoint_caller_.calls.back();
    call->listener->OnResponseHead(FakeEndpointCaller::StreamHead());
    std::string comments;
    while (comments.size() < 8192) {
      comments += line;
    }
    size_t received_bytes = 0;
    while (call->is_open && received_bytes < (size_t{1} << 20)) {
      call->listener->OnResponseBody("data: a\n\n" + comments);
      call->listener->OnResponseBody(comments);
      received_bytes += comments.size();
    }
    EXPECT_TRUE(call->is_open) << "an event lies between the comments";
    received_bytes = 0;
    while (call->is_open && received_bytes < (size_t{1} << 20)) {
      call->listener->OnResponseBody(comments);
      received_bytes += comments.size();
    }
    EXPECT_FALSE(call->is_open) << line;
  }
}

// Guards against unbounded buffering for a caller that does not read, and
// against ending a stream for lack of progress while the gateway has paused it.
TEST_F(GatewayTest, StopsReadingFromTheEndpointForASlowCaller) {
  const auto caller = Send("resume");
  caller->is_reading = false;
  const auto call = endpoint_caller_.calls.back();
  call->listener->OnResponseHead(FakeEndpointCaller::StreamHead());
  size_t event_count = 0;
  while (!call->is_paused && event_count < 10'000) {
    ++event_count;
    call->listener->OnResponseBody("id: " + std::to_string(event_count) +
                                   "\ndata: abc\n\n");
  }
  EXPECT_TRUE(call->is_paused);
  EXPECT_LT(caller->unsent_byte_count, 70'000u);
  timers_.Advance(5s);
  EXPECT_TRUE(call->is_open);
  caller->ReadUnsentBytes();
  EXPECT_FALSE(call->is_paused);
  call->listener->OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_TRUE(caller->is_finished);
}

// Guards against a stalled stream that stays on its engine because the engine
// still sends comments.
TEST_F(GatewayTest, CommentsDoNotCountAsProgressOfAStream) {
  const auto caller = Send("resume");
  endpoint_caller_.listener(0).OnResponseHead(FakeEndpointCaller::StreamHead());
  endpoint_caller_.listener(0).OnResponseBody("id: 1\ndata: a\n\n");
  for (int i = 0; i < 10 && endpoint_caller_.calls.size() == 1; ++i) {
    timers_.Advance(400ms);
    if (endpoint_caller_.calls.size() == 1) {
      endpoint_caller_.listener(0).OnResponseBody(": still here\n\n");
    }
  }
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_EQ(endpoint_caller_.calls[1]->call.resume_after_event, "1");
}

// Guards against moving or aborting a stream whose events are slow but arrive
// within the limit.
TEST_F(GatewayTest, KeepsASlowStreamOnItsEngine) {
  const auto caller = Send("resume");
  endpoint_caller_.listener(0).OnResponseHead(FakeEndpointCaller::StreamHead());
  for (int i = 1; i <= 6; ++i) {
    endpoint_caller_.listener(0).OnResponseBody("id: " + std::to_string(i) +
                                                "\ndata: a\n\n");
    timers_.Advance(1100ms);
  }
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
  EXPECT_TRUE(caller->is_finished);
}

// Guards against a broken stream on a route without resumption that ends as if
// it were complete.
TEST_F(GatewayTest, AbortsABrokenStreamThatIsNotResumable) {
  const auto caller = Send("chat");
  endpoint_caller_.listener(0).OnResponseHead(FakeEndpointCaller::StreamHead());
  endpoint_caller_.listener(0).OnResponseBody("id: 1\ndata: a\n\n");
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kTruncated);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
  EXPECT_TRUE(caller->is_aborted);
  EXPECT_FALSE(caller->is_finished);
}

// Guards against sending a second head in a response that has begun, for
// example when a resumed stream is refused because its stage results no longer
// exist.
TEST_F(GatewayTest, AbortsAResumedStreamThatFails) {
  const auto caller = Send("resume");
  endpoint_caller_.listener(0).OnResponseHead(FakeEndpointCaller::StreamHead());
  endpoint_caller_.listener(0).OnResponseBody("id: 1\ndata: a\n\n");
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kTruncated);
  endpoint_caller_.listener(1).OnResponseHead(
      FakeEndpointCaller::RefusalHead(409));
  endpoint_caller_.listener(1).OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(caller->heads.size(), 1u);
  EXPECT_TRUE(caller->is_aborted);
}

// Guards against attempts that continue after the caller has disconnected.
TEST_F(GatewayTest, CancelsTheAttemptWhenTheCallerDisconnects) {
  const auto caller = Send("chat");
  caller->on_caller_gone();
  EXPECT_FALSE(endpoint_caller_.calls[0]->is_open);
  EXPECT_EQ(gateway_.open_requests(), 0u);
}

// Guards against holding a request longer than its route's timeout.
TEST_F(GatewayTest, FailsAtTheRoutesTimeout) {
  const auto caller = Send("book");
  timers_.Advance(8001ms);
  EXPECT_EQ(caller->status(), 504);
  EXPECT_FALSE(endpoint_caller_.calls[0]->is_open);
}

// Guards against idempotent calls that wait for a slow endpoint while another
// one could respond in time.
TEST_F(GatewayTest, SendsAnIdempotentCallToASecondEndpointAfterATimeout) {
  const auto caller = Send("look");
  timers_.Advance(800ms);
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_FALSE(endpoint_caller_.calls[0]->is_open);
  endpoint_caller_.listener(1).OnResponseHead(
      FakeEndpointCaller::SuccessHead());
  endpoint_caller_.listener(1).OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(caller->status(), 200);
}

// Guards against wrong statuses for unknown routes and keys, a node that is
// stopping, and a node without a configuration.
TEST_F(GatewayTest, DeniesAndRefusesWithTheRightStatus) {
  EXPECT_EQ(Send("missing")->status(), 404);
  EXPECT_EQ(Send("book", "unknown")->status(), 401);
  EXPECT_EQ(Send("book", "")->status(), 401);
  gateway_.BeginStopping(clock_.Now(), clock_.Now());
  EXPECT_EQ(Send("book")->status(), 503);
  EXPECT_TRUE(endpoint_caller_.calls.empty());
  Gateway unconfigured(
      {clock_, timers_, endpoint_caller_, stage_caller_, coordinator_,
       endpoints_, retry_budget_, events_, FailureDomainId("valley")},
      3);
  FakeCallerChannel caller;
  const std::shared_ptr<FakeCallerChannel> channel =
      std::make_shared<FakeCallerChannel>();
  unconfigured.Handle(CallerRequest(), channel);
  EXPECT_EQ(channel->status(), 503);
}

// Guards against a caller that gives up for good because a node does not have a
// route or key yet that it knows to be on its way.
TEST_F(GatewayTest, DeniesNothingThatANewerConfigurationMayAllow) {
  is_configuration_outdated_ = true;
  for (const auto& channel : {Send("missing"), Send("book", "unknown")}) {
    EXPECT_EQ(channel->status(), 503);
    EXPECT_TRUE(channel->heads[0].headers.Find("Retry-After"));
  }
  EXPECT_EQ(gateway_.counters().denied, 0u);
  is_configuration_outdated_ = false;
  EXPECT_EQ(Send("missing")->status(), 404);
}

// Guards against activating a configuration that is older than the active one.
TEST_F(GatewayTest, NeverAdoptsALowerRevision) {
  const auto newer = std::make_shared<const ActiveConfiguration>(MakeConfig(7));
  const auto older = std::make_shared<const ActiveConfiguration>(MakeConfig(3));
  EXPECT_TRUE(gateway_.SetConfiguration(newer));
  EXPECT_FALSE(gateway_.SetConfiguration(older));
  EXPECT_EQ(gateway_.configuration()->config().revision, Revision(7));
}

// Guards against stages that run out of order or with wrong inputs, and against
// results that are kept after their last use.
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
  endpoint_caller_.listener(0).OnResponseHead(FakeEndpointCaller::StreamHead());
  endpoint_caller_.listener(0).OnResponseBody("id: 1\ndata: a\n\n");
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(stage_caller_.released.size(), 5u);
  EXPECT_TRUE(caller->is_finished);
}

// Guards against nodes that place prompts without knowing about each other's
// prompts: requests without stages must ask the coordinator for an engine too,
// and use it.
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
      endpoint_caller_.listener(0).OnResponseHead(
          FakeEndpointCaller::StreamHead());
    }
  }
  // The engine with the cached prefix has responded to the first prompt, which
  // ended that request's task.
  EXPECT_EQ(engines[1], engines[0]);
  EXPECT_EQ(coordinator_.task_count(), 2u);
}

// Guards against stage endpoints that run out of memory because results are
// kept for the whole duration of a stream, and against resuming a stream
// without its inputs.
TEST_F(GatewayTest, ReleasesResultsWhenTheEngineResponds) {
  const auto caller = Send("staged");
  stage_caller_.Answer(0);
  timers_.Advance(1ms);
  stage_caller_.Answer(1);
  endpoint_caller_.listener(0).OnResponseHead(FakeEndpointCaller::StreamHead());
  EXPECT_EQ(stage_caller_.released.size(), 5u);
  endpoint_caller_.listener(0).OnResponseBody("id: 1\ndata: a\n\n");
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kTruncated);
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

// Guards against a request that fails because the endpoint which produced its
// stage results no longer has them.
TEST_F(GatewayTest, RerunsStagesForLostInputs) {
  Send("staged");
  stage_caller_.Answer(0);
  timers_.Advance(1ms);
  StageResponse gone;
  gone.outcome = StageCallOutcome::kAnswered;
  gone.results.assign(3, {StageItemOutcome::kInputGone, ResultHandle()});
  stage_caller_.Answer(1, gone);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 3u);
  EXPECT_EQ(stage_caller_.calls[2]->items[0].stage, 0u);
}

// Guards against a refusal at admission whose cause cannot be found in the log:
// the line must contain the predicted and the allowed waiting time.
TEST_F(GatewayTest, LogsWhyARequestWasRefusedAtAdmission) {
  for (int i = 0; i < 12; ++i) {
    Send("staged");
  }
  const auto refused = Send("staged");
  EXPECT_EQ(refused->status(), 503);
  EXPECT_TRUE(refused->heads[0].headers.Find("Retry-After").has_value());
  EXPECT_TRUE(events_.Has("admission_refused request=q13 wait_ms="));
}

// Guards against a request whose outcome and reason cannot be found in the log
// by its id.
TEST_F(GatewayTest, LogsEachEndWithItsReason) {
  Send("book");
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kNoResponse);
  EXPECT_TRUE(events_.Has("attempt_failed request=q1 endpoint="));
  EXPECT_TRUE(
      events_.Has("request_end request=q1 route=book outcome=failed "
                  "status=502 reason=endpoint_failed revision=1"));
}

}  // namespace
}  // namespace peridotmill
