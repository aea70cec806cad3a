#ifndef PERIDOTMILL_ORDERS_ORDERS_STEP_H_
#define PERIDOTMILL_ORDERS_ORDERS_STEP_H_

#include <map>
#include <vector>

#include "peridotmill_orders/orders_state.h"

namespace peridotmill {

OrdersState MakeOrdersState(const NodeId& self, Incarnation incarnation);

// Pools of engines, with the model versions that their stages use. Pools above
// kMaxOrderPools get no orders.
void SetOrderPools(OrdersState& state,
                   const std::vector<Pool>& pools,
                   const std::map<PoolId, std::vector<ModelVersion>>& versions);

// Live nodes that are not leaving. For each pool the node with the highest
// rendezvous score tries to hold the lease.
void SetOrderNodes(OrdersState& state, const std::vector<NodeId>& nodes);

// Engines from the host list.
void SetOrderEngines(OrdersState& state,
                     const std::vector<EndpointRecord>& endpoints);

// Measured demand of each model version of a pool, in any one unit.
void SetDemand(OrdersState& state,
               const PoolId& pool,
               std::map<ModelVersionId, double> demand);

OrderCommands OnEngineReport(OrdersState& state,
                             const EndpointId& endpoint,
                             const EndpointLoad& load,
                             TimePoint now);
OrderCommands OnOrderStoreAnswer(OrdersState& state,
                                 OrderOperation operation,
                                 const StoreAnswer& answer,
                                 TimePoint now);
OrderCommands OnWeightsReply(OrdersState& state,
                             const WeightsReply& reply,
                             TimePoint now);
// The engine accepted or refused the order, or could not be reached.
OrderCommands OnModelOrderFinished(OrdersState& state,
                                   const EndpointId& endpoint,
                                   bool is_accepted,
                                   TimePoint now);

// To be called once a second.
OrderCommands OnOrdersTick(OrdersState& state, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ORDERS_ORDERS_STEP_H_
