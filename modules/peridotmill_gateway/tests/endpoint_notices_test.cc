// Tests of what endpoints ask of their clients in responses: that they leave,
// or that they want no requests for a time.
#include <gtest/gtest.h>

#include <set>

#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kNow = TimePoint(1h);

// Stands for a coordinator on another node. The test ends its tasks.
class FakeTaskExecutor final : public StageTaskExecutor {
 public:
  std::unique_ptr<StageTaskHandle> Submit(
      StageTask,
      StageTaskListener* listener) override {
    listeners.push_back(listener);
    return std::make_unique<StageTaskHandle>();
  }
  // Ends the last task with the choice of an engine.
  void SuggestEngine(const EndpointId& engine) {
    StageTaskResult result;
    result.outcome = StageItemOutcome::kDone;
    result.engine = engine;
    listeners.back()->OnStageTaskEnd(0, std::move(result));
  }

  std::vector<StageTaskListener*> listeners;
};

class EndpointNoticesTest : public GatewayFixture, public StageTaskListener {
 protected:
  // Completes the call at `index` with the response of an endpoint that leaves.
  void AnswerAsLeaving(size_t index, int status = 200) {
    EndpointResponseHead head = FakeEndpointCaller::SuccessHead();
    head.status = status;
    head.is_stated_not_run = status == 503;
    head.notice.is_leaving = true;
    EndpointCallListener& listener = endpoint_caller_.listener(index);
    listener.OnResponseHead(head);
    listener.OnResponseEnd(HttpCallEnd::kComplete);
  }
  // Completes the call at `index` with a 503 that asks for a hold-off.
  void AnswerWithHoldOff(size_t index, Duration hold_off) {
    EndpointResponseHead head = FakeEndpointCaller::RefusalHead();
    head.notice.hold_off = hold_off;
    EndpointCallListener& listener = endpoint_caller_.listener(index);
    listener.OnResponseHead(head);
    listener.OnResponseEnd(HttpCallEnd::kComplete);
  }
  // Makes all endpoints of the pool ask for a hold-off.
  void HoldOffPool(const std::string& pool, Duration hold_off) {
    for (const EndpointPtr& endpoint : endpoints_.Serving(PoolId(pool))) {
      endpoints_.RecordNotice(IncarnationOf(endpoint->registration),
                              {.hold_off = hold_off}, clock_.Now());
    }
  }
  // Returns the Retry-After of a response in seconds; 0 if it has none.
  static double RetryAfterSeconds(const FakeCallerChannel& caller) {
    const auto text = caller.heads.at(0).headers.Find("Retry-After");
    return text ? std::stod(std::string(*text)) : 0;
  }
  // Sends a generation to the "chat" route of a gateway whose coordinator is
  // `executor`, which then suggests `engine`. Returns the engine that is
  // called.
  EndpointId SendWithSuggestion(FakeTaskExecutor& executor,
                                const EndpointId& engine) {
    GatewayContext context{clock_,        timers_,  endpoint_caller_,
                           stage_caller_, executor, endpoints_,
                           retry_budget_, events_,  FailureDomainId("valley")};
    Gateway gateway(context, 3);
    gateway.SetConfiguration(
        std::make_shared<const ActiveConfiguration>(MakeConfig(1)));
    CallerRequest request;
    request.id = RequestId("g" + std::to_string(++submitted_));
    request.host = "host";
    request.path = "/chat/x";
    request.key = "key-1";
    request.generation =
        GenerationDemand{.prompt_tokens = 100, .parts = {{"shared", 100}}};
    gateway.Handle(std::move(request), std::make_shared<FakeCallerChannel>());
    executor.SuggestEngine(engine);
    return endpoint_caller_.calls.back()->call.endpoint.id;
  }
  const EndpointId& CalledEndpoint(size_t index) {
    return endpoint_caller_.calls.at(index)->call.endpoint.id;
  }
  // Sends requests to all endpoints of the pool of `route` that get any, and
  // returns those.
  std::set<EndpointId> FindCalledEndpoints(const std::string& route) {
    std::set<EndpointId> called;
    for (int i = 0; i < 40; ++i) {
      const size_t first = endpoint_caller_.calls.size();
      const auto caller = Send(route);
      timers_.Advance(5ms);
      for (size_t j = first; j < endpoint_caller_.calls.size(); ++j) {
        called.insert(CalledEndpoint(j));
      }
    }
    return called;
  }
  std::unique_ptr<StageTaskHandle> SubmitStageTask(Duration deadline = 5s) {
    StageTask task;
    task.request = RequestId("t" + std::to_string(++submitted_));
    task.pool = PoolId("scan");
    task.preferred_domain = FailureDomainId("valley");
    task.item_count = 1;
    task.key = "k";
    task.due = clock_.Now() + std::min<Duration>(1s, deadline);
    task.deadline = clock_.Now() + deadline;
    return coordinator_.Submit(task, this);
  }
  void OnStageTaskEnd(size_t, StageTaskResult result) override {
    stage_results_.push_back(std::move(result));
  }

  std::vector<StageTaskResult> stage_results_;
  int submitted_ = 0;
};

// Guards against requests to an endpoint that has said it leaves, whatever it
// answered, while its registration still says that it serves.
TEST_F(EndpointNoticesTest, SendsNoRequestsToALeavingEndpoint) {
  for (const int status : {200, 404, 503}) {
    endpoints_.Put(MakeRegistration("p4", "plain", "valley", 6));
    const size_t index = endpoint_caller_.calls.size();
    const auto caller = Send("look");
    const EndpointId leaving = CalledEndpoint(index);
    AnswerAsLeaving(index, status);
    EXPECT_TRUE(events_.Has("endpoint_leaving endpoint=" + leaving.value()));
    const std::set<EndpointId> called = FindCalledEndpoints("look");
    EXPECT_FALSE(called.contains(leaving)) << status;
    EXPECT_FALSE(called.empty());
  }
}

// Guards against streams that start or resume at an engine which has said that
// it leaves, and against ending its other streams.
TEST_F(EndpointNoticesTest, ResumesNoStreamAtALeavingEngine) {
  const auto leaving_stream = Send("resume");
  EndpointResponseHead head = FakeEndpointCaller::StreamHead();
  head.notice.is_leaving = true;
  const EndpointId leaving = CalledEndpoint(0);
  endpoint_caller_.listener(0).OnResponseHead(head);
  const auto other_stream = Send("resume");
  EXPECT_NE(CalledEndpoint(1), leaving);
  // The other engine breaks off, so that only the leaving one is left.
  endpoint_caller_.listener(1).OnResponseHead(FakeEndpointCaller::StreamHead());
  endpoint_caller_.listener(1).OnResponseBody("id: 1\ndata: a\n\n");
  endpoint_caller_.listener(1).OnResponseEnd(HttpCallEnd::kTruncated);
  EXPECT_EQ(endpoint_caller_.calls.size(), 2u);
  // The stream at the leaving engine goes on.
  EXPECT_TRUE(endpoint_caller_.calls[0]->is_open);
}

// Guards against stage items that are sent to an endpoint which has said that
// it leaves.
TEST_F(EndpointNoticesTest, SendsNoStageItemsToALeavingEndpoint) {
  endpoints_.Put(MakeRegistration("s2", "scan", "valley", 1));
  const auto first = SubmitStageTask();
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 1u);
  const EndpointId leaving = stage_caller_.calls[0]->endpoint.id;
  StageResponse response;
  response.outcome = StageCallOutcome::kRefused;
  response.notice.is_leaving = true;
  stage_caller_.Answer(0, response);
  std::vector<std::unique_ptr<StageTaskHandle>> tasks;
  for (size_t i = 1; i < 6; ++i) {
    timers_.Advance(200ms);
    ASSERT_GT(stage_caller_.calls.size(), i);
    EXPECT_NE(stage_caller_.calls[i]->endpoint.id, leaving);
    stage_caller_.Answer(i);
    tasks.push_back(SubmitStageTask());
  }
}

// Guards against a coordinator that has not heard that an engine leaves or is
// held off, and whose choice this node follows.
TEST_F(EndpointNoticesTest, IgnoresSuggestionsOfEnginesThatWantNoRequests) {
  FakeTaskExecutor executor;
  const EndpointId held_off("e1");
  const EndpointId other("e2");
  EXPECT_EQ(SendWithSuggestion(executor, held_off), held_off);
  const EndpointPtr engine = endpoints_.Serving(PoolId("engines"))[0];
  ASSERT_EQ(engine->registration.id, held_off);
  endpoints_.RecordNotice(IncarnationOf(engine->registration), {.hold_off = 2s},
                          clock_.Now());
  EXPECT_EQ(SendWithSuggestion(executor, held_off), other);
  timers_.Advance(2001ms);
  EXPECT_EQ(SendWithSuggestion(executor, held_off), held_off);
  endpoints_.RecordNotice(IncarnationOf(engine->registration),
                          {.is_leaving = true}, clock_.Now());
  EXPECT_EQ(SendWithSuggestion(executor, held_off), other);
}

// Guards against requests to an endpoint that has asked for none for a time,
// and against leaving it out for longer.
TEST_F(EndpointNoticesTest, SendsNoRequestsToAnEndpointDuringItsHoldOff) {
  const auto caller = Send("book");
  const EndpointId held_off = CalledEndpoint(0);
  AnswerWithHoldOff(0, 2s);
  EXPECT_TRUE(events_.Has("endpoint_held_off endpoint=" + held_off.value() +
                          " ms=2000"));
  ASSERT_EQ(endpoint_caller_.calls.size(), 2u);
  EXPECT_FALSE(FindCalledEndpoints("book").contains(held_off));
  timers_.Advance(1500ms);
  EXPECT_FALSE(FindCalledEndpoints("book").contains(held_off));
  timers_.Advance(200ms);
  EXPECT_TRUE(FindCalledEndpoints("book").contains(held_off));
}

// Guards against requests that wait, or go to endpoints that want none, when
// all endpoints are held off, and against a Retry-After with which the caller
// would be refused again.
TEST_F(EndpointNoticesTest, RefusesAtOnceWhileAllEndpointsAreHeldOff) {
  const auto first = Send("book");
  AnswerWithHoldOff(0, 3s);
  AnswerWithHoldOff(1, 2s);
  AnswerWithHoldOff(2, 4s);
  EXPECT_EQ(first->status(), 503);
  EXPECT_GE(RetryAfterSeconds(*first), 2);
  timers_.Advance(500ms);
  for (const char* const route : {"book", "look"}) {
    const auto refused = Send(route);
    EXPECT_EQ(refused->status(), 503);
    EXPECT_GE(RetryAfterSeconds(*refused), 1.5);
    EXPECT_LE(RetryAfterSeconds(*refused), 2);
  }
  HoldOffPool("engines", 1s);
  EXPECT_EQ(Send("chat")->status(), 503);
  EXPECT_EQ(endpoint_caller_.calls.size(), 3u);
  timers_.Advance(1501ms);
  const auto served = Send("book");
  ASSERT_EQ(endpoint_caller_.calls.size(), 4u);
  EXPECT_EQ(CalledEndpoint(3), CalledEndpoint(1));
}

// Guards against retries of calls that were never sent, and of slow calls, at
// an endpoint that wants no requests.
TEST_F(EndpointNoticesTest, RetriesNothingAtAnEndpointDuringItsHoldOff) {
  const auto first = Send("look");
  AnswerWithHoldOff(0, 4s);
  AnswerWithHoldOff(1, 4s);
  ASSERT_EQ(endpoint_caller_.calls.size(), 3u);
  const auto slow = Send("look");
  ASSERT_EQ(endpoint_caller_.calls.size(), 4u);
  timers_.Advance(2s);
  EXPECT_EQ(endpoint_caller_.calls.size(), 4u);
  EXPECT_TRUE(endpoint_caller_.calls[3]->is_open);
  endpoint_caller_.listener(3).OnResponseEnd(HttpCallEnd::kNotSent);
  EXPECT_EQ(endpoint_caller_.calls.size(), 4u);
  EXPECT_EQ(slow->status(), 503);
}

// Guards against retries that are charged to the budget although no endpoint is
// left to send them to, and against replacing the response of the last endpoint
// by an error of the node.
TEST_F(EndpointNoticesTest, ChargesNoRetryIfAllOtherEndpointsAreHeldOff) {
  const auto first = Send("look");
  AnswerWithHoldOff(0, 4s);
  AnswerWithHoldOff(1, 4s);
  const uint64_t repeats = gateway_.counters().repeats;
  EndpointResponseHead head = FakeEndpointCaller::SuccessHead();
  head.status = 500;
  endpoint_caller_.listener(2).OnResponseHead(head);
  endpoint_caller_.listener(2).OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(first->status(), 500);
  const auto refused = Send("look");
  endpoint_caller_.listener(3).OnResponseHead(
      FakeEndpointCaller::RefusalHead());
  endpoint_caller_.listener(3).OnResponseEnd(HttpCallEnd::kComplete);
  EXPECT_EQ(refused->status(), 503);
  EXPECT_EQ(gateway_.counters().repeats, repeats);
}

// Guards against stages that run for a request whose engines accept nothing
// before its deadline.
TEST_F(EndpointNoticesTest, RunsNoStagesIfNoEngineAcceptsTheRequestInTime) {
  HoldOffPool("engines", 7s);
  EXPECT_EQ(Send("staged")->status(), 0);
  EXPECT_EQ(stage_caller_.calls.size(), 1u);
  HoldOffPool("engines", 9s);
  const auto refused = Send("staged");
  EXPECT_EQ(refused->status(), 503);
  EXPECT_GE(RetryAfterSeconds(*refused), 9);
  EXPECT_EQ(stage_caller_.calls.size(), 1u);
}

// Guards against stages that run for a request whose later stage has no
// endpoint that accepts its items in time.
TEST_F(EndpointNoticesTest, RunsNoStagesIfALaterStageIsHeldOffForTooLong) {
  HoldOffPool("rank", 1s);
  EXPECT_EQ(Send("staged")->status(), 0);
  EXPECT_EQ(stage_caller_.calls.size(), 1u);
  stage_caller_.Answer(0);
  HoldOffPool("rank", 7s);
  const auto refused = Send("staged");
  ASSERT_EQ(refused->status(), 503);
  EXPECT_GT(RetryAfterSeconds(*refused), 0);
  EXPECT_EQ(stage_caller_.calls.size(), 1u);
}

// Guards against stage items that are sent to an endpoint which wants none for
// a time, and against tasks that wait for it although they would miss their
// deadline.
TEST_F(EndpointNoticesTest, StageTasksWaitForTheEndOfAHoldOffOrAreRefused) {
  const auto first = SubmitStageTask(5s);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_caller_.calls.size(), 1u);
  const auto urgent = SubmitStageTask(1s);
  StageResponse response;
  response.outcome = StageCallOutcome::kRefused;
  response.notice.hold_off = 2s;
  stage_caller_.Answer(0, response);
  timers_.Advance(1ms);
  ASSERT_EQ(stage_results_.size(), 1u);
  EXPECT_EQ(stage_results_[0].outcome, StageItemOutcome::kRefused);
  EXPECT_GE(stage_results_[0].retry_after, 1990ms);
  const auto late = SubmitStageTask(1s);
  timers_.Advance(40ms);
  ASSERT_EQ(stage_results_.size(), 2u);
  EXPECT_EQ(stage_results_[1].outcome, StageItemOutcome::kRefused);
  timers_.Advance(1950ms);
  EXPECT_EQ(stage_caller_.calls.size(), 1u);
  timers_.Advance(60ms);
  ASSERT_EQ(stage_caller_.calls.size(), 2u);
  stage_caller_.Answer(1);
  ASSERT_EQ(stage_results_.size(), 3u);
  EXPECT_EQ(stage_results_[2].outcome, StageItemOutcome::kDone);
}

// Guards against an engine in its hold-off that is chosen because the others
// fail or do not respond.
TEST_F(EndpointNoticesTest, PrefersFailingEndpointsToThoseHeldOff) {
  const auto& engines = endpoints_.Serving(PoolId("engines"));
  engines[0]->ejected_until = clock_.Now() + 10s;
  engines[1]->held_off_until = clock_.Now() + 10s;
  Random random(1);
  PromptPlacements placements;
  const PromptDemand prompt{.pool = PoolId("engines"), .tokens = 100};
  EXPECT_EQ(ChooseEndpoint(engines, {}, 1s, clock_.Now(), random), engines[0]);
  EXPECT_EQ(PreviewEngine(placements, engines, prompt, {}, clock_.Now()),
            engines[0]);
  engines[0]->held_off_until = clock_.Now() + 10s;
  EXPECT_EQ(ChooseEndpoint(engines, {}, 1s, clock_.Now(), random), nullptr);
  EXPECT_EQ(PreviewEngine(placements, engines, prompt, {}, clock_.Now()),
            nullptr);
}

class RecordedNoticesTest : public testing::Test {
 protected:
  bool RecordLeaving(const EndpointRegistration& registration,
                     TimePoint now = kNow) {
    return registry_
        .RecordNotice(IncarnationOf(registration), {.is_leaving = true}, now)
        .is_leaving;
  }
  bool RecordHoldOff(Duration hold_off, TimePoint now) {
    return registry_
        .RecordNotice(IncarnationOf(registration_), {.hold_off = hold_off}, now)
        .is_held_off;
  }
  bool IsRegisteredHeldOff(TimePoint now) const {
    return IsHeldOff(*registry_.Serving(PoolId("p")).at(0), now);
  }
  bool IsServing() const { return !registry_.Serving(PoolId("p")).empty(); }

  EndpointRegistry registry_;
  EndpointRegistration registration_ = MakeRegistration("a", "p", "valley");
};

// Guards against an endpoint that gets requests again because its registration
// expired and returned, as when the store is unavailable, or was changed.
TEST_F(RecordedNoticesTest, LeavingOutlastsTheRegistration) {
  registry_.Put(registration_);
  EXPECT_TRUE(RecordLeaving(registration_));
  EXPECT_FALSE(RecordLeaving(registration_));
  EXPECT_FALSE(IsServing());
  registration_.slots = 7;
  registry_.Put(registration_);
  EXPECT_FALSE(IsServing());
  registry_.Remove(registration_.id);
  registry_.Put(registration_);
  EXPECT_FALSE(IsServing());
  registry_.ReplaceAll({});
  registry_.ReplaceAll({registration_});
  EXPECT_FALSE(IsServing());
}

// Guards against avoiding an endpoint that has started again, and against a
// late response of the earlier process that makes the new one count as leaving.
TEST_F(RecordedNoticesTest, RestartedEndpointServesAgain) {
  const EndpointRegistration before = registration_;
  registry_.Put(registration_);
  RecordLeaving(before);
  registration_.started_at_ms = 5;
  registry_.Put(registration_);
  EXPECT_TRUE(IsServing());
  RecordLeaving(before);
  EXPECT_TRUE(IsServing());
  RecordLeaving(registration_);
  EXPECT_FALSE(IsServing());
  registration_.address = "b:80";
  registry_.Put(registration_);
  EXPECT_TRUE(IsServing());
}

// Guards against an endpoint that gets requests during its hold-off because its
// registration expired and returned, or because it asked for less time in a
// response that arrived later; and against a hold-off that concerns the next
// process.
TEST_F(RecordedNoticesTest, HoldOffOutlastsTheRegistration) {
  registry_.Put(registration_);
  EXPECT_TRUE(RecordHoldOff(10s, kNow));
  EXPECT_FALSE(RecordHoldOff(2s, kNow + 1s));
  registry_.Remove(registration_.id);
  registry_.Put(registration_);
  EXPECT_TRUE(IsRegisteredHeldOff(kNow + 9s));
  EXPECT_FALSE(IsRegisteredHeldOff(kNow + 10s));
  EXPECT_EQ(registry_.HeldOffUntil(IncarnationOf(registration_)), kNow + 10s);
  EXPECT_TRUE(RecordHoldOff(2s, kNow + 11s));
  registration_.started_at_ms = 5;
  registry_.Put(registration_);
  EXPECT_FALSE(IsRegisteredHeldOff(kNow + 12s));
}

// Guards against memory that grows with each endpoint that ever left.
TEST_F(RecordedNoticesTest, ForgetsOldNoticesAndTheOldestBeyondTheLimit) {
  RecordLeaving(registration_);
  for (int i = 0; i < 4095; ++i) {
    RecordLeaving(MakeRegistration(std::to_string(i), "p", "valley"),
                  kNow + 1s);
  }
  registry_.Put(registration_);
  EXPECT_FALSE(IsServing());
  registry_.Remove(registration_.id);
  RecordLeaving(MakeRegistration("b", "p", "valley"), kNow + 2s);
  registry_.Put(registration_);
  EXPECT_TRUE(IsServing());
  RecordLeaving(MakeRegistration("c", "p", "valley"), kNow + 61min);
  EXPECT_TRUE(
      RecordLeaving(MakeRegistration("b", "p", "valley"), kNow + 61min));
}

}  // namespace
}  // namespace peridotmill
