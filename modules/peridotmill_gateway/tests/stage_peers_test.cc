#include <gtest/gtest.h>

#include "peridotmill_gateway/peers/node_directory.h"
#include "peridotmill_gateway/peers/stage_message.h"
#include "peridotmill_gateway/peers/stage_relay.h"
#include "peridotmill_gateway/peers/stage_service.h"
#include "peridotmill_gateway/tests/gateway_fixture.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// In-memory links between two nodes. A test can drop all frames or disconnect
// all links.
class MemoryNetwork final : public PeerDialer {
 public:
  explicit MemoryNetwork(TimerQueue& timers) : timers_(timers) {}

  std::unique_ptr<PeerLink> Dial(const std::string&,
                                 PeerLinkListener* listener) override {
    ++dial_count;
    auto pair = std::make_shared<Pair>();
    pair->ends[0] = listener;
    pairs_.push_back(pair);
    if (service != nullptr) {
      service->Accept([&](PeerLinkListener* accepted) {
        pair->ends[1] = accepted;
        return std::make_unique<Link>(this, pair, 1);
      });
    }
    return std::make_unique<Link>(this, pair, 0);
  }

  void DisconnectAll() {
    for (const auto& pair : std::exchange(pairs_, {})) {
      for (PeerLinkListener*& end : pair->ends) {
        if (PeerLinkListener* const listener = std::exchange(end, nullptr)) {
          listener->OnLinkLost();
        }
      }
    }
  }

  StageService* service = nullptr;
  bool drops_frames = false;
  int dial_count = 0;

 private:
  struct Pair {
    std::array<PeerLinkListener*, 2> ends = {};
  };

  class Link final : public PeerLink {
   public:
    Link(MemoryNetwork* network, std::shared_ptr<Pair> pair, size_t side)
        : network_(network), pair_(std::move(pair)), side_(side) {}
    ~Link() override { pair_->ends[side_] = nullptr; }
    void Send(std::string_view frame) override {
      if (network_->drops_frames) {
        return;
      }
      network_->deliveries_.push_back(network_->timers_.After(
          1ms, [pair = pair_, side = side_, bytes = std::string(frame)] {
            if (pair->ends[1 - side] != nullptr) {
              pair->ends[1 - side]->OnLinkFrame(bytes);
            }
          }));
    }

   private:
    MemoryNetwork* network_;
    std::shared_ptr<Pair> pair_;
    size_t side_;
  };

  TimerQueue& timers_;
  std::vector<std::shared_ptr<Pair>> pairs_;
  std::vector<std::unique_ptr<Timer>> deliveries_;
};

// This node, and the node "other" that coordinates the stage pool.
class StagePeersTest : public GatewayFixture, public StageTaskListener {
 protected:
  StagePeersTest()
      : network_(timers_),
        other_coordinator_({clock_, timers_, other_caller_, other_endpoints_,
                            other_retry_budget_, events_},
                           9),
        service_(other_coordinator_,
                 clock_,
                 timers_,
                 [this] { return other_endpoints_.SuspectedDomains(); }),
        relay_({clock_, timers_, network_, coordinator_, nodes_, retry_budget_,
                endpoints_, events_, MakeSelfId(), NodeRecord()}) {
    network_.service = &service_;
    other_endpoints_.Put(MakeRegistration("s1", "scan", "valley", 1));
    other_coordinator_.SetConfiguration(gateway_.configuration());
    StoreEntry entry;
    entry.key = std::string(kNodeKeyPrefix) + "other";
    entry.value = EncodeNodeRecord({"10.0.0.2:7", FailureDomainId("summit")});
    nodes_.Replace({entry}, false);
  }

  // Returns an id that comes after "other" in the pool's candidate order.
  static NodeId MakeSelfId() {
    NodeDirectory directory;
    StoreEntry entry;
    entry.key = std::string(kNodeKeyPrefix) + "other";
    entry.value = EncodeNodeRecord({"10.0.0.2:7", FailureDomainId("summit")});
    directory.Replace({entry}, false);
    for (int i = 0;; ++i) {
      NodeId self("self" + std::to_string(i));
      if (directory.CoordinatorOrder(PoolId("scan"), self, NodeRecord())[0] ==
          NodeId("other")) {
        return self;
      }
    }
  }

  std::unique_ptr<StageTaskHandle> Submit(int items = 2) {
    StageTask task;
    task.request = RequestId("q" + std::to_string(++submitted_task_count_));
    task.pool = PoolId("scan");
    task.group = PoolId("scan");
    task.preferred_domain = FailureDomainId("valley");
    task.item_count = items;
    task.key = "k";
    task.due = clock_.Now() + 1s;
    task.deadline = clock_.Now() + 5s;
    return relay_.Submit(task, this);
  }

  void OnStageTaskEnd(size_t, StageTaskResult result) override {
    results_.push_back(std::move(result));
  }

  MemoryNetwork network_;
  FakeStageCaller other_caller_;
  EndpointRegistry other_endpoints_;
  PoolRetryBudget other_retry_budget_{{}};
  StageCoordinator other_coordinator_;
  StageService service_;
  NodeDirectory nodes_;
  StageRelay relay_;
  std::vector<StageTaskResult> results_;
  int submitted_task_count_ = 0;
};

// Guards against nodes that each send small batches of their own instead of
// submitting their tasks to the coordinator.
TEST_F(StagePeersTest, TheCoordinatorRunsTheTask) {
  const auto task = Submit();
  timers_.Advance(5ms);
  ASSERT_EQ(other_caller_.calls.size(), 1u);
  EXPECT_TRUE(stage_caller_.calls.empty());
  other_caller_.Answer(0);
  timers_.Advance(5ms);
  ASSERT_EQ(results_.size(), 1u);
  EXPECT_EQ(results_[0].handles.size(), 2u);
  EXPECT_EQ(results_[0].maker_domain, FailureDomainId("valley"));
}

// Guards against results that are kept at the endpoints which produced them
// after their last use.
TEST_F(StagePeersTest, CancellingATaskReleasesItsResults) {
  auto task = Submit();
  timers_.Advance(5ms);
  other_caller_.Answer(0);
  timers_.Advance(5ms);
  EXPECT_TRUE(other_caller_.released.empty());
  task.reset();
  timers_.Advance(5ms);
  EXPECT_EQ(other_caller_.released.size(), 2u);
}

// Guards against a coordinator that exits while it has tasks of other nodes,
// which lose their work and may fail for lack of retry budget.
TEST_F(StagePeersTest, CountsTheUnfinishedTasksOfOtherNodes) {
  const auto first = Submit();
  auto second = Submit();
  timers_.Advance(5ms);
  EXPECT_EQ(service_.unfinished_task_count(), 2u);
  other_caller_.Answer(0);
  timers_.Advance(5ms);
  EXPECT_EQ(results_.size(), 2u - service_.unfinished_task_count());
  second.reset();
  timers_.Advance(5ms);
  EXPECT_EQ(service_.unfinished_task_count(), 0u);
}

// Guards against tasks that wait without limit for a paused or partitioned
// coordinator.
TEST_F(StagePeersTest, ReassignsTheTasksOfAnUnresponsiveCoordinator) {
  network_.drops_frames = true;
  const auto task = Submit();
  timers_.Advance(300ms);
  ASSERT_EQ(stage_caller_.calls.size(), 1u);
  EXPECT_TRUE(events_.Has("peer_lost peer=other reason=not accepted in time"));
  stage_caller_.Answer(0);
  EXPECT_EQ(results_.size(), 1u);
  // The next task is not sent to the unresponsive coordinator first.
  const auto next = Submit();
  timers_.Advance(5ms);
  EXPECT_EQ(stage_caller_.calls.size(), 2u);
}

// Guards against losing the tasks in the queue of a coordinator that crashes.
TEST_F(StagePeersTest, ReassignsTheTasksOfALostLink) {
  const auto task = Submit();
  timers_.Advance(5ms);
  network_.DisconnectAll();
  timers_.Advance(5ms);
  ASSERT_EQ(stage_caller_.calls.size(), 1u);
  EXPECT_EQ(relay_.reassigned_task_count(), 1u);
  EXPECT_EQ(service_.session_count(), 0u);
}

// Guards against taking a coordinator with a long queue for an unresponsive
// one: its heartbeats for waiting tasks must keep the tasks there.
TEST_F(StagePeersTest, KeepsATaskThatWaitsAtAResponsiveCoordinator) {
  other_endpoints_.Serving(PoolId("scan"))[0]->open_calls = 1;
  const auto task = Submit();
  timers_.Advance(4s);
  EXPECT_EQ(relay_.reassigned_task_count(), 0u);
  EXPECT_TRUE(stage_caller_.calls.empty());
}

// Guards against tasks that wait without limit for a coordinator which stops
// responding after it has accepted them.
TEST_F(StagePeersTest, DetectsACoordinatorThatStopsRespondingLater) {
  other_endpoints_.Serving(PoolId("scan"))[0]->open_calls = 1;
  const auto task = Submit();
  timers_.Advance(5ms);
  network_.drops_frames = true;
  other_endpoints_.Serving(PoolId("scan"))[0]->open_calls = 0;
  timers_.Advance(2s);
  EXPECT_TRUE(events_.Has("peer_lost peer=other reason=silent"));
}

// Guards against fields that are lost or changed by encoding and decoding.
TEST(StageMessageTest, PreservesAllFields) {
  const TimePoint now = TimePoint(1h);
  StageTask task;
  task.request = RequestId("r");
  task.pool = PoolId("p");
  task.preferred_domain = FailureDomainId("d");
  task.moved_bytes = 5'000'000'000;
  task.stage = 3;
  task.item_count = 16;
  task.key = "k";
  task.inputs = {ResultHandle("a"), ResultHandle("b")};
  task.due = now + 700ms;
  task.deadline = now - 20ms;
  task.priority = 2;
  task.result_bytes = 60'000;
  task.group = PoolId("group");
  task.plan = {{.pool = PoolId("scan"),
                .items = 16,
                .result_bytes = 960'000,
                .start = 30ms,
                .end = 280ms}};
  task.prompt = PromptDemand{PoolId("engines"), {{77, 13'000}}, 17'000};
  const auto message = DecodeStageMessage(
      EncodeStageMessage(SubmitTaskMessage{7, task}, now), now + 1h);
  ASSERT_TRUE(message);
  const auto& decoded = std::get<SubmitTaskMessage>(*message);
  EXPECT_EQ(decoded.id, 7u);
  EXPECT_EQ(decoded.task.request, task.request);
  EXPECT_EQ(decoded.task.pool, task.pool);
  EXPECT_EQ(decoded.task.preferred_domain, task.preferred_domain);
  EXPECT_EQ(decoded.task.moved_bytes, task.moved_bytes);
  EXPECT_EQ(decoded.task.stage, task.stage);
  EXPECT_EQ(decoded.task.item_count, task.item_count);
  EXPECT_EQ(decoded.task.inputs, task.inputs);
  EXPECT_EQ(decoded.task.due - (now + 1h), 700ms);
  EXPECT_EQ(decoded.task.deadline - (now + 1h), -20ms);
  EXPECT_EQ(decoded.task.priority, 2);
  EXPECT_EQ(decoded.task.result_bytes, 60'000);
  EXPECT_EQ(decoded.task.group, PoolId("group"));
  ASSERT_EQ(decoded.task.plan.size(), 1u);
  EXPECT_EQ(decoded.task.plan[0].pool, PoolId("scan"));
  EXPECT_EQ(decoded.task.plan[0].items, 16);
  EXPECT_EQ(decoded.task.plan[0].result_bytes, 960'000);
  EXPECT_EQ(decoded.task.plan[0].start, 30ms);
  EXPECT_EQ(decoded.task.plan[0].end, 280ms);
  ASSERT_TRUE(decoded.task.prompt);
  EXPECT_EQ(decoded.task.prompt->pool, PoolId("engines"));
  EXPECT_EQ(decoded.task.prompt->tokens, 17'000);
  ASSERT_EQ(decoded.task.prompt->shared.size(), 1u);
  EXPECT_EQ(decoded.task.prompt->shared[0].hash, 77u);
  EXPECT_EQ(decoded.task.prompt->shared[0].tokens, 13'000);
}

// Guards against a malformed handle that reaches an engine through a
// coordinator of an older version, which does not check what endpoints send it.
TEST(StageMessageTest, AMalformedHandleFailsTheTask) {
  const TimePoint now = TimePoint(1h);
  StageTaskResult result;
  result.outcome = StageItemOutcome::kDone;
  result.handles = {ResultHandle("a/1"), ResultHandle("a/2\r\n")};
  const auto message = DecodeStageMessage(
      EncodeStageMessage(TaskEndedMessage{7, result}, now), now);
  ASSERT_TRUE(message);
  const auto& decoded = std::get<TaskEndedMessage>(*message);
  EXPECT_EQ(decoded.id, 7u);
  EXPECT_EQ(decoded.result.outcome, StageItemOutcome::kFailed);
  EXPECT_TRUE(decoded.result.handles.empty());
}

// Guards against a refusal that loses its retry time by encoding and decoding.
TEST(StageMessageTest, PreservesRefusals) {
  StageTaskResult result;
  result.outcome = StageItemOutcome::kRefused;
  result.retry_after = 700ms;
  const auto message = DecodeStageMessage(
      EncodeStageMessage(TaskEndedMessage{7, result}, TimePoint(1h)),
      TimePoint(1h));
  ASSERT_TRUE(message);
  const auto& decoded = std::get<TaskEndedMessage>(*message);
  EXPECT_EQ(decoded.result.outcome, StageItemOutcome::kRefused);
  EXPECT_EQ(decoded.result.retry_after, 700ms);
}

// Guards against crashes and out-of-bounds reads on frames from faulty or
// unknown peers.
TEST(StageMessageTest, RejectsDamagedFrames) {
  Random random(11);
  const std::string valid_frame =
      EncodeStageMessage(TaskAcceptedMessage{1}, TimePoint(1h));
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = valid_frame;
    for (int change = 0; change < 3; ++change) {
      damaged[random.Below(damaged.size())] =
          static_cast<char>(random.Below(256));
    }
    damaged.resize(random.Below(damaged.size()) + 1);
    // Decoding must neither crash nor read beyond the frame.
    (void)DecodeStageMessage(damaged, TimePoint(1h));
    (void)DecodeNodeRecord(damaged);
  }
  EXPECT_FALSE(DecodeStageMessage("", TimePoint(1h)));
}

// Guards against choosing one of the fleet's smallest hosts as coordinator
// while larger ones are available.
TEST(NodeDirectoryTest, LargeHostsCoordinateBeforeSmallOnes) {
  NodeDirectory directory;
  std::vector<StoreEntry> entries;
  for (int i = 0; i < 20; ++i) {
    StoreEntry entry;
    entry.key = std::string(kNodeKeyPrefix) + "n" + std::to_string(i);
    entry.value = EncodeNodeRecord(
        {"10.0.0.1:1", FailureDomainId("d"), i % 10 == 0 ? 0.5 : 0.12});
    entries.push_back(entry);
  }
  directory.Replace(entries, false);
  const auto order = directory.CoordinatorOrder(PoolId("p"), NodeId("n3"),
                                                {.processor_share = 0.12});
  ASSERT_EQ(order.size(), 20u);
  EXPECT_TRUE(order[0] == NodeId("n0") || order[0] == NodeId("n10"));
  EXPECT_TRUE(order[1] == NodeId("n0") || order[1] == NodeId("n10"));
}

// Guards against nodes that choose different coordinators for the same pool.
TEST(NodeDirectoryTest, AllNodesComputeTheSameOrder) {
  NodeDirectory directory;
  std::vector<StoreEntry> entries;
  for (const char* const name : {"a", "b", "c", "d"}) {
    StoreEntry entry;
    entry.key = std::string(kNodeKeyPrefix) + name;
    entry.value = EncodeNodeRecord({"10.0.0.1:1", FailureDomainId("d")});
    entries.push_back(entry);
  }
  directory.Replace(entries, false);
  const auto order =
      directory.CoordinatorOrder(PoolId("p"), NodeId("a"), NodeRecord());
  EXPECT_EQ(order,
            directory.CoordinatorOrder(PoolId("p"), NodeId("c"), NodeRecord()));
  EXPECT_EQ(order.size(), 4u);
  // Records are kept after an outage of the store, in which registrations may
  // have expired.
  directory.Replace({}, true);
  EXPECT_EQ(directory.size(), 4u);
  directory.Apply({.entry = entries[0], .is_removed = true});
  EXPECT_EQ(directory.size(), 3u);
}

// Guards against a coordinator that continues other nodes' tasks after a pause
// in which those nodes have reassigned them.
TEST_F(StagePeersTest, CancelsTasksOfOtherNodesAfterAPause) {
  const auto task = Submit();
  timers_.Advance(5ms);
  ASSERT_EQ(other_caller_.calls.size(), 1u);
  const auto second = Submit();
  timers_.Advance(5ms);
  service_.CloseAllSessions();
  timers_.Advance(50ms);
  EXPECT_EQ(service_.session_count(), 0u);
  EXPECT_EQ(other_coordinator_.task_count(), 0u);
  EXPECT_EQ(other_caller_.calls.size(), 1u);
}

}  // namespace
}  // namespace peridotmill
