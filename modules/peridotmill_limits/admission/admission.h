#ifndef PERIDOTMILL_LIMITS_ADMISSION_ADMISSION_H_
#define PERIDOTMILL_LIMITS_ADMISSION_ADMISSION_H_

#include <optional>

#include "peridotmill_core/reasons/reason.h"
#include "peridotmill_limits/queues/fair_queue.h"

namespace peridotmill {

// Input of an admission decision: one stage of a request, and the state of the
// stage's pool at this node.
struct AdmissionRequest {
  QueuedWork work;
  // Maximum and present number of this node's attempts in flight in the pool.
  int32_t slots = 0;
  int32_t slots_in_use = 0;
  // Predicted time of the request's remaining critical path, including this
  // stage, at the quantile that is used for refusals.
  Duration remaining{};
  // Time until the request's deadline.
  Duration time_left{};
};

// Result of an admission decision.
struct AdmissionDecision {
  // Why the request is refused; nullopt if it is admitted.
  std::optional<Reason> refusal;
  Duration predicted_wait{};
  // Predicted time from now until the response is complete.
  Duration predicted_finish{};
};

// Returns the predicted time until `work` would start: the expected service
// time of the work ahead of it plus its own, divided by `slots`. Returns zero
// if a slot is free and the queue is empty.
Duration PredictWait(FairQueue& queue,
                     const QueuedWork& work,
                     int32_t slots,
                     int32_t slots_in_use,
                     TimePoint now);

// Admits a request if its predicted finish is not after its deadline and, when
// it has to wait, the queue accepts it. The reason for a refusal is
// kTeamShareExceeded if the request would have been admitted for a team within
// its share.
AdmissionDecision DecideAdmission(FairQueue& queue,
                                  const AdmissionRequest& request,
                                  TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_LIMITS_ADMISSION_ADMISSION_H_
