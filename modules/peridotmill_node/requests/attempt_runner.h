#ifndef PERIDOTMILL_NODE_REQUESTS_ATTEMPT_RUNNER_H_
#define PERIDOTMILL_NODE_REQUESTS_ATTEMPT_RUNNER_H_

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// How long after its deadline a claimed action may run on, so that its outcome
// becomes known and can be asked for under its key.
inline constexpr Duration kOutcomeGrace = std::chrono::seconds(10);

// Sends one attempt of a stage to an endpoint.
void StartStageAttempt(StepContext& context,
                       RequestState& request,
                       const Stage& stage,
                       const EndpointId& endpoint,
                       bool is_hedge);

// Cancels the open attempts of a stage; what they used counts as wasted.
void CancelAttempts(StepContext& context,
                    RequestState& request,
                    const StageId& stage);

// A piece of a stream arrived.
void TakeFragment(StepContext& context, const AttemptFragment& fragment);

// An attempt ended; its stage is complete, repeated or given up.
void TakeFinished(StepContext& context, const AttemptFinished& finished);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_ATTEMPT_RUNNER_H_
