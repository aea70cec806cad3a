#ifndef PERIDOTMILL_NODE_METRICS_METRICS_PAGE_H_
#define PERIDOTMILL_NODE_METRICS_METRICS_PAGE_H_

#include <string>

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// All metrics of the node in the Prometheus text format.
std::string RenderMetrics(const NodeState& state);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_METRICS_METRICS_PAGE_H_
