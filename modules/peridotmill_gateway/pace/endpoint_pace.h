#ifndef PERIDOTMILL_GATEWAY_PACE_ENDPOINT_PACE_H_
#define PERIDOTMILL_GATEWAY_PACE_ENDPOINT_PACE_H_

#include <optional>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// The pace that an endpoint has stated in its load reports: how long work takes
// there, as a multiple of the usual time of its pool.
struct EndpointPace {
  double stated = 1;
  // Unset if the endpoint has stated none.
  std::optional<TimePoint> stated_at;
};

// Records a stated pace in percent of the usual time. Values outside [10, 1000]
// are clamped.
void RecordStatedPace(EndpointPace& pace, int percent, TimePoint now);

// Returns the pace to assume now. Handles pools whose endpoints share their
// machines with other work: the figure changes many times a second, so it
// counts less with its age and returns to 1, the usual pace.
double EstimateStatedPace(const EndpointPace& pace, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PACE_ENDPOINT_PACE_H_
