// Tests of what endpoints ask of their clients in responses: that they leave.
#include <gtest/gtest.h>

#include <set>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kNow = TimePoint(1h);

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

class RecordedNoticesTest : public testing::Test {
 protected:
  bool RecordLeaving(const EndpointRegistration& registration,
                     TimePoint now = kNow) {
    return registry_.RecordNotice(IncarnationOf(registration),
                                  {.is_leaving = true}, now);
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
