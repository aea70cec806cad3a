#ifndef PERIDOTMILL_ORDERS_PLACEMENT_WANTED_PLACEMENT_H_
#define PERIDOTMILL_ORDERS_PLACEMENT_WANTED_PLACEMENT_H_

#include <map>
#include <optional>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// How many engines of a pool load each model version.
using EngineCounts = std::map<ModelVersionId, int32_t>;

// A changed demand must persist for this long before the placement follows.
inline constexpr Duration kPlacementHysteresis = std::chrono::seconds(60);

// Shares `engines` out in proportion to demand by the largest remainder; each
// version with demand gets one engine first, the most wanted ones when there
// are too few engines.
EngineCounts ShareOut(const std::map<ModelVersionId, double>& demand,
                      int32_t engines);

struct WantedPlacement {
  EngineCounts wanted;
  EngineCounts candidate;
  std::optional<TimePoint> candidate_since;
};

// Takes `computed` over once it was computed for kPlacementHysteresis without
// a break.
void UpdateWanted(WantedPlacement& placement,
                  const EngineCounts& computed,
                  TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ORDERS_PLACEMENT_WANTED_PLACEMENT_H_
