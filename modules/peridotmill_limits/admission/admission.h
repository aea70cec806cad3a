#ifndef PERIDOTMILL_LIMITS_ADMISSION_ADMISSION_H_
#define PERIDOTMILL_LIMITS_ADMISSION_ADMISSION_H_

#include <optional>

#include "peridotmill_core/reasons/reason.h"
#include "peridotmill_limits/queues/fair_queue.h"

namespace peridotmill {

// What is known when a request asks for a stage's pool.
struct AdmissionRequest {
  QueuedWork work;
  // Attempts that this node may have open in the pool, and has.
  int32_t slots = 0;
  int32_t slots_in_use = 0;
  // Remaining critical path, this stage included, at the refusal quantile.
  Duration remaining{};
  // Time until the deadline.
  Duration time_left{};
};

struct AdmissionDecision {
  // Empty when admitted.
  std::optional<Reason> refusal;
  Duration predicted_wait{};
  // From now until the answer.
  Duration predicted_finish{};
};

// Wait until `work` would start: the work ahead and one more call, over the
// slots that serve it. Zero when a slot is free and nothing waits.
Duration PredictWait(FairQueue& queue,
                     const QueuedWork& work,
                     int32_t slots,
                     int32_t slots_in_use,
                     TimePoint now);

// Admits a request whose predicted finish is before its deadline and that
// finds a place in the queue. The reason is kTeamShareExceeded when the
// request would have been admitted for a team within its share.
AdmissionDecision DecideAdmission(FairQueue& queue,
                                  const AdmissionRequest& request,
                                  TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_LIMITS_ADMISSION_ADMISSION_H_
