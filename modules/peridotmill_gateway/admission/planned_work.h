#ifndef PERIDOTMILL_GATEWAY_ADMISSION_PLANNED_WORK_H_
#define PERIDOTMILL_GATEWAY_ADMISSION_PLANNED_WORK_H_

#include <cstdint>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// What one stage of a request will ask of a pool.
struct PlannedWork {
  PoolId pool;
  int items = 0;
  // Room that all results of the stage take at their makers.
  int64_t result_bytes = 0;
  // From the start of the request's first stage to the end of this one, when
  // nothing waits.
  Duration end = Duration::zero();
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_ADMISSION_PLANNED_WORK_H_
