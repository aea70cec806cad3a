#ifndef PERIDOTMILL_NODE_METRICS_METRICS_PAGE_H_
#define PERIDOTMILL_NODE_METRICS_METRICS_PAGE_H_

#include <cstdint>
#include <string>

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// What only the adapters can count.
struct TransportCounts {
  uint64_t peer_bytes_sent = 0;
  uint64_t peer_bytes_received = 0;
  uint64_t peers_connected = 0;
};

// All metrics of the node in the Prometheus text format.
std::string RenderMetrics(const NodeState& state,
                          const TransportCounts& transport);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_METRICS_METRICS_PAGE_H_
