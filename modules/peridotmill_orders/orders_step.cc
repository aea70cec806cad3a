#include "peridotmill_orders/orders_step.h"

#include <algorithm>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"
#include "peridotmill_orders/placement/converge.h"

namespace peridotmill {
namespace {

constexpr Duration kStoreTimeout = std::chrono::seconds(1);
// Loading tens of gigabytes takes up to minutes.
constexpr Duration kChangeTimeout = std::chrono::minutes(5);
constexpr Duration kEngineBackoff = std::chrono::seconds(60);
constexpr Duration kMinWeightsBackoff = std::chrono::seconds(1);
// Changes within kPlacementHysteresis, as a share of the pool.
constexpr size_t kMaxChangePercent = 10;

struct Context {
  OrdersState& state;
  TimePoint now;
  OrderCommands commands;
};

void ContinueLease(Context& context, PoolOrders& pool) {
  auto request =
      NextLeaseCall(pool.lease, pool.pool.name, pool.is_candidate, context.now);
  if (request) {
    context.state.last_operation += OrderOperation(1);
    pool.lease_operation = context.state.last_operation;
    context.state.operations[context.state.last_operation] = pool.pool.name;
    context.commands.emplace_back(OrderStoreCall{
        context.state.last_operation, std::move(*request), kStoreTimeout});
  }
}

// Takes the engines' present state as wanted, once enough of them have
// reported under this lease; from there the demand moves it.
void ReadPlacement(PoolOrders& pool) {
  const int32_t reported = CountReported(pool, pool.lease.send_from);
  if (reported == 0 || reported < CountUsable(pool)) {
    return;
  }
  pool.placement = {};
  pool.placement.wanted = CountLoaded(pool);
  pool.is_placement_read = true;
}

void BackOffEngine(PoolOrders& pool, TimePoint now) {
  const auto engine = pool.engines.find(pool.change->endpoint);
  if (engine != pool.engines.end()) {
    engine->second.not_before = now + kEngineBackoff;
  }
  pool.change.reset();
}

void CheckChange(Context& context, PoolOrders& pool) {
  if (!pool.change) {
    return;
  }
  if (IsDone(pool, *pool.change)) {
    pool.change.reset();
  } else if (context.now - pool.change->started_at >= kChangeTimeout) {
    ++context.state.counters.changes_timed_out;
    BackOffEngine(pool, context.now);
  }
}

bool MayStartChange(PoolOrders& pool, TimePoint now) {
  while (!pool.recent_changes.empty() &&
         now - pool.recent_changes.front() >= kPlacementHysteresis) {
    pool.recent_changes.pop_front();
  }
  const auto limit =
      std::max<size_t>(1, pool.engines.size() * kMaxChangePercent / 100);
  return !pool.change && now >= pool.weights_not_before &&
         pool.recent_changes.size() < limit;
}

void StartChange(Context& context, PoolOrders& pool) {
  pool.change = NextChange(pool, context.now);
  if (pool.change) {
    const ModelVersion& version = pool.versions.at(pool.change->version);
    context.commands.emplace_back(
        WeightsRequest{pool.pool.name, version.model});
  }
}

void SendOrder(Context& context, PoolOrders& pool) {
  const PlacementChange& change = *pool.change;
  const auto engine = pool.engines.find(change.endpoint);
  const auto version = pool.versions.find(change.version);
  if (engine == pool.engines.end() || version == pool.versions.end()) {
    pool.change.reset();
    return;
  }
  pool.change->step = ChangeStep::kSent;
  pool.recent_changes.push_back(context.now);
  ++context.state.counters.orders_sent;
  context.commands.emplace_back(
      ModelOrder{pool.pool.name, change.endpoint, engine->second.record.address,
                 pool.lease.record.fence, version->second.model,
                 version->second.version, SendUntil(pool.lease)});
}

void Converge(Context& context, PoolOrders& pool) {
  if (!MaySendOrders(pool.lease, context.now)) {
    if (pool.lease.step != LeaseStep::kHolding) {
      pool.is_placement_read = false;
      pool.change.reset();
    }
    return;
  }
  if (!pool.is_placement_read) {
    ReadPlacement(pool);
    return;
  }
  UpdateWanted(pool.placement, ShareOut(pool.demand, CountUsable(pool)),
               context.now);
  CheckChange(context, pool);
  if (pool.change && pool.change->step == ChangeStep::kPermitted) {
    SendOrder(context, pool);
  } else if (MayStartChange(pool, context.now)) {
    StartChange(context, pool);
  }
}

OrderCommands ContinuePool(Context& context, PoolOrders& pool) {
  ContinueLease(context, pool);
  Converge(context, pool);
  return std::move(context.commands);
}

PoolOrders* PoolOf(OrdersState& state, const EndpointId& endpoint) {
  for (auto& [name, pool] : state.pools) {
    if (pool.engines.contains(endpoint)) {
      return &pool;
    }
  }
  return nullptr;
}

}  // namespace

OrdersState MakeOrdersState(const NodeId& self, Incarnation incarnation) {
  OrdersState state;
  state.self = self;
  state.incarnation = incarnation;
  return state;
}

void SetOrderPools(
    OrdersState& state,
    const std::vector<Pool>& pools,
    const std::map<PoolId, std::vector<ModelVersion>>& versions) {
  std::erase_if(state.pools, [&](const auto& entry) {
    return std::ranges::find(pools, entry.first, &Pool::name) == pools.end();
  });
  for (const Pool& pool : pools) {
    const auto found = versions.find(pool.name);
    if (found == versions.end() || (state.pools.size() >= kMaxOrderPools &&
                                    !state.pools.contains(pool.name))) {
      continue;
    }
    PoolOrders& orders = state.pools[pool.name];
    orders.pool = pool;
    orders.versions.clear();
    for (const ModelVersion& version : found->second) {
      orders.versions[version.name] = version;
    }
  }
}

void SetOrderNodes(OrdersState& state, const std::vector<NodeId>& nodes) {
  for (auto& [name, pool] : state.pools) {
    const std::string key = LeaseRecordKey(name);
    const auto best =
        std::ranges::max_element(nodes, {}, [&key](const NodeId& node) {
          return RendezvousScore(key, node.value());
        });
    pool.is_candidate = best != nodes.end() && *best == state.self;
  }
}

void SetOrderEngines(OrdersState& state,
                     const std::vector<EndpointRecord>& endpoints) {
  for (auto& [name, pool] : state.pools) {
    std::map<EndpointId, OrderedEngine> engines;
    for (const EndpointRecord& endpoint : endpoints) {
      if (endpoint.pool != name || engines.size() >= kMaxOrderEngines) {
        continue;
      }
      const auto known = pool.engines.find(endpoint.id);
      OrderedEngine& engine = engines[endpoint.id];
      // A new process at the same place has another state.
      if (known != pool.engines.end() &&
          known->second.record.incarnation == endpoint.incarnation) {
        engine = std::move(known->second);
      }
      engine.record = endpoint;
    }
    pool.engines = std::move(engines);
  }
}

void SetDemand(OrdersState& state,
               const PoolId& pool,
               std::map<ModelVersionId, double> demand) {
  const auto found = state.pools.find(pool);
  if (found == state.pools.end()) {
    return;
  }
  std::erase_if(demand, [&](const auto& entry) {
    return !found->second.versions.contains(entry.first);
  });
  found->second.demand = std::move(demand);
}

OrderCommands OnEngineReport(OrdersState& state,
                             const EndpointId& endpoint,
                             const EndpointLoad& load,
                             TimePoint now) {
  PoolOrders* pool = PoolOf(state, endpoint);
  if (pool == nullptr) {
    return {};
  }
  OrderedEngine& engine = pool->engines.at(endpoint);
  engine.load = load;
  engine.reported_at = now;
  // The engine has seen a later holder.
  if (FencingNumber(load.fence) > pool->lease.record.fence &&
      pool->lease.step == LeaseStep::kHolding && !pool->lease.is_call_open) {
    DropLease(pool->lease, now);
  }
  Context context{state, now, {}};
  return ContinuePool(context, *pool);
}

OrderCommands OnOrderStoreAnswer(OrdersState& state,
                                 OrderOperation operation,
                                 const StoreAnswer& answer,
                                 TimePoint now) {
  const auto found = state.operations.find(operation);
  if (found == state.operations.end()) {
    return {};
  }
  const auto pool = state.pools.find(found->second);
  state.operations.erase(found);
  if (pool == state.pools.end() || pool->second.lease_operation != operation) {
    return {};
  }
  OnLeaseAnswer(pool->second.lease, pool->first, state.self, state.incarnation,
                answer, now);
  Context context{state, now, {}};
  return ContinuePool(context, pool->second);
}

OrderCommands OnWeightsReply(OrdersState& state,
                             const WeightsReply& reply,
                             TimePoint now) {
  const auto found = state.pools.find(reply.pool);
  if (found == state.pools.end() || !found->second.change ||
      found->second.change->step != ChangeStep::kWeights) {
    return {};
  }
  PoolOrders& pool = found->second;
  if (reply.is_permitted) {
    pool.change->step = ChangeStep::kPermitted;
  } else {
    ++state.counters.weights_refused;
    pool.change.reset();
    pool.weights_not_before =
        now + std::max(reply.retry_after, kMinWeightsBackoff);
  }
  Context context{state, now, {}};
  return ContinuePool(context, pool);
}

OrderCommands OnModelOrderFinished(OrdersState& state,
                                   const EndpointId& endpoint,
                                   bool is_accepted,
                                   TimePoint now) {
  PoolOrders* pool = PoolOf(state, endpoint);
  if (pool == nullptr || !pool->change || pool->change->endpoint != endpoint) {
    return {};
  }
  if (!is_accepted) {
    ++state.counters.orders_refused;
    BackOffEngine(*pool, now);
  }
  return {};
}

OrderCommands OnOrdersTick(OrdersState& state, TimePoint now) {
  Context context{state, now, {}};
  for (auto& [name, pool] : state.pools) {
    ContinueLease(context, pool);
    Converge(context, pool);
  }
  return std::move(context.commands);
}

}  // namespace peridotmill
