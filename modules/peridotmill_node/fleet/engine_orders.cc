#include "peridotmill_node/fleet/engine_orders.h"

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peridotmill_node/fleet/fleet_commands.h"

namespace peridotmill {
namespace {

constexpr Duration kTickInterval = std::chrono::seconds(1);
// Demand counts for this long before half of it is forgotten.
constexpr Duration kDemandHalfLife = std::chrono::seconds(60);

// A pool's lease covers the engines of one failure domain.
PoolId OrderPoolOf(const PoolId& pool, const FailureDomainId& domain) {
  return PoolId(pool.value() + "." + domain.value());
}

// Model versions that each pool's generate stages use.
std::map<PoolId, std::vector<ModelVersion>> VersionsByPool(
    const ObjectSet& objects) {
  std::map<PoolId, std::set<ModelVersionId>> names;
  for (const auto& [name, stage] : objects.stages) {
    if (stage.role == StageRole::kGenerate) {
      names[stage.pool].insert(stage.model_version);
    }
  }
  std::map<PoolId, std::vector<ModelVersion>> versions;
  for (const auto& [pool, used] : names) {
    for (const ModelVersionId& version : used) {
      versions[pool].push_back(objects.model_versions.at(version));
    }
  }
  return versions;
}

}  // namespace

void RefreshOrders(StepContext& context) {
  NodeState& state = context.state;
  if (!state.config.objects) {
    return;
  }
  const FailureDomainId& domain = state.settings.failure_domain;
  const auto versions = VersionsByPool(*state.config.objects);
  std::vector<Pool> pools;
  std::map<PoolId, std::vector<ModelVersion>> order_versions;
  for (const auto& [name, used] : versions) {
    Pool pool = state.config.objects->pools.at(name);
    pool.name = OrderPoolOf(name, domain);
    order_versions[pool.name] = used;
    pools.push_back(std::move(pool));
  }
  std::vector<EndpointRecord> engines;
  for (EndpointRecord record : state.host_list.endpoints) {
    if (record.failure_domain == domain && versions.contains(record.pool)) {
      record.pool = OrderPoolOf(record.pool, domain);
      engines.push_back(std::move(record));
    }
  }
  OrdersState& orders = state.fleet.orders;
  SetOrderPools(orders, pools, order_versions);
  SetOrderNodes(orders, UsableMembers(state.fleet.members, domain));
  SetOrderEngines(orders, engines);
}

void CountDemand(StepContext& context, const Stage& stage) {
  FleetState& fleet = context.state.fleet;
  fleet.demand[OrderPoolOf(stage.pool, context.state.settings.failure_domain)]
              [stage.model_version] += 1;
}

void ReportToOrders(StepContext& context, const LoadReport& report) {
  Execute(context, OnEngineReport(context.state.fleet.orders, report.endpoint,
                                  report.load, context.now));
}

void TakeOrderAnswer(StepContext& context,
                     OrderOperation operation,
                     const StoreAnswer& answer) {
  Execute(context, OnOrderStoreAnswer(context.state.fleet.orders, operation,
                                      answer, context.now));
}

void TakeOrderFinished(StepContext& context, const OrderFinished& finished) {
  Execute(context,
          OnModelOrderFinished(context.state.fleet.orders, finished.endpoint,
                               finished.is_accepted, context.now));
}

void TakeWeights(StepContext& context, const WeightsRead& read) {
  Execute(context,
          OnWeightsReply(context.state.fleet.orders,
                         {read.pool, read.is_permitted, read.retry_after},
                         context.now));
}

void TickOrders(StepContext& context) {
  FleetState& fleet = context.state.fleet;
  if (fleet.next_orders_tick > context.now) {
    return;
  }
  fleet.next_orders_tick = context.now + kTickInterval;
  RefreshOrders(context);
  const double kept = std::exp2(-std::chrono::duration<double>(kTickInterval) /
                                std::chrono::duration<double>(kDemandHalfLife));
  for (auto& [pool, versions] : fleet.demand) {
    SetDemand(fleet.orders, pool, versions);
    for (auto& [version, demand] : versions) {
      demand *= kept;
    }
  }
  Execute(context, OnOrdersTick(fleet.orders, context.now));
}

}  // namespace peridotmill
