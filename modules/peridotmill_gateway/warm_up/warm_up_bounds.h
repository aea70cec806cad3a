#ifndef PERIDOTMILL_GATEWAY_WARM_UP_WARM_UP_BOUNDS_H_
#define PERIDOTMILL_GATEWAY_WARM_UP_WARM_UP_BOUNDS_H_

#include <map>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/configuration/gateway_config.h"
#include "peridotmill_gateway/warm_up/warm_up.h"

namespace peridotmill {

// Number of nodes among which the requests to warming endpoints are shared.
// Registrations of live nodes may be missing for a while, after an outage or to
// a node that is cut off, so the number that was known lately counts.
struct NodeCount {
  // Registered at the last change.
  int latest = 0;
  int largest = 0;
  // When `largest` nodes were registered for the last time.
  TimePoint largest_at;
  // When a number was known for the first time.
  TimePoint known_since;
};

// Records how many nodes are registered now, this one included.
void RecordNodeCount(NodeCount& count, int nodes, TimePoint now);

// Returns the number of nodes to share with; 0 if it is not known yet, or while
// nodes that started together still register.
int NodesToShareWith(const NodeCount& count, TimePoint now);

// Returns the bounds of the pools that have one. Stage endpoints are called by
// coordinators only, others by all `nodes`.
std::map<PoolId, PoolWarmUp> MakeWarmUpBounds(const GatewayConfig& config,
                                              int nodes,
                                              const NodeId& self);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_WARM_UP_WARM_UP_BOUNDS_H_
