#ifndef PERIDOTMILL_GATEWAY_ADMISSION_STAGE_ADMISSION_H_
#define PERIDOTMILL_GATEWAY_ADMISSION_STAGE_ADMISSION_H_

#include <optional>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// What is known of a request with stages when it arrives.
struct StageAdmissionInput {
  // Predicted time until the first event of its stream.
  Duration predicted = Duration::zero();
  Duration target_latency = Duration::zero();
  // Until the caller gives up waiting for the first event.
  Duration patience = Duration::zero();
  // What the caller has left of its deadline.
  Duration time_left = Duration::zero();
  // 0 is the most urgent.
  int priority = 0;
  // The caller has been here before: its answer is late whatever happens.
  bool is_returning = false;
};

// Whether to refuse a request at once, and when its caller should come back;
// nothing to accept it. Answers bursts above the capacity of stage pools:
// without it every request waits, becomes late, and holds the room of results
// that requests which are still on time need. Less urgent requests are refused
// at a shorter queue. `spread`, in [0, 1), spreads the callers' return.
std::optional<Duration> RefuseForQueue(const StageAdmissionInput& input,
                                       double spread);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_ADMISSION_STAGE_ADMISSION_H_
