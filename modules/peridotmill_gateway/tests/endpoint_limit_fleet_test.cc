#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_gateway/limits/permit_buckets.h"
#include "peridotmill_gateway/limits/permit_client.h"
#include "peridotmill_gateway/peers/node_directory.h"
#include "peridotmill_gateway/peers/stage_service.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/tests/manual_timer_queue.h"
#include "peridotmill_gateway/tests/peer_network.h"
#include "peridotmill_gateway/tests/recording_events.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

constexpr Duration kWindow = 4s;
constexpr Duration kToldBefore = 500ms;
// From this time after an endpoint first named its limit, the limit binds.
constexpr Duration kStableWindow = 3s;

class NoStageTasks final : public StageTaskExecutor {
 public:
  std::unique_ptr<StageTaskHandle> Submit(StageTask,
                                          StageTaskListener*) override {
    return nullptr;
  }
};

EndpointRegistration MakeEndpoint() {
  return {.id = EndpointId("e"),
          .pool = PoolId("pool"),
          .address = "10.0.0.1:80",
          .failure_domain = FailureDomainId("valley"),
          .slots = 64};
}

// One node with the parts that keep limits.
struct LimitNode {
  LimitNode(const std::string& name,
            const NodeDirectory& directory,
            ManualClock& clock,
            ManualTimerQueue& timers,
            PeerNetwork& network)
      : id(name),
        service(
            executor,
            clock,
            timers,
            [] { return std::vector<FailureDomainId>(); },
            nullptr,
            &buckets),
        dialer(network, name),
        client({clock, timers, dialer, endpoints, directory, buckets, events,
                id, NodeRecord{.peer_address = name, .processor_share = 1}}) {
    network.AddNode(name, [this](const PeerNetwork::MakeLink& make) {
      service.Accept(make);
    });
    endpoints.Put(MakeEndpoint());
  }

  NodeId id;
  NoStageTasks executor;
  RecordingEvents events;
  EndpointRegistry endpoints;
  PermitBuckets buckets;
  StageService service;
  PeerNetwork::Dialer dialer;
  PermitClient client;
  // When this node first got a response that names the limit.
  std::optional<TimePoint> told_at;
  // What happens to a node before this time is excused.
  TimePoint excused_until;
};

// A fleet with one endpoint. Callers come to random nodes, and each node sends
// a request whenever it may.
class EndpointLimitFleetTest : public testing::Test {
 protected:
  EndpointLimitFleetTest() : timers_(clock_), network_(timers_, clock_) {}

  void StartNodes(int count) {
    for (int i = 0; i < count; ++i) {
      nodes_.push_back(nullptr);
      StartNode(static_cast<size_t>(i));
    }
  }
  std::string NodeName(size_t i) const { return "n" + std::to_string(i); }
  void StartNode(size_t i) {
    nodes_[i] = std::make_unique<LimitNode>(NodeName(i), directory_, clock_,
                                            timers_, network_);
    nodes_[i]->excused_until = clock_.Now() + kStableWindow;
    StoreChange change;
    change.entry.key = kNodeKeyPrefix + NodeName(i);
    change.entry.value =
        EncodeNodeRecord({.peer_address = NodeName(i), .processor_share = 1});
    directory_.Apply(change);
  }
  void StopNode(size_t i) {
    nodes_[i].reset();
    network_.AddNode(NodeName(i), [](const PeerNetwork::MakeLink&) {});
    StoreChange change;
    change.is_removed = true;
    change.entry.key = kNodeKeyPrefix + NodeName(i);
    directory_.Apply(change);
  }
  // Returns the node that coordinates the limit.
  size_t Coordinator() const {
    size_t best = 0;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i] != nullptr &&
          (nodes_[best] == nullptr ||
           CountGrants(*nodes_[i]) > CountGrants(*nodes_[best]))) {
        best = i;
      }
    }
    return best;
  }
  static TimePoint CountGrants(const LimitNode& node) {
    TimePoint latest;
    for (const auto& [endpoint, bucket] : node.buckets.by_endpoint) {
      latest = std::max(latest, bucket.refilled_at);
    }
    return latest;
  }

  // Sends what callers ask for, `per_second` requests at random nodes.
  void Run(Duration time, double per_second) {
    constexpr Duration kStep = 10ms;
    for (const TimePoint end = clock_.Now() + time; clock_.Now() < end;) {
      timers_.Advance(kStep);
      double due = per_second * std::chrono::duration<double>(kStep).count();
      for (; random_.Unit() < due; due -= 1) {
        const auto i = static_cast<size_t>(random_.Unit() *
                                           static_cast<double>(nodes_.size()));
        if (i < nodes_.size() && nodes_[i] != nullptr) {
          SendRequest(*nodes_[i]);
        }
      }
    }
  }
  void SendRequest(LimitNode& node) {
    const TimePoint now = clock_.Now();
    const PoolId pool("pool");
    node.endpoints.RecordDemand(pool, now);
    const EndpointPtr endpoint = node.endpoints.Serving(pool).front();
    if (IsHeldOff(*endpoint, now)) {
      return;
    }
    BeginCall(*endpoint, now);
    ++sent_count_;
    if (node.told_at && now - *node.told_at >= kToldBefore &&
        now >= node.excused_until) {
      arrivals_.push_back(now);
    }
    CheckLimit(now);
    RecordEndpointNotice(node.endpoints, node.events,
                         IncarnationOf(endpoint->registration),
                         {.is_from_endpoint = true, .limit = limit_}, now);
    EndCall(*endpoint, CallOutcome::kSuccess, now);
    if (limit_ && !node.told_at) {
      node.told_at = now;
    }
  }
  void SetLimit(std::optional<double> per_second) {
    limit_ =
        per_second ? std::optional(RequestRate{*per_second}) : std::nullopt;
    limits_.push_back({clock_.Now(), limit_});
    if (!first_named_) {
      first_named_ = clock_.Now();
    }
    for (const auto& node : nodes_) {
      if (node != nullptr && !limit_) {
        node->told_at.reset();
      }
    }
  }
  void CheckLimit(TimePoint now) {
    while (!arrivals_.empty() && arrivals_.front() <= now - kWindow) {
      arrivals_.pop_front();
    }
    // The highest limit of the window counts.
    double highest = 0;
    for (size_t i = 0; i < limits_.size(); ++i) {
      const bool is_over =
          i + 1 < limits_.size() && limits_[i + 1].at <= now - kWindow;
      if (!is_over) {
        if (!limits_[i].limit) {
          return;
        }
        highest = std::max(highest, limits_[i].limit->per_second);
      }
    }
    if (!first_named_ || now - *first_named_ < kStableWindow) {
      return;
    }
    const double allowed = 1.5 * highest * 4 + 5;
    const auto count = static_cast<double>(arrivals_.size());
    EXPECT_LE(count, allowed) << "limit " << highest;
    most_used_share_ = std::max(most_used_share_, count / allowed);
  }

  ManualClock clock_;
  ManualTimerQueue timers_;
  PeerNetwork network_;
  NodeDirectory directory_;
  std::vector<std::unique_ptr<LimitNode>> nodes_;
  Random random_{1};
  std::optional<RequestRate> limit_;
  std::vector<PermitBucket::Observation> limits_;
  std::optional<TimePoint> first_named_;
  std::deque<TimePoint> arrivals_;
  int sent_count_ = 0;
  double most_used_share_ = 0;
};

// Guards against requests that come rarely and never find a permit, because a
// bucket is emptied while nobody asks.
TEST_F(EndpointLimitFleetTest, RareRequestsFindAPermit) {
  StartNodes(3);
  SetLimit(1);
  Run(8s, 300);
  timers_.Advance(5s);
  int served = 0;
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    timers_.Advance(5s);
    LimitNode& node = *nodes_[static_cast<size_t>(i) % nodes_.size()];
    node.endpoints.RecordDemand(PoolId("pool"), clock_.Now());
    timers_.Advance(50ms);
    const int before = sent_count_;
    SendRequest(node);
    served += sent_count_ - before;
  }
  EXPECT_EQ(served, kRequests);
}

struct LimitCase {
  int nodes;
  double limit;
};

class EndpointLimitCasesTest : public EndpointLimitFleetTest,
                               public testing::WithParamInterface<LimitCase> {};

// Guards against nodes that each keep the limit while their sum exceeds it, and
// against a limit that leaves the endpoint unused.
TEST_P(EndpointLimitCasesTest, TheFleetKeepsTheLimitAndUsesIt) {
  StartNodes(GetParam().nodes);
  Run(1s, 50);
  SetLimit(GetParam().limit);
  Run(10s, 400);
  const int before = sent_count_;
  constexpr int kSeconds = 40;
  Run(std::chrono::seconds(kSeconds), 400);
  EXPECT_GE(sent_count_ - before, 0.6 * GetParam().limit * kSeconds);
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         EndpointLimitCasesTest,
                         testing::Values(LimitCase{1, 1},
                                         LimitCase{7, 0.3},
                                         LimitCase{7, 1},
                                         LimitCase{7, 40},
                                         LimitCase{63, 1},
                                         LimitCase{63, 12.5},
                                         LimitCase{63, 100}));

class EndpointLimitSeedsTest : public EndpointLimitFleetTest,
                               public testing::WithParamInterface<int> {};

// Guards against a sum that exceeds the limit while nodes, the limit's
// coordinator above all, are stopped, started, cut off and back again.
TEST_P(EndpointLimitSeedsTest, TheSumHoldsThroughFaults) {
  random_ = Random(static_cast<uint64_t>(GetParam()));
  StartNodes(9);
  SetLimit(1 + std::floor(random_.Unit() * 20));
  Run(8s, 300);
  for (int i = 0; i < 12; ++i) {
    const size_t node = random_.Unit() < 0.6
                            ? Coordinator()
                            : static_cast<size_t>(random_.Unit() * 9);
    if (nodes_[node] == nullptr) {
      continue;
    }
    if (random_.Unit() < 0.5) {
      StopNode(node);
      Run(std::chrono::milliseconds(static_cast<int>(random_.Unit() * 3000)),
          300);
      StartNode(node);
    } else {
      network_.Isolate(NodeName(node));
      nodes_[node]->excused_until = TimePoint::max();
      Run(std::chrono::milliseconds(static_cast<int>(random_.Unit() * 5000)),
          300);
      network_.Reconnect(NodeName(node));
      nodes_[node]->excused_until = clock_.Now() + kStableWindow;
    }
    Run(std::chrono::milliseconds(static_cast<int>(random_.Unit() * 4000)),
        300);
  }
}

// Guards against a limit that rises, falls, ends and returns, or differs from
// response to response.
TEST_P(EndpointLimitSeedsTest, TheFleetFollowsTheLimit) {
  random_ = Random(static_cast<uint64_t>(GetParam()));
  StartNodes(7);
  Run(1s, 50);
  for (int i = 0; i < 10; ++i) {
    if (random_.Unit() < 0.2) {
      SetLimit(std::nullopt);
      Run(8s, 300);
      const int before = sent_count_;
      Run(1s, 300);
      EXPECT_GT(sent_count_ - before, 200) << "a limit that has ended is kept";
    } else {
      SetLimit(std::pow(10, random_.Unit() * 2 - 0.5));
      // A fall binds once the nodes have been told.
      arrivals_.clear();
      first_named_ = clock_.Now();
      Run(10s, 300);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, EndpointLimitSeedsTest, testing::Range(1, 21));

}  // namespace
}  // namespace peridotmill
