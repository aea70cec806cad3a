// peridotmill_node: one entry node without input or output.
//
// Joins the parts: requests run through the stages of their pipelines, state
// is kept in one struct, events go in and commands come out.
//
// Dependencies: peridotmill_core, peridotmill_config, peridotmill_routing,
// peridotmill_limits, peridotmill_actions, peridotmill_membership,
// peridotmill_orders, nlohmann-json, Boost.Accumulators.

#ifndef PERIDOTMILL_NODE_PERIDOTMILL_NODE_H_
#define PERIDOTMILL_NODE_PERIDOTMILL_NODE_H_

#include "peridotmill_node/cost/cost_ledger.h"
#include "peridotmill_node/interface/node_command.h"
#include "peridotmill_node/interface/node_event.h"
#include "peridotmill_node/metrics/node_statistics.h"
#include "peridotmill_node/node.h"
#include "peridotmill_node/state/node_state.h"

#endif  // PERIDOTMILL_NODE_PERIDOTMILL_NODE_H_
