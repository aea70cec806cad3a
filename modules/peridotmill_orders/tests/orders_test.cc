#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "peridotmill_actions/tests/fake_store.h"
#include "peridotmill_orders/peridotmill_orders.h"

namespace peridotmill {
namespace {

using std::chrono::seconds;

const PoolId kPool("engines");

struct FakeEngine {
  std::string loaded = "m@1";
  int64_t fence = 0;
  bool checks_fencing = true;
  std::vector<int64_t> applied_fences;

  bool Apply(const ModelOrder& order) {
    if (checks_fencing && order.fence.value() < fence) {
      return false;
    }
    fence = std::max(fence, order.fence.value());
    applied_fences.push_back(order.fence.value());
    loaded = order.model + "@" + order.version;
    return true;
  }
};

// Two nodes, their engines and a store with leases, in steps of one second.
class World {
 public:
  explicit World(int engines, bool checks_fencing = true) : engines_(engines) {
    for (int i = 0; i < 2; ++i) {
      nodes_.push_back(MakeOrdersState(NameOf(i), Incarnation(1)));
      Pool pool;
      pool.name = kPool;
      SetOrderPools(nodes_[i], {pool},
                    {{kPool,
                      {{ModelVersionId("one"), "m", "1"},
                       {ModelVersionId("two"), "m", "2"}}}});
      SetOrderEngines(nodes_[i], Endpoints());
    }
    for (FakeEngine& engine : engines_) {
      engine.checks_fencing = checks_fencing;
    }
    SetCandidate(0);
  }

  static NodeId NameOf(int node) { return NodeId("n" + std::to_string(node)); }
  std::vector<FakeEngine>& engines() { return engines_; }
  OrdersState& node(int index) { return nodes_[index]; }
  PoolOrders& pool(int index) { return nodes_[index].pools.at(kPool); }
  FakeStore& store() { return store_; }
  TimePoint now() const { return now_; }
  const std::vector<ModelOrder>& orders() const { return orders_; }

  void SetCandidate(int node) {
    for (OrdersState& state : nodes_) {
      SetOrderNodes(state, {NameOf(node)});
    }
  }
  void Want(double one, double two) {
    for (OrdersState& state : nodes_) {
      SetDemand(state, kPool,
                {{ModelVersionId("one"), one}, {ModelVersionId("two"), two}});
    }
  }
  int Loaded(const std::string& name) const {
    return static_cast<int>(
        std::ranges::count(engines_, name, &FakeEngine::loaded));
  }

  // Faults.
  int paused_node = -1;
  int weights_refusals = 0;
  int lost_answers = 0;
  // Keeps orders back, as a node paused after its last check does.
  bool holds_orders = false;
  std::vector<ModelOrder> held;

  void Run(int duration) {
    for (int i = 0; i < duration; ++i) {
      now_ += seconds(1);
      ExpireLeases();
      for (int node = 0; node < 2; ++node) {
        if (node != paused_node) {
          StepNode(node);
        }
      }
    }
  }

  bool Deliver(const ModelOrder& order) {
    const int index = std::stoi(order.endpoint.value().substr(1));
    return engines_[index].Apply(order);
  }

 private:
  std::vector<EndpointRecord> Endpoints() const {
    std::vector<EndpointRecord> endpoints;
    for (size_t i = 0; i < engines_.size(); ++i) {
      EndpointRecord endpoint;
      endpoint.id = EndpointId("e" + std::to_string(i));
      endpoint.pool = kPool;
      endpoints.push_back(endpoint);
    }
    return endpoints;
  }

  void StepNode(int node) {
    for (size_t i = 0; i < engines_.size(); ++i) {
      EndpointLoad load;
      load.loaded_models = {engines_[i].loaded};
      load.fence = engines_[i].fence;
      Perform(node,
              OnEngineReport(nodes_[node], EndpointId("e" + std::to_string(i)),
                             load, now_));
    }
    Perform(node, OnOrdersTick(nodes_[node], now_));
  }

  void Perform(int node, const OrderCommands& commands) {
    for (const OrderCommand& command : commands) {
      if (const auto* call = std::get_if<OrderStoreCall>(&command)) {
        Perform(node, OnOrderStoreAnswer(nodes_[node], call->operation,
                                         Answer(call->request), now_));
      } else if (const auto* weights = std::get_if<WeightsRequest>(&command)) {
        const bool is_permitted = weights_refusals == 0;
        weights_refusals -= is_permitted ? 0 : 1;
        Perform(node, OnWeightsReply(nodes_[node],
                                     {weights->pool, is_permitted, seconds(5)},
                                     now_));
      } else {
        Send(node, std::get<ModelOrder>(command));
      }
    }
  }

  void Send(int node, const ModelOrder& order) {
    orders_.push_back(order);
    if (holds_orders) {
      held.push_back(order);
      return;
    }
    Perform(node, OnModelOrderFinished(nodes_[node], order.endpoint,
                                       Deliver(order), now_));
  }

  StoreAnswer Answer(const StoreRequest& request) {
    StoreAnswer answer;
    answer.status = StoreStatus::kOk;
    if (std::holds_alternative<StoreLeaseGrant>(request)) {
      answer.lease = ++last_lease_;
      leases_[answer.lease] = now_ + kOrderLease;
      return answer;
    }
    if (const auto* keep = std::get_if<StoreLeaseKeepAlive>(&request)) {
      const bool is_live = leases_.contains(keep->lease);
      answer.ttl_seconds = is_live ? kOrderLease.count() : 0;
      if (is_live) {
        leases_[keep->lease] = now_ + kOrderLease;
      }
      return answer;
    }
    answer = store_.Execute(request);
    const auto* txn = std::get_if<StoreTxn>(&request);
    if (txn != nullptr && answer.status == StoreStatus::kOk) {
      for (const StorePut& put : txn->puts) {
        if (put.lease != 0) {
          attached_[put.lease] = put.key;
        }
      }
      if (lost_answers > 0) {
        --lost_answers;
        answer = {};
        answer.status = StoreStatus::kUnknown;
      }
    }
    return answer;
  }

  void ExpireLeases() {
    std::erase_if(leases_, [this](const auto& entry) {
      if (entry.second > now_) {
        return false;
      }
      store_.entries().erase(attached_[entry.first]);
      return true;
    });
  }

  TimePoint now_ = TimePoint(std::chrono::hours(1));
  FakeStore store_;
  std::vector<FakeEngine> engines_;
  std::vector<OrdersState> nodes_;
  std::vector<ModelOrder> orders_;
  std::map<int64_t, TimePoint> leases_;
  std::map<int64_t, std::string> attached_;
  int64_t last_lease_ = 0;
};

// Guards against a placement that follows a short change of demand, and against
// more than one change at a time or more than 10% of a pool in a minute.
TEST(OrdersTest, FollowsLastingDemandSlowly) {
  World world(20);
  world.Want(1, 0);
  world.Run(60);
  world.Want(1, 1);
  world.Run(30);
  world.Want(1, 0);
  world.Run(60);
  EXPECT_EQ(world.orders().size(), 0u);
  world.Want(1, 1);
  world.Run(60 + 5);
  EXPECT_EQ(world.orders().size(), 2u);
  world.Run(60);
  EXPECT_EQ(world.orders().size(), 4u);
  world.Run(400);
  EXPECT_EQ(world.Loaded("m@2"), 10);
  EXPECT_EQ(world.orders().size(), 10u);
}

// Guards against two holders that send at the same time: the new one waits out
// the window of the old one, and its fence is higher.
TEST(OrdersTest, NewHolderWaitsAndRaisesTheFence) {
  World world(10);
  world.Want(1, 1);
  world.Run(85);
  ASSERT_TRUE(MaySendOrders(world.pool(0).lease, world.now()));
  const FencingNumber old_fence = world.pool(0).lease.record.fence;
  world.paused_node = 0;
  world.SetCandidate(1);
  const TimePoint old_end = SendUntil(world.pool(0).lease);
  while (!MaySendOrders(world.pool(1).lease, world.now())) {
    world.Run(1);
    ASSERT_LT(world.now(), old_end + seconds(60));
  }
  EXPECT_GT(world.now(), old_end + kOrderMargin);
  EXPECT_FALSE(MaySendOrders(world.pool(0).lease, world.now()));
  EXPECT_GT(world.pool(1).lease.record.fence, old_fence);
}

// Guards against a holder that keeps sending after its lease lapsed while it
// was paused.
TEST(OrdersTest, ResumedHolderSendsNothing) {
  World world(10);
  world.Want(1, 0);
  world.Run(60);
  world.Want(1, 1);
  world.Run(20);
  world.paused_node = 0;
  world.SetCandidate(1);
  world.Run(60);
  world.paused_node = -1;
  const size_t before = world.orders().size();
  // A minute of hysteresis and one change a minute.
  world.Run(60 + 5 * 60);
  for (size_t i = before; i < world.orders().size(); ++i) {
    EXPECT_EQ(world.orders()[i].fence, world.pool(1).lease.record.fence);
  }
  EXPECT_EQ(world.Loaded("m@2"), 5);
}

struct StaleOrderCase {
  const char* name;
  bool checks_fencing;
  bool is_applied;
};

// An order leaves a paused holder after the new holder has sent one. Guards
// against a fencing engine that applies it, and against a lasting effect on an
// engine that ignores the fence.
TEST(OrdersTest, StaleOrderAfterHolderChange) {
  const StaleOrderCase cases[] = {
      {"engine checks the fence", true, false},
      {"engine ignores the fence", false, true},
  };
  for (const StaleOrderCase& test : cases) {
    SCOPED_TRACE(test.name);
    World world(2, test.checks_fencing);
    world.Want(1, 1);
    world.holds_orders = true;
    while (world.held.empty()) {
      world.Run(1);
      ASSERT_LT(world.orders().size(), 2u);
    }
    const ModelOrder stale = world.held.front();
    world.holds_orders = false;
    world.paused_node = 0;
    world.SetCandidate(1);
    world.Run(150);
    EXPECT_EQ(world.Loaded("m@2"), 1);
    const int index = std::stoi(stale.endpoint.value().substr(1));
    // The demand turns, and the new holder reverses the first order's effect.
    world.Want(1, 0);
    world.Run(150);
    ASSERT_EQ(world.Loaded("m@2"), 0);
    ASSERT_GT(world.now(), stale.not_after);
    EXPECT_EQ(world.Deliver(stale), test.is_applied);
    EXPECT_EQ(world.engines()[index].loaded == "m@2", test.is_applied);
    world.Run(60);
    EXPECT_EQ(world.Loaded("m@2"), 0);
  }
}

// Guards against asking a weight store again before its Retry-After.
TEST(OrdersTest, BacksOffFromTheWeightStore) {
  World world(4);
  world.Want(1, 0);
  world.Run(60);
  world.Want(1, 1);
  world.weights_refusals = 3;
  world.Run(61);
  EXPECT_EQ(world.node(0).counters.weights_refused, 1u);
  world.Run(4);
  EXPECT_EQ(world.node(0).counters.weights_refused, 1u);
  world.Run(30);
  EXPECT_EQ(world.node(0).counters.weights_refused, 3u);
  EXPECT_EQ(world.orders().size(), 1u);
}

// Guards against a lease that nobody uses because the answer to the acquiring
// write was lost.
TEST(OrdersTest, LostAcquireAnswerIsReadBack) {
  World world(2);
  world.lost_answers = 1;
  world.Run(30);
  EXPECT_TRUE(MaySendOrders(world.pool(0).lease, world.now()));
  EXPECT_EQ(world.pool(0).lease.record.fence, FencingNumber(1));
}

// Guards against engines lost to rounding and against a version without any.
TEST(ShareOutTest, LargestRemainder) {
  const ModelVersionId a("a"), b("b"), c("c");
  const struct {
    std::map<ModelVersionId, double> demand;
    int32_t engines;
    EngineCounts counts;
  } cases[] = {
      {{{a, 1}}, 5, {{a, 5}}},
      {{{a, 1}, {b, 1}}, 5, {{a, 3}, {b, 2}}},
      {{{a, 100}, {b, 1}}, 4, {{a, 3}, {b, 1}}},
      {{{a, 3}, {b, 2}, {c, 1}}, 2, {{a, 1}, {b, 1}}},
      {{{a, 0}}, 3, {}},
      {{{a, 1}}, 0, {}},
  };
  for (const auto& test : cases) {
    EXPECT_EQ(ShareOut(test.demand, test.engines), test.counts);
  }
}

}  // namespace
}  // namespace peridotmill
