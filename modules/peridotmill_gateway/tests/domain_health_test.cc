#include "peridotmill_gateway/registry/domain_health.h"

#include <gtest/gtest.h>

#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kNow = TimePoint(1h);

// Guards against a domain that is avoided because some of its endpoints have
// crashed while the others answer.
TEST(DomainHealthTest, AnAnswerClearsTheDomain) {
  DomainHealth domain;
  for (int i = 0; i < 10; ++i) {
    EXPECT_FALSE(RecordUnresponsiveEndpoint(domain, EndpointId("a"), kNow));
    EXPECT_FALSE(RecordUnresponsiveEndpoint(domain, EndpointId("b"), kNow));
    RecordDomainResponse(domain, kNow);
  }
  EXPECT_FALSE(IsDomainAvoided(domain, kNow));
}

// Guards against a domain that is avoided because several of its endpoints are
// slow at a time while others answer.
TEST(DomainHealthTest, ARecentAnswerOutweighsSilentEndpoints) {
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

// Guards against a partition that is found one endpoint at a time, and against
// a domain that stays avoided when the partition has ended.
TEST(DomainHealthTest, SeveralSilentEndpointsLetTheDomainBeAvoided) {
  DomainHealth domain;
  EXPECT_FALSE(RecordUnresponsiveEndpoint(domain, EndpointId("a"), kNow));
  EXPECT_FALSE(RecordUnresponsiveEndpoint(domain, EndpointId("a"), kNow));
  EXPECT_FALSE(RecordUnresponsiveEndpoint(domain, EndpointId("b"), kNow));
  EXPECT_TRUE(RecordUnresponsiveEndpoint(domain, EndpointId("c"), kNow));
  EXPECT_TRUE(IsDomainAvoided(domain, kNow));
  // One probe at a time.
  const TimePoint later = kNow + 400ms;
  EXPECT_FALSE(IsDomainAvoided(domain, later));
  RecordDomainCall(domain, later);
  EXPECT_TRUE(IsDomainAvoided(domain, later));
  RecordDomainResponse(domain, later + 5ms);
  EXPECT_FALSE(IsDomainAvoided(domain, later + 5ms));
}

// Guards against another node's word that outlives its truth or outweighs what
// this node sees.
TEST(DomainHealthTest, AHintHoldsForAWhileUnlessTheDomainAnswers) {
  DomainHealth domain;
  RecordPeerSuspicion(domain, kNow);
  EXPECT_TRUE(IsDomainAvoided(domain, kNow));
  EXPECT_FALSE(IsDomainAvoided(domain, kNow + 1s));
  RecordDomainResponse(domain, kNow);
  RecordPeerSuspicion(domain, kNow + 100ms);
  EXPECT_FALSE(IsDomainAvoided(domain, kNow + 100ms));
}

// Guards against no endpoint at all where every domain seems cut off.
TEST(DomainHealthTest, AvoidedDomainsServeWhereNoOtherIsLeft) {
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

// A stage pool with half of its endpoints in a domain that is cut off.
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
      longest_ = std::max(longest_, clock_.Now() - submitted_[stage]);
      ++done_;
    }
  }

  // Answers what the reachable domains were asked 200 ms ago.
  void Serve(bool is_cut) {
    for (size_t i = 0; i < stage_caller_.calls.size(); ++i) {
      if (answered_.contains(i) || !stage_caller_.calls[i]->is_open) {
        continue;
      }
      const bool is_lost =
          is_cut && stage_caller_.calls[i]->endpoint.failure_domain ==
                        FailureDomainId("summit");
      if (asked_.try_emplace(i, clock_.Now()).first->second + 200ms <=
              clock_.Now() &&
          !is_lost) {
        answered_.insert(i);
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

  std::vector<std::unique_ptr<OpenStageTask>> tasks_;
  std::map<size_t, TimePoint> submitted_;
  std::map<size_t, TimePoint> asked_;
  std::set<size_t> answered_;
  Duration longest_ = Duration::zero();
  int done_ = 0;
};

// Guards against tasks that wait out the time limits of calls to one endpoint
// of a cut-off domain after another, and against traffic that stays away when
// the partition has ended. Load: a task every 40 ms before twelve endpoints.
TEST_F(CutOffDomainTest, TasksGoElsewhereSoonAndReturn) {
  const auto play = [&](Duration time, bool is_cut) {
    for (Duration t = 0ms; t < time; t += 10ms) {
      if (t % 40ms == 0ms) {
        Submit();
      }
      timers_.Advance(10ms);
      Serve(is_cut);
    }
  };
  play(1s, false);
  longest_ = Duration::zero();
  play(5s, true);
  EXPECT_TRUE(events_.Has("domain_suspected domain=summit"));
  // The route's aim of a second holds for what was under way as well.
  EXPECT_LE(longest_, 1s);
  const int before = CallsTo("summit");
  play(3s, true);
  // A probe each 300 ms.
  EXPECT_LE(CallsTo("summit") - before, 11);
  play(1s, false);
  const int returned = CallsTo("summit");
  play(1s, false);
  EXPECT_GT(CallsTo("summit") - returned, 5);
}

}  // namespace
}  // namespace peridotmill
