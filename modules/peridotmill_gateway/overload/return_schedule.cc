#include "peridotmill_gateway/overload/return_schedule.h"

#include <algorithm>

#include "peridotmill_gateway/admission/pool_load.h"

namespace peridotmill {
namespace {

// Share of a pool's throughput that returning callers can expect beside new
// ones.
constexpr double kReturnThroughputShare = 0.4;

}  // namespace

Duration ReserveReturn(ReturnSchedule& schedule,
                       const WaitingRequest& request,
                       const PoolThroughputs& throughputs,
                       Duration drain_time,
                       TimePoint now) {
  TimePoint at = now + drain_time;
  for (const PlannedWork& work : request.work) {
    at = std::max(at, schedule.room_from[work.pool]);
  }
  for (const PlannedWork& work : request.work) {
    PoolLoad load;
    load.Add(work);
    schedule.room_from[work.pool] =
        at + FromSeconds(SecondsOfWork(load, work, throughputs) /
                         kReturnThroughputShare);
  }
  return at - now;
}

}  // namespace peridotmill
