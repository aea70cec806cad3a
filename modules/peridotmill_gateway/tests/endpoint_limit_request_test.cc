#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// A gateway whose plain pool has named limits. The test hands out permits.
class EndpointLimitRequestTest : public GatewayFixture {
 protected:
  EndpointLimitRequestTest() {
    for (const EndpointPtr& endpoint : endpoints_.Serving(PoolId("plain"))) {
      endpoints_.RecordNotice(
          IncarnationOf(endpoint->registration),
          {.is_from_endpoint = true, .limit = RequestRate{1}}, clock_.Now());
    }
  }
  void Grant(Endpoint& endpoint) {
    endpoint.permits.push_back(clock_.Now() + 1s);
  }
  Endpoint& First() { return *endpoints_.Serving(PoolId("plain")).front(); }
  void ExpectPermitsIn(Duration delay) {
    for (const EndpointPtr& endpoint : endpoints_.Serving(PoolId("plain"))) {
      endpoint->next_permit_at = clock_.Now() + delay;
    }
  }
};

// Guards against a refusal while a permit is on its way.
TEST_F(EndpointLimitRequestTest, WaitsForAPermitThatIsExpectedSoon) {
  const auto caller = Send("book");
  timers_.Advance(30ms);
  EXPECT_TRUE(caller->heads.empty());
  EXPECT_TRUE(endpoint_caller_.calls.empty());
  Grant(First());
  timers_.Advance(30ms);
  ASSERT_EQ(endpoint_caller_.calls.size(), 1u);
  EXPECT_TRUE(First().permits.empty());
}

// Guards against callers that wait although no permit is to be expected, and
// are told to come back too early.
TEST_F(EndpointLimitRequestTest, RefusesAtOnceIfNoPermitIsExpectedSoon) {
  ExpectPermitsIn(2s);
  const auto caller = Send("book");
  EXPECT_EQ(caller->status(), 503);
  EXPECT_GE(
      std::stod(std::string(*caller->heads[0].headers.Find("Retry-After"))), 2);
  EXPECT_TRUE(endpoint_caller_.calls.empty());
}

// Guards against a wait that lasts until the caller's deadline.
TEST_F(EndpointLimitRequestTest, StopsWaitingForAPermit) {
  const auto caller = Send("book");
  timers_.Advance(400ms);
  EXPECT_EQ(caller->status(), 503);
}

// Guards against retries that do not count towards the limit.
TEST_F(EndpointLimitRequestTest, ARetryTakesAPermitToo) {
  Grant(First());
  Send("look");
  timers_.Advance(0ms);
  ASSERT_EQ(endpoint_caller_.calls.size(), 1u);
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kNoResponse);
  timers_.Advance(200ms);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
}

// Guards against a limit that outlives the process which named it.
TEST_F(EndpointLimitRequestTest, AnotherProcessAtTheAddressHasNoLimit) {
  EndpointRegistration successor = First().registration;
  successor.started_at_ms = 1;
  endpoints_.Put(successor);
  EXPECT_FALSE(First().limit);
  EXPECT_FALSE(IsHeldOff(First(), clock_.Now()));
}

// Guards against a limit that is forgotten when a registration expires and
// returns, and one that is kept although responses no longer name it.
TEST_F(EndpointLimitRequestTest, TheLimitHoldsUntilResponsesLackIt) {
  const EndpointRegistration registration = First().registration;
  endpoints_.Remove(registration.id);
  endpoints_.Put(registration);
  EXPECT_TRUE(First().limit);
  endpoints_.RecordNotice(IncarnationOf(registration), {}, clock_.Now());
  EXPECT_TRUE(First().limit);
  const EndpointNotice none = {.is_from_endpoint = true};
  endpoints_.RecordNotice(IncarnationOf(registration), none, clock_.Now());
  EXPECT_TRUE(First().limit) << "one response in between may be damaged";
  timers_.Advance(2s);
  endpoints_.RecordNotice(IncarnationOf(registration), none, clock_.Now());
  EXPECT_FALSE(First().limit);
}

// Guards against a burst of waiting requests that each look through all
// endpoints for permits to request.
TEST_F(EndpointLimitRequestTest, ABurstRequestsPermitsOnce) {
  int request_count = 0;
  endpoints_.set_on_permits_needed([&] { ++request_count; });
  for (int i = 0; i < 100; ++i) {
    Send("book");
  }
  EXPECT_LE(request_count, 1);
  timers_.Advance(30ms);
  EXPECT_LE(request_count, 4);
}

// Guards against several stage calls to an endpoint with one permit.
TEST_F(EndpointLimitRequestTest, EachStageCallTakesAPermit) {
  class IgnoringListener final : public StageTaskListener {
    void OnStageTaskEnd(size_t, StageTaskResult) override {}
  };
  GatewayConfig config = MakeConfig(2);
  config.pools[2].stage->max_concurrent_calls = 3;
  coordinator_.SetConfiguration(
      std::make_shared<const ActiveConfiguration>(std::move(config)));
  Endpoint& endpoint = *endpoints_.Serving(PoolId("scan")).front();
  endpoints_.RecordNotice(IncarnationOf(endpoint.registration),
                          {.is_from_endpoint = true, .limit = RequestRate{1}},
                          clock_.Now());
  Grant(endpoint);
  IgnoringListener listener;
  std::vector<std::unique_ptr<StageTaskHandle>> tasks;
  for (int i = 0; i < 3; ++i) {
    StageTask task;
    task.request = RequestId("t" + std::to_string(i));
    task.pool = PoolId("scan");
    task.item_count = 4;
    task.due = clock_.Now() + 1s;
    task.deadline = clock_.Now() + 5s;
    tasks.push_back(coordinator_.Submit(std::move(task), &listener));
  }
  timers_.Advance(50ms);
  EXPECT_EQ(stage_caller_.calls.size(), 1u);
  Grant(endpoint);
  timers_.Advance(50ms);
  EXPECT_EQ(stage_caller_.calls.size(), 2u);
}

// Guards against a permit that is used after it has expired.
TEST_F(EndpointLimitRequestTest, PermitsExpire) {
  Grant(First());
  EXPECT_FALSE(IsHeldOff(First(), clock_.Now()));
  timers_.Advance(1s);
  EXPECT_TRUE(IsHeldOff(First(), clock_.Now()));
}

}  // namespace
}  // namespace peridotmill
