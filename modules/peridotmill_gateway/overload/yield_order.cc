#include "peridotmill_gateway/overload/yield_order.h"

#include <algorithm>
#include <cmath>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// The latest on-time start reserves a high percentile of the engine's time; a
// start that misses it by less than this is on time more often than not.
constexpr Duration kDoubtfulMargin = std::chrono::milliseconds(400);
// Doubtful and late requests start only up to this share of the horizon; the
// rest is reserved for arriving requests that can be on time.
constexpr double kLateShare = 0.3;
// The same for pools that several priorities share and that have room.
constexpr double kLateShareWithoutPressure = 0.9;
// Pressure from which the reserve grows, and at which it is full: calls that
// are not full lose about a tenth of a pool's throughput.
constexpr double kMinPressure = 0.8;
constexpr double kFullPressure = 1;
// Delay for each priority level below the most urgent, so that urgent requests
// go first and the others do not starve.
constexpr Duration kDelayPerPriority = std::chrono::milliseconds(600);
// The same for late requests.
constexpr Duration kLateDelayPerPriority = std::chrono::seconds(2);
// Delay of a request with twice the usual work, and the longest such delay.
constexpr Duration kDelayPerRelativeWork = std::chrono::milliseconds(60);
constexpr double kMaxDelayedRelativeWork = 3;

}  // namespace

StartOutlook PredictOutlook(TimePoint latest_on_time_start,
                            Duration delay,
                            TimePoint now) {
  const Duration excess = now + delay - latest_on_time_start;
  return excess <= Duration::zero()  ? StartOutlook::kOnTime
         : excess <= kDoubtfulMargin ? StartOutlook::kDoubtful
                                     : StartOutlook::kLate;
}

double StartShare(const PriorityDemands& demands,
                  StartOutlook outlook,
                  double pressure) {
  if (outlook == StartOutlook::kOnTime) {
    return 1;
  }
  if (!DoPrioritiesCompete(demands)) {
    return kLateShare;
  }
  const double strength = std::clamp(
      (pressure - kMinPressure) / (kFullPressure - kMinPressure), 0.0, 1.0);
  return std::lerp(kLateShareWithoutPressure, kLateShare, strength);
}

Duration YieldDelay(const PriorityDemands& demands,
                    int priority,
                    double pool_seconds,
                    StartOutlook outlook) {
  if (!DoPrioritiesCompete(demands)) {
    return priority * kDelayPerPriority;
  }
  const double excess_work =
      std::clamp(RelativeWork(demands, priority, pool_seconds) - 1, 0.0,
                 kMaxDelayedRelativeWork);
  return priority * (outlook == StartOutlook::kLate ? kLateDelayPerPriority
                                                    : kDelayPerPriority) +
         FromMilliseconds(ToMilliseconds(kDelayPerRelativeWork) * excess_work);
}

}  // namespace peridotmill
