#include "peridotmill_routing/retries/hedge_decision.h"

namespace peridotmill {

std::optional<Duration> HedgeDelay(const Stage& stage,
                                   ServiceTimeEstimator& estimator,
                                   SizeClass size_class,
                                   double attainment_weight,
                                   RoutingPolicy policy) {
  if (!stage.idempotent || stage.role == StageRole::kGenerate ||
      attainment_weight <= 0.5 || policy != RoutingPolicy::kDefault) {
    return std::nullopt;
  }
  return ServiceTimeQuantile(estimator, stage, size_class, 0.95);
}

bool DecideHedge(const Stage& stage, int32_t attempts, RetryBudget& budget) {
  return stage.idempotent && attempts < stage.max_attempts &&
         TakeHedgeTokens(budget);
}

}  // namespace peridotmill
