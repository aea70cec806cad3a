#include <gtest/gtest.h>

#include "peridotmill_gateway/peers/stage_message.h"
#include "peridotmill_gateway/tests/fake_stage_caller.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"
#include "peridotmill_gateway/tests/peer_network.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const SuspectId kCommon(1);
const SuspectId kCulprit(2);

std::string AddressOf(size_t node) {
  return "10.0.0." + std::to_string(node) + ":7";
}

NodeRecord RecordOf(size_t node) {
  return {.peer_address = AddressOf(node),
          .failure_domain = FailureDomainId("valley"),
          .processor_share = 1};
}

NodeId IdOf(size_t node) {
  return NodeId("n" + std::to_string(node));
}

// The parts of a node that share what it knows about prompts.
struct FleetNode final : public StageTaskListener {
  FleetNode(size_t index,
            const Clock& clock,
            TimerQueue& timers,
            PeerNetwork& network,
            EventSink& events,
            const ActiveConfigurationPtr& configuration)
      : clock(clock),
        quarantine(clock, timers, events),
        coordinator(
            {clock, timers, caller, endpoints, budget, events, &quarantine},
            index),
        service(
            coordinator,
            clock,
            timers,
            [] { return std::vector<FailureDomainId>(); },
            &quarantine),
        dialer(network, AddressOf(index)),
        relay({clock, timers, dialer, coordinator, nodes, budget, endpoints,
               events, IdOf(index), RecordOf(index), &quarantine}) {
    coordinator.SetConfiguration(configuration);
    network.AddNode(AddressOf(index),
                    [this](const PeerNetwork::MakeLink& make_link) {
                      service.Accept(make_link);
                    });
  }

  // Asks the coordinator for an engine, as each request does.
  void Submit(const std::string& request, const std::vector<SuspectId>& parts) {
    StageTask task;
    task.request = RequestId(request);
    task.pool = PoolId("engines");
    task.group = PoolId("scan");
    task.due = clock.Now() + 1s;
    task.deadline = clock.Now() + 5s;
    task.prompt = PromptDemand{
        .pool = PoolId("engines"), .shared = {{7, 1}}, .suspects = parts};
    handles.push_back(relay.Submit(std::move(task), this));
  }
  void OnStageTaskEnd(size_t, StageTaskResult result) override {
    outcomes.push_back(result.outcome);
  }
  bool IsRefused(SuspectId part) const {
    return quarantine.QuarantineLeft({part}).has_value();
  }

  const Clock& clock;
  FakeStageCaller caller;
  EndpointRegistry endpoints;
  PoolRetryBudget budget{{.ratio = 1, .node_allowance = 100}};
  NodeDirectory nodes;
  CrashQuarantine quarantine;
  StageCoordinator coordinator;
  StageService service;
  PeerNetwork::Dialer dialer;
  StageRelay relay;
  std::vector<std::unique_ptr<StageTaskHandle>> handles;
  std::vector<StageItemOutcome> outcomes;
};

class CrashQuarantineFleetTest : public GatewayFixture {
 protected:
  static constexpr size_t kNodes = 12;

  CrashQuarantineFleetTest() : network_(timers_, clock_) {
    StartAgain();
    SubmitAtAll();
  }

  // Replaces all nodes by ones that know nothing and have no links.
  void StartAgain() {
    nodes_.clear();
    std::vector<StoreEntry> records;
    for (size_t i = 0; i < kNodes; ++i) {
      StoreEntry entry;
      entry.key = std::string(kNodeKeyPrefix) + IdOf(i).value();
      entry.value = EncodeNodeRecord(RecordOf(i));
      records.push_back(entry);
    }
    for (size_t i = 0; i < kNodes; ++i) {
      nodes_.push_back(std::make_unique<FleetNode>(
          i, clock_, timers_, network_, events_, gateway_.configuration()));
      nodes_.back()->nodes.Replace(records, false);
    }
    const auto order = nodes_[0]->nodes.CoordinatorOrder(
        PoolId("scan"), NodeId("n0"), RecordOf(0));
    for (size_t i = 0; i < kNodes; ++i) {
      if (IdOf(i) == order[0]) {
        coordinator_index_ = i;
      }
    }
  }

  // Each node submits a sound request, which connects it to the coordinator.
  void SubmitAtAll() {
    for (const auto& node : nodes_) {
      node->Submit("s" + std::to_string(++request_count_), {kCommon});
    }
    timers_.Advance(20ms);
  }
  // An engine crashes under a request of one node.
  void Crash(size_t node) {
    ++crash_count_;
    nodes_[node]->quarantine.RecordCrash(
        RequestId("c"), {EndpointId("e" + std::to_string(crash_count_)), 1},
        clock_.Now(), SuspectId(1000 + crash_count_), {kCommon, kCulprit});
    timers_.Advance(300ms);
  }
  // Returns the index of a node that does not coordinate.
  size_t Other(size_t n) const { return (coordinator_index_ + 1 + n) % kNodes; }
  size_t RefusingNodes(SuspectId part) const {
    size_t count = 0;
    for (const auto& node : nodes_) {
      count += node->IsRefused(part) ? 1 : 0;
    }
    return count;
  }

  PeerNetwork network_;
  std::vector<std::unique_ptr<FleetNode>> nodes_;
  size_t coordinator_index_ = 0;
  int request_count_ = 0;
  int crash_count_ = 0;
};

// Guards against a fleet in which no node sees enough crashes to act.
TEST_F(CrashQuarantineFleetTest, NodesThatSeeOneCrashEachStopThePart) {
  for (size_t i = 0; i < 3; ++i) {
    Crash(Other(i));
    // An answer at a fourth node clears the common part at all nodes.
    nodes_[Other(5)]->quarantine.RecordSuccess({kCommon});
    timers_.Advance(100ms);
  }
  EXPECT_EQ(RefusingNodes(kCulprit), kNodes);
  EXPECT_EQ(RefusingNodes(kCommon), 0u);
}

// Guards against evidence that is lost with the coordinator that collected it.
TEST_F(CrashQuarantineFleetTest, ALostCoordinatorLosesNoEvidence) {
  Crash(Other(0));
  Crash(Other(1));
  network_.Isolate(AddressOf(coordinator_index_));
  SubmitAtAll();
  timers_.Advance(2s);
  SubmitAtAll();
  Crash(Other(2));
  timers_.Advance(100ms);
  EXPECT_EQ(RefusingNodes(kCulprit), kNodes - 1);
}

// Guards against a node that learns nothing after a partition.
TEST_F(CrashQuarantineFleetTest, ANodeLearnsAfterAPartition) {
  const size_t cut_off = Other(4);
  network_.Isolate(AddressOf(cut_off));
  for (size_t i = 0; i < 3; ++i) {
    Crash(Other(i));
  }
  EXPECT_EQ(RefusingNodes(kCulprit), kNodes - 1);
  SubmitAtAll();
  timers_.Advance(3s);
  EXPECT_FALSE(nodes_[cut_off]->IsRefused(kCulprit));
  network_.Reconnect(AddressOf(cut_off));
  SubmitAtAll();
  timers_.Advance(500ms);
  EXPECT_TRUE(nodes_[cut_off]->IsRefused(kCulprit));
}

// Guards against nodes that serve no streams, and see one crash each.
TEST_F(CrashQuarantineFleetTest, NodesWithoutTasksHearOfOneAnother) {
  StartAgain();
  for (const auto& node : nodes_) {
    node->relay.JoinNewsGroup(PoolId("scan"));
  }
  timers_.Advance(1s);
  for (size_t i = 0; i < 3; ++i) {
    Crash(Other(i));
  }
  EXPECT_EQ(RefusingNodes(kCulprit), kNodes);
}

// Guards against a lost coordinator that nodes without tasks do not replace.
TEST_F(CrashQuarantineFleetTest, NodesWithoutTasksReplaceALostCoordinator) {
  StartAgain();
  for (const auto& node : nodes_) {
    node->relay.JoinNewsGroup(PoolId("scan"));
  }
  timers_.Advance(1s);
  network_.Isolate(AddressOf(coordinator_index_));
  network_.BreakLinks(AddressOf(coordinator_index_));
  timers_.Advance(1s);
  for (size_t i = 0; i < 3; ++i) {
    Crash(Other(i));
  }
  EXPECT_EQ(RefusingNodes(kCulprit), kNodes - 1);
}

// Guards against evidence that stays with the nodes of one coordinator while
// another part of the nodes has another one.
TEST_F(CrashQuarantineFleetTest, EvidenceOfTwoCoordinatorsComesTogether) {
  StartAgain();
  const auto order = nodes_[0]->nodes.CoordinatorOrder(
      PoolId("rank"), NodeId("n0"), RecordOf(0));
  for (size_t i = 0; i < kNodes; ++i) {
    const bool is_second_part = i % 2 == 1 && IdOf(i) != order[0];
    nodes_[i]->relay.JoinNewsGroup(PoolId(is_second_part ? "rank" : "scan"));
  }
  timers_.Advance(1s);
  for (size_t i = 0; i < 3; ++i) {
    Crash(Other(i));
  }
  EXPECT_EQ(RefusingNodes(kCulprit), kNodes);
}

// Guards against reports that are lost or changed by encoding and decoding.
TEST(CrashNewsTest, PreservesAllFields) {
  const TimePoint now = TimePoint(1h);
  CrashNews news;
  news.crashes.push_back(
      {{EndpointId("e"), 77}, {{kCulprit, now - 40ms, 12, 3, now - 90ms}}});
  news.cleared.push_back({kCommon, now - 60ms});
  news.quarantines.push_back(
      {.id = kCulprit, .since = now - 3s, .until = now + 17s, .probes = 1});
  const auto message =
      DecodeStageMessage(EncodeStageMessage(news, now), now + 1h);
  ASSERT_TRUE(message);
  const auto& decoded = std::get<CrashNews>(*message);
  ASSERT_EQ(decoded.crashes.size(), 1u);
  EXPECT_EQ(decoded.crashes[0].incarnation, news.crashes[0].incarnation);
  ASSERT_EQ(decoded.crashes[0].suspects.size(), 1u);
  EXPECT_EQ(decoded.crashes[0].suspects[0].id, kCulprit);
  EXPECT_EQ(decoded.crashes[0].suspects[0].at, now + 1h - 40ms);
  EXPECT_EQ(decoded.crashes[0].suspects[0].successes, 12u);
  EXPECT_EQ(decoded.crashes[0].suspects[0].position, 3u);
  EXPECT_EQ(decoded.crashes[0].suspects[0].attempt_started_at, now + 1h - 90ms);
  ASSERT_EQ(decoded.cleared.size(), 1u);
  EXPECT_EQ(decoded.cleared[0].id, kCommon);
  EXPECT_EQ(decoded.cleared[0].at, now + 1h - 60ms);
  ASSERT_EQ(decoded.quarantines.size(), 1u);
  EXPECT_EQ(decoded.quarantines[0].id, kCulprit);
  EXPECT_EQ(decoded.quarantines[0].since, now + 1h - 3s);
  EXPECT_EQ(decoded.quarantines[0].until, now + 1h + 17s);
  EXPECT_EQ(decoded.quarantines[0].probes, 1);
}

// Guards against crashes and out-of-bounds reads on damaged reports.
TEST(CrashNewsTest, RejectsDamagedReports) {
  Random random(12);
  const TimePoint now = TimePoint(1h);
  CrashNews news;
  news.crashes.push_back({{EndpointId("e"), 77}, {{kCulprit, now, 12, 3}}});
  news.quarantines.push_back({.id = kCulprit, .since = now, .until = now});
  const std::string valid_frame = EncodeStageMessage(news, now);
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = valid_frame;
    for (int change = 0; change < 3; ++change) {
      damaged[random.Below(damaged.size())] =
          static_cast<char>(random.Below(256));
    }
    damaged.resize(random.Below(damaged.size()) + 1);
    (void)DecodeStageMessage(damaged, now);
  }
}

}  // namespace
}  // namespace peridotmill
