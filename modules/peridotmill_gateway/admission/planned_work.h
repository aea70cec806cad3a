#ifndef PERIDOTMILL_GATEWAY_ADMISSION_PLANNED_WORK_H_
#define PERIDOTMILL_GATEWAY_ADMISSION_PLANNED_WORK_H_

#include <cstdint>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Work that one stage of a request is expected to need from a pool.
struct PlannedWork {
  PoolId pool;
  int items = 0;
  // Memory that all results of the stage take at their producers.
  int64_t result_bytes = 0;
  // Times from the start of the request's first stage to the start and the end
  // of this stage, without any queueing.
  Duration start = Duration::zero();
  Duration end = Duration::zero();
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_ADMISSION_PLANNED_WORK_H_
