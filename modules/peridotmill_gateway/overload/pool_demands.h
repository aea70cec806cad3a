#ifndef PERIDOTMILL_GATEWAY_OVERLOAD_POOL_DEMANDS_H_
#define PERIDOTMILL_GATEWAY_OVERLOAD_POOL_DEMANDS_H_

#include <map>
#include <vector>

#include "peridotmill_gateway/admission/planned_work.h"

namespace peridotmill {

// Items for which requests have recently asked each pool. Older items count
// less.
struct PoolDemands {
  std::map<PoolId, double> items;
  TimePoint updated;
};

// Records the work of a request that has arrived.
void RecordPoolDemand(PoolDemands& demands,
                      const std::vector<PlannedWork>& work,
                      TimePoint now);

// Returns the recent demand on a pool as a share of what it can do; above 1,
// the pool is overloaded, whether or not requests wait for it yet.
double PoolPressure(const PoolDemands& demands,
                    const PoolId& pool,
                    double items_per_second,
                    TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_OVERLOAD_POOL_DEMANDS_H_
