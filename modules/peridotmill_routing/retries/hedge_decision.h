#ifndef PERIDOTMILL_ROUTING_RETRIES_HEDGE_DECISION_H_
#define PERIDOTMILL_ROUTING_RETRIES_HEDGE_DECISION_H_

#include <optional>

#include "peridotmill_routing/estimates/service_time_estimator.h"
#include "peridotmill_routing/retries/retry_budget.h"

namespace peridotmill {

// Returns the time after the start of an attempt at which a second, concurrent
// attempt may start: the estimated 95th percentile of the service time. Returns
// nothing when the stage is not idempotent or is streamed, the attainment
// weight is 0.5 or less, or `policy` is not the default.
std::optional<Duration> HedgeDelay(const Stage& stage,
                                   ServiceTimeEstimator& estimator,
                                   SizeClass size_class,
                                   double attainment_weight,
                                   RoutingPolicy policy);

// Returns whether the hedge may start, and withdraws it from the budget. Called
// when the delay has passed and the first attempt is still in flight.
bool DecideHedge(const Stage& stage, int32_t attempts, RetryBudget& budget);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_RETRIES_HEDGE_DECISION_H_
