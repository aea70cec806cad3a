#include "peridotmill_gateway/overload/pool_demands.h"

#include <cmath>
#include <numbers>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Time after which an item counts half: a few hundred requests arrive in it,
// and a burst lasts longer.
constexpr Duration kHalfLife = std::chrono::seconds(1);
constexpr double kMillisecondsPerSecond = 1000;

double DecayFactor(TimePoint from, TimePoint to) {
  return to <= from ? 1
                    : std::exp2(-ToMilliseconds(to - from) /
                                ToMilliseconds(kHalfLife));
}

}  // namespace

void RecordPoolDemand(PoolDemands& demands,
                      const std::vector<PlannedWork>& work,
                      TimePoint now) {
  const double factor = DecayFactor(demands.updated, now);
  for (auto& [pool, items] : demands.items) {
    items *= factor;
  }
  demands.updated = now;
  for (const PlannedWork& part : work) {
    demands.items[part.pool] += part.items;
  }
}

double PoolPressure(const PoolDemands& demands,
                    const PoolId& pool,
                    double items_per_second,
                    TimePoint now) {
  const auto found = demands.items.find(pool);
  if (found == demands.items.end() || items_per_second <= 0) {
    return 0;
  }
  const double half_life_seconds =
      ToMilliseconds(kHalfLife) / kMillisecondsPerSecond;
  const double demand_per_second = found->second *
                                   DecayFactor(demands.updated, now) *
                                   std::numbers::ln2 / half_life_seconds;
  return demand_per_second / items_per_second;
}

}  // namespace peridotmill
