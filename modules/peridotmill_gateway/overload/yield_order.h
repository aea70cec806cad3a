#ifndef PERIDOTMILL_GATEWAY_OVERLOAD_YIELD_ORDER_H_
#define PERIDOTMILL_GATEWAY_OVERLOAD_YIELD_ORDER_H_

#include <cstdint>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/overload/priority_demands.h"

namespace peridotmill {

// What a request's caller gets if the request starts now.
enum class StartOutlook : uint8_t {
  kOnTime,
  // The latest start at which an on-time response is almost certain has just
  // passed.
  kDoubtful,
  kLate
};

// Returns the outlook of a request that will have to queue for `delay`.
StartOutlook PredictOutlook(TimePoint latest_on_time_start,
                            Duration delay,
                            TimePoint now);

// Returns how much of its admission horizon a pool's started work may fill
// before a request with this outlook starts. Handles bursts on pools that
// several priorities share: under `pressure`, see PoolPressure, what is late
// anyway leaves room for requests that arrive later and lose more by waiting.
// Without pressure it would wait for nobody's benefit.
double StartShare(const PriorityDemands& demands,
                  StartOutlook outlook,
                  double pressure);

// Returns by how much a request of this priority and work is put behind the
// time of its arrival, relative to other waiting requests. Handles bursts of
// several priorities, and of requests of unequal size: among equals, those that
// need the most work yield. The delay is bounded, so nothing starves.
Duration YieldDelay(const PriorityDemands& demands,
                    int priority,
                    double pool_seconds,
                    StartOutlook outlook);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_OVERLOAD_YIELD_ORDER_H_
