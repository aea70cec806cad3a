#ifndef PERIDOTMILL_ROUTING_RETRIES_HEDGE_DECISION_H_
#define PERIDOTMILL_ROUTING_RETRIES_HEDGE_DECISION_H_

#include <optional>

#include "peridotmill_routing/estimates/service_time_estimator.h"
#include "peridotmill_routing/retries/retry_budget.h"

namespace peridotmill {

// How long after the start of an attempt a second one may be started beside
// it (the learned 95th percentile), or nothing when the stage is never hedged:
// not idempotent, streamed, or an attainment weight of 0.5 or less.
std::optional<Duration> HedgeDelay(const Stage& stage,
                                   ServiceTimeEstimator& estimator,
                                   SizeClass size_class,
                                   double attainment_weight,
                                   RoutingPolicy policy);

// Asked when the delay has passed and the first attempt is still open.
// Withdraws from the budget; false when the hedge may not be started.
bool DecideHedge(const Stage& stage, int32_t attempts, RetryBudget& budget);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_RETRIES_HEDGE_DECISION_H_
