// Tests of evacuations of failure domains: nothing more is sent there, by any
// path, until the evacuation ends.
#include <gtest/gtest.h>

#include <set>

#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

class EvacuationTest : public GatewayFixture, public StageTaskListener {
 protected:
  EvacuationTest() : evacuations_(endpoints_, clock_, events_) {
    for (const char* const pool : {"plain", "engines", "scan", "rank"}) {
      endpoints_.Put(MakeRegistration(std::string(pool) + "-hill", pool, "hill",
                                      pool == std::string("engines") ? 64 : 1));
    }
  }

  // Returns the failure domains of the calls from index `first` on.
  std::set<std::string> CalledDomains(size_t first) {
    std::set<std::string> domains;
    for (size_t i = first; i < endpoint_caller_.calls.size(); ++i) {
      domains.insert(
          endpoint_caller_.calls[i]->call.endpoint.failure_domain.value());
    }
    return domains;
  }
  StageTask MakeTask() {
    StageTask task;
    task.request = RequestId("t" + std::to_string(++submitted_));
    task.pool = PoolId("scan");
    task.preferred_domain = FailureDomainId("hill");
    task.moved_bytes = 5'000'000;
    task.item_count = 2;
    task.key = "k";
    task.due = clock_.Now() + 2s;
    task.deadline = clock_.Now() + 5s;
    return task;
  }
  void OnStageTaskEnd(size_t, StageTaskResult) override {}

  DomainEvacuations evacuations_;
  int submitted_ = 0;
};

// Guards against requests of any kind that are sent to an evacuated domain, and
// against calls in flight there that are ended.
TEST_F(EvacuationTest, SendsNoRequestsToAnEvacuatedDomain) {
  std::vector<std::shared_ptr<FakeCallerChannel>> callers;
  for (int i = 0; i < 40; ++i) {
    callers.push_back(Send("look"));
    callers.push_back(Send("chat"));
  }
  EXPECT_TRUE(CalledDomains(0).contains("hill"));
  evacuations_.Begin(FailureDomainId("hill"));
  EXPECT_TRUE(events_.Has("domain_evacuated domain=hill"));
  const size_t first = endpoint_caller_.calls.size();
  for (int i = 0; i < 40; ++i) {
    for (const char* const route : {"look", "book", "chat", "resume"}) {
      callers.push_back(Send(route));
    }
  }
  EXPECT_EQ(CalledDomains(first), std::set<std::string>{"valley"});
  for (size_t i = 0; i < first; ++i) {
    EXPECT_TRUE(endpoint_caller_.calls[i]->is_open);
  }
}

// Guards against retries and resumed streams in an evacuated domain, where the
// last attempt was, or where the only other endpoint is.
TEST_F(EvacuationTest, ResumesNoStreamInAnEvacuatedDomain) {
  evacuations_.Begin(FailureDomainId("hill"));
  endpoints_.Remove(EndpointId("e2"));
  const auto caller = Send("resume");
  endpoint_caller_.listener(0).OnResponseHead(FakeEndpointCaller::StreamHead());
  endpoint_caller_.listener(0).OnResponseBody("id: 1\ndata: a\n\n");
  endpoint_caller_.listener(0).OnResponseEnd(HttpCallEnd::kTruncated);
  EXPECT_EQ(endpoint_caller_.calls.size(), 1u);
}

// Guards against stage items that wait for an endpoint in an evacuated domain,
// since their inputs lie there, or that are sent there.
TEST_F(EvacuationTest, WaitingStageItemsAreSentElsewhere) {
  // Both endpoints are busy, so that later tasks wait.
  std::vector<std::unique_ptr<StageTaskHandle>> tasks;
  for (int i = 0; i < 8; ++i) {
    tasks.push_back(coordinator_.Submit(MakeTask(), this));
    timers_.Advance(50ms);
  }
  const size_t first = stage_caller_.calls.size();
  ASSERT_GE(first, 1u);
  evacuations_.Begin(FailureDomainId("hill"));
  for (size_t i = 0; i < stage_caller_.calls.size(); ++i) {
    stage_caller_.Answer(i);
    timers_.Advance(50ms);
  }
  ASSERT_GT(stage_caller_.calls.size(), first);
  for (size_t i = first; i < stage_caller_.calls.size(); ++i) {
    EXPECT_EQ(stage_caller_.calls[i]->endpoint.failure_domain,
              FailureDomainId("valley"));
  }
}

// Guards against endpoints that register in an evacuated domain and are used.
TEST_F(EvacuationTest, AppliesToEndpointsThatRegisterLater) {
  evacuations_.Begin(FailureDomainId("cliff"));
  endpoints_.Put(MakeRegistration("p9", "plain", "cliff", 64));
  for (int i = 0; i < 20; ++i) {
    Send("look");
  }
  EXPECT_FALSE(CalledDomains(0).contains("cliff"));
}

// Guards against an endpoint that moves into an evacuated domain, or out of it,
// and is used, or not, as before.
TEST_F(EvacuationTest, FollowsEndpointsThatChangeTheirDomain) {
  const auto count_serving = [this] {
    return endpoints_.Serving(PoolId("plain")).size();
  };
  const size_t serving = count_serving();
  evacuations_.Begin(FailureDomainId("cliff"));
  EXPECT_EQ(count_serving(), serving);
  EndpointRegistration registration =
      endpoints_.Serving(PoolId("plain"))[0]->registration;
  const FailureDomainId domain = registration.failure_domain;
  registration.failure_domain = FailureDomainId("cliff");
  endpoints_.Put(registration);
  EXPECT_EQ(count_serving(), serving - 1);
  registration.warm_up_left = 2s;
  endpoints_.Put(registration);
  EXPECT_EQ(count_serving(), serving - 1);
  registration.failure_domain = domain;
  endpoints_.Put(registration);
  EXPECT_EQ(count_serving(), serving);
}

// Guards against callers that wait for their deadline, or whose requests are
// sent to an evacuated domain, when nothing else can serve them.
TEST_F(EvacuationTest, RefusesAtOnceIfNothingElseCanServe) {
  evacuations_.Replace({FailureDomainId("hill"), FailureDomainId("valley")},
                       false);
  const auto caller = Send("book");
  EXPECT_EQ(caller->status(), 503);
  EXPECT_TRUE(caller->heads.at(0).headers.Find("Retry-After"));
  EXPECT_TRUE(endpoint_caller_.calls.empty());
  // One of two evacuations ends.
  evacuations_.Replace({FailureDomainId("hill")}, false);
  Send("book");
  EXPECT_EQ(CalledDomains(0), std::set<std::string>{"valley"});
  EXPECT_TRUE(events_.Has("domain_evacuation_ended domain=valley"));
}

// Guards against calls to an evacuated domain after the store was restored from
// a copy that is older than the evacuation.
TEST_F(EvacuationTest, GoesOnIfARestoredStoreLacksIt) {
  evacuations_.Begin(FailureDomainId("valley"));
  EXPECT_TRUE(evacuations_.Replace({FailureDomainId("hill")},
                                   /*was_unreachable=*/true));
  EXPECT_EQ(evacuations_.size(), 2u);
  EXPECT_FALSE(evacuations_.Replace(
      {FailureDomainId("hill"), FailureDomainId("valley")}, true));
  EXPECT_FALSE(evacuations_.Replace({FailureDomainId("hill")}, false));
  EXPECT_EQ(evacuations_.size(), 1u);
}

// Guards against a domain whose endpoints have become cold during their
// evacuation and are sent a burst when it ends.
TEST_F(EvacuationTest, EndpointsCountAsColdAfterAnEvacuation) {
  GatewayConfig config = MakeConfig(2);
  config.pools[0].warm_up =
      WarmUpDefinition{.duration = 3s, .requests_per_second = 6.6};
  endpoints_.SetWarmUpBounds(MakeWarmUpBounds(config, 72, NodeId("node")));
  evacuations_.Begin(FailureDomainId("valley"));
  timers_.Advance(8s);
  EXPECT_EQ(endpoints_.CountWarmingEndpoints(clock_.Now()), 0u);
  evacuations_.End(FailureDomainId("valley"));
  EXPECT_EQ(endpoints_.CountWarmingEndpoints(clock_.Now()), 3u);
  for (int i = 0; i < 40; ++i) {
    Send("look");
  }
  int valley = 0;
  for (const auto& call : endpoint_caller_.calls) {
    valley += call->call.endpoint.failure_domain.value() == "valley" ? 1 : 0;
  }
  EXPECT_LE(valley, 3);
  timers_.Advance(3s);
  EXPECT_EQ(endpoints_.CountWarmingEndpoints(clock_.Now()), 0u);
}

}  // namespace
}  // namespace peridotmill
