#include "peridotmill_gateway/warm_up/warm_up_bounds.h"

#include <algorithm>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

// A larger number of nodes that was known within this time counts.
constexpr Duration kNodeCountMemory = std::chrono::minutes(1);
// Nodes that start together register within this time.
constexpr Duration kRegistrationTime = std::chrono::seconds(2);
// Coordinators of one group of stage pools: after a partition there may be two.
constexpr int kCoordinators = 2;

}  // namespace

void RecordNodeCount(NodeCount& count, int nodes, TimePoint now) {
  if (count.known_since == TimePoint()) {
    count.known_since = now;
  }
  if (count.latest == count.largest) {
    // That many were registered until now.
    count.largest_at = now;
  }
  if (nodes >= count.largest || now - count.largest_at > kNodeCountMemory) {
    count.largest = nodes;
    count.largest_at = now;
  }
  count.latest = nodes;
}

int NodesToShareWith(const NodeCount& count, TimePoint now) {
  const bool is_known = count.known_since != TimePoint() &&
                        now - count.known_since >= kRegistrationTime;
  return is_known ? std::max(count.largest, 1) : 0;
}

std::map<PoolId, PoolWarmUp> MakeWarmUpBounds(const GatewayConfig& config,
                                              int nodes,
                                              const NodeId& self) {
  std::map<PoolId, PoolWarmUp> bounds;
  for (const PoolDefinition& pool : config.pools) {
    if (pool.warm_up && pool.warm_up->requests_per_second > 0) {
      bounds[pool.id] = {
          .requests_per_second = pool.warm_up->requests_per_second,
          .duration = pool.warm_up->duration,
          .callers = pool.stage ? std::min(nodes, kCoordinators) : nodes,
          .node_seed = Hash64(self.value())};
    }
  }
  return bounds;
}

}  // namespace peridotmill
