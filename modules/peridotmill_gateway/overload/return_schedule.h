#ifndef PERIDOTMILL_GATEWAY_OVERLOAD_RETURN_SCHEDULE_H_
#define PERIDOTMILL_GATEWAY_OVERLOAD_RETURN_SCHEDULE_H_

#include <map>

#include "peridotmill_gateway/admission/admission_queue.h"

namespace peridotmill {

// Times from which the pools have room for further refused callers that return.
struct ReturnSchedule {
  std::map<PoolId, TimePoint> room_from;
};

// Reserves room for a refused request and returns the time after which its
// caller should retry. `drain_time` is the time until the pools have done the
// work ahead of it. Handles many refusals at once: callers that were told the
// same time would return together and be refused again.
Duration ReserveReturn(ReturnSchedule& schedule,
                       const WaitingRequest& request,
                       const PoolThroughputs& throughputs,
                       Duration drain_time,
                       TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_OVERLOAD_RETURN_SCHEDULE_H_
