#ifndef PERIDOTMILL_NODE_FLEET_ENGINE_ORDERS_H_
#define PERIDOTMILL_NODE_FLEET_ENGINE_ORDERS_H_

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Joins the node with peridotmill_orders. Orders are given by failure domain:
// each domain elects a holder for its own engines, so that a domain that is cut
// off from the others goes on.

// Pools, engines or members changed.
void RefreshOrders(StepContext& context);

// Counts an attempt of a generate stage as demand for its model version.
void CountDemand(StepContext& context, const Stage& stage);

// A report of an engine, this node's own or a peer's.
void ReportToOrders(StepContext& context, const LoadReport& report);

void TakeOrderAnswer(StepContext& context,
                     OrderOperation operation,
                     const StoreAnswer& answer);
void TakeOrderFinished(StepContext& context, const OrderFinished& finished);
void TakeWeights(StepContext& context, const WeightsRead& read);

void TickOrders(StepContext& context);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_FLEET_ENGINE_ORDERS_H_
