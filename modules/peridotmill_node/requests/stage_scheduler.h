#ifndef PERIDOTMILL_NODE_REQUESTS_STAGE_SCHEDULER_H_
#define PERIDOTMILL_NODE_REQUESTS_STAGE_SCHEDULER_H_

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Queues the stages whose predecessors are complete, after checking that the
// request can still finish. May end and destroy `request`.
void StartReadyStages(StepContext& context, RequestState& request);

// Puts one stage (again) into its pool's queue.
void QueueStage(StepContext& context,
                RequestState& request,
                const StageId& stage);

// Marks a pool whose waiting stages may be able to start.
void WakePool(StepContext& context, const PoolId& pool);
void WakeAllPools(StepContext& context);

// Starts attempts for the waiting stages of woken pools while these have free
// endpoints. Called once at the end of a step, so that ending one request
// never runs another one's decisions half-way.
void ServeWokenPools(StepContext& context);

// Stage plan of the request as of now.
StagePlan PlanOf(StepContext& context, const RequestState& request);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_STAGE_SCHEDULER_H_
