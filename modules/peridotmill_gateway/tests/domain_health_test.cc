#include "peridotmill_gateway/registry/domain_health.h"

#include <gtest/gtest.h>

#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kNow = TimePoint(1h);

// Guards against avoiding a domain because some of its endpoints have crashed
// while the others respond.
TEST(DomainHealthTest, ResponseClearsTheSuspicion) {
  DomainHealth domain;
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(RecordUnresponsiveEndpoint(domain, EndpointId("a"), kNow));
    EXPECT_FALSE(RecordUnresponsiveEndpoint(domain, EndpointId("b"), kNow));
    RecordDomainResponse(domain, kNow);
  }
  EXPECT_FALSE(IsDomainAvoided(domain, kNow));
}

// Guards against avoiding a domain because several of its endpoints are slow at
// the same time while others respond.
TEST(DomainHealthTest, DomainWithARecentResponseIsNotSuspected) {
  DomainHealth domain;
  RecordDomainResponse(domain, kNow);
  for (const char* const id : {"a", "b", "c", "d"}) {
    EXPECT_FALSE(
        RecordUnresponsiveEndpoint(domain, EndpointId(id), kNow + 100ms));
  }
  EXPECT_FALSE(IsDomainAvoided(domain, kNow + 100ms));
  EXPECT_TRUE(
      RecordUnresponsiveEndpoint(domain, EndpointId("a"), kNow + 300ms));
}

// Guards against detecting a partition separately for each endpoint, and
// against avoiding a domain after the partition has ended.
TEST(DomainHealthTest,
     DomainWithUnresponsiveEndpointsIsAvoidedUntilAProbeSucceeds) {
  DomainHealth domain;
  EXPECT_FALSE(RecordUnresponsiveEndpoint(domain, EndpointId("a"), kNow));
  EXPECT_FALSE(RecordUnresponsiveEndpoint(domain, EndpointId("a"), kNow));
  EXPECT_FALSE(RecordUnresponsiveEndpoint(domain, EndpointId("b"), kNow));
  EXPECT_TRUE(RecordUnresponsiveEndpoint(domain, EndpointId("c"), kNow));
  EXPECT_TRUE(IsDomainAvoided(domain, kNow));
  // Only one probe is allowed at a time.
  const TimePoint probe_time = kNow + 400ms;
  EXPECT_FALSE(IsDomainAvoided(domain, probe_time));
  RecordDomainCall(domain, probe_time);
  EXPECT_TRUE(IsDomainAvoided(domain, probe_time));
  RecordDomainResponse(domain, probe_time + 5ms);
  EXPECT_FALSE(IsDomainAvoided(domain, probe_time + 5ms));
}

// Guards against a hint from another node that is used after it is out of date,
// or that overrides responses which this node has seen.
TEST(DomainHealthTest, HintExpiresAndIsIgnoredAfterARecentResponse) {
  DomainHealth domain;
  RecordPeerSuspicion(domain, kNow);
  EXPECT_TRUE(IsDomainAvoided(domain, kNow));
  EXPECT_FALSE(IsDomainAvoided(domain, kNow + 1s));
  RecordDomainResponse(domain, kNow);
  RecordPeerSuspicion(domain, kNow + 100ms);
  EXPECT_FALSE(IsDomainAvoided(domain, kNow + 100ms));
}

// Guards against choosing no endpoint when every domain is suspected.
TEST(DomainHealthTest, AvoidedDomainsAreUsedWhenNoOtherIsLeft) {
  EndpointRegistry registry;
  Random random(3);
  registry.Put(MakeRegistration("e1", "engines", "valley"));
  registry.Put(MakeRegistration("e2", "engines", "summit"));
  RecordPeerSuspicion(registry.Domain(FailureDomainId("valley")), kNow);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(ChooseEndpoint(registry.Serving(PoolId("engines")), {}, 1s, kNow,
                             random)
                  ->registration.id,
              EndpointId("e2"));
  }
  RecordPeerSuspicion(registry.Domain(FailureDomainId("summit")), kNow);
  EXPECT_NE(
      ChooseEndpoint(registry.Serving(PoolId("engines")), {}, 1s, kNow, random),
      nullptr);
}

// Tests a stage pool with half of its endpoints in a domain that is cut off.
class CutOffDomainTest : public GatewayFixture, public StageTaskListener {
 protected:
  static constexpr int kEndpointsPerDomain = 6;

  CutOffDomainTest() {
    endpoints_.Remove(EndpointId("s1"));
    for (int i = 0; i < kEndpointsPerDomain; ++i) {
      endpoints_.Put(
          MakeRegistration("v" + std::to_string(i), "scan", "valley", 1));
      endpoints_.Put(
          MakeRegistration("u" + std::to_string(i), "scan", "summit", 1));
    }
  }

  void Submit() {
    StageTask task;
    task.request = RequestId("q" + std::to_string(tasks_.size()));
    task.pool = PoolId("scan");
    task.preferred_domain = FailureDomainId("valley");
    task.item_count = 2;
    task.key = "k";
    task.due = clock_.Now() + 1s;
    task.deadline = clock_.Now() + 5s;
    submitted_[tasks_.size()] = clock_.Now();
    task.stage = tasks_.size();
    tasks_.push_back(coordinator_.Submit(task, this));
  }
  void OnStageTaskEnd(size_t stage, StageTaskResult result) override {
    if (result.outcome == StageItemOutcome::kDone) {
      max_task_time_ =
          std::max(max_task_time_, clock_.Now() - submitted_[stage]);
      ++done_count_;
    }
  }

  // Answers the calls to reachable domains that started at least 200 ms ago.
  void AnswerCalls(bool is_cut) {
    for (size_t i = 0; i < stage_caller_.calls.size(); ++i) {
      if (answered_calls_.contains(i) || !stage_caller_.calls[i]->is_open) {
        continue;
      }
      const bool is_unreachable =
          is_cut && stage_caller_.calls[i]->endpoint.failure_domain ==
                        FailureDomainId("summit");
      if (call_started_at_.try_emplace(i, clock_.Now()).first->second + 200ms <=
              clock_.Now() &&
          !is_unreachable) {
        answered_calls_.insert(i);
        stage_caller_.Answer(i);
      }
    }
  }

  int CallsTo(const std::string& domain) const {
    return static_cast<int>(std::count_if(
        stage_caller_.calls.begin(), stage_caller_.calls.end(),
        [&](const auto& call) {
          return call->endpoint.failure_domain == FailureDomainId(domain);
        }));
  }

  std::vector<std::unique_ptr<StageTaskHandle>> tasks_;
  std::map<size_t, TimePoint> submitted_;
  std::map<size_t, TimePoint> call_started_at_;
  std::set<size_t> answered_calls_;
  Duration max_task_time_ = Duration::zero();
  int done_count_ = 0;
};

// Guards against tasks that wait for call timeouts at one endpoint of a cut-off
// domain after another, and against avoiding the domain after the partition has
// ended. The load is a task every 40 ms on twelve endpoints.
TEST_F(CutOffDomainTest, TasksAvoidACutOffDomainAndReturnAfterwards) {
  const auto simulate = [&](Duration time, bool is_cut) {
    for (Duration t = 0ms; t < time; t += 10ms) {
      if (t % 40ms == 0ms) {
        Submit();
      }
      timers_.Advance(10ms);
      AnswerCalls(is_cut);
    }
  };
  simulate(1s, false);
  max_task_time_ = Duration::zero();
  simulate(5s, true);
  EXPECT_TRUE(events_.Has("domain_suspected domain=summit"));
  // The latency target of one second also holds for tasks that were in flight
  // when the partition began.
  EXPECT_LE(max_task_time_, 1s);
  const int calls_before = CallsTo("summit");
  simulate(3s, true);
  // One probe is sent every 300 ms.
  EXPECT_LE(CallsTo("summit") - calls_before, 11);
  simulate(1s, false);
  const int calls_after_return = CallsTo("summit");
  simulate(1s, false);
  EXPECT_GT(CallsTo("summit") - calls_after_return, 5);
}

}  // namespace
}  // namespace peridotmill
