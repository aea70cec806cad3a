#include "peridotmill_limits/admission/admission.h"

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Returns why `work` would be refused, or nullopt if it would be admitted.
std::optional<Reason> FindRefusal(FairQueue& queue,
                                  const AdmissionRequest& request,
                                  const QueuedWork& work,
                                  TimePoint now) {
  const Duration wait =
      PredictWait(queue, work, request.slots, request.slots_in_use, now);
  if (wait + request.remaining > request.time_left) {
    return Reason::kDeadlineUnreachable;
  }
  if (wait > Duration::zero() && !CanEnqueue(queue, work, now)) {
    return Reason::kQueueFull;
  }
  return std::nullopt;
}

}  // namespace

Duration PredictWait(FairQueue& queue,
                     const QueuedWork& work,
                     int32_t slots,
                     int32_t slots_in_use,
                     TimePoint now) {
  if (QueueSize(queue) == 0 && slots_in_use < slots) {
    return Duration::zero();
  }
  const Duration ahead = ServiceTimeAhead(queue, work, now);
  return FromMilliseconds(ToMilliseconds(ahead + work.cost) /
                          std::max(1, slots));
}

AdmissionDecision DecideAdmission(FairQueue& queue,
                                  const AdmissionRequest& request,
                                  TimePoint now) {
  AdmissionDecision decision;
  if (request.slots <= 0) {
    decision.refusal = Reason::kNoEndpoint;
    return decision;
  }
  decision.predicted_wait = PredictWait(queue, request.work, request.slots,
                                        request.slots_in_use, now);
  decision.predicted_finish = decision.predicted_wait + request.remaining;
  decision.refusal = FindRefusal(queue, request, request.work, now);
  if (decision.refusal && request.work.is_over_share) {
    QueuedWork within_share = request.work;
    within_share.is_over_share = false;
    if (!FindRefusal(queue, request, within_share, now)) {
      decision.refusal = Reason::kTeamShareExceeded;
    }
  }
  return decision;
}

}  // namespace peridotmill
