#ifndef PERIDOTMILL_GATEWAY_OVERLOAD_DISPLACEMENT_H_
#define PERIDOTMILL_GATEWAY_OVERLOAD_DISPLACEMENT_H_

#include <vector>

#include "peridotmill_gateway/admission/admission_queue.h"

namespace peridotmill {

// A waiting request that is refused in favour of others.
struct DisplacedRequest {
  AdmissionId id = 0;
  // Time until the pools have room for it.
  Duration retry_after = Duration::zero();
};

// Removes and returns the waiting requests that the requests which go first
// will keep from starting until it is too late. Handles urgent requests that
// arrive during an overload: a caller that has to yield to them is told at
// once, not when its deadline passes. Displaces nothing where priorities do not
// compete.
std::vector<DisplacedRequest> TakeDisplaced(AdmissionQueue& queue,
                                            const PoolThroughputs& throughputs,
                                            TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_OVERLOAD_DISPLACEMENT_H_
