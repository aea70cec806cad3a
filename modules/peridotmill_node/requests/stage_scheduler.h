#ifndef PERIDOTMILL_NODE_REQUESTS_STAGE_SCHEDULER_H_
#define PERIDOTMILL_NODE_REQUESTS_STAGE_SCHEDULER_H_

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Queues the stages whose predecessors are complete, after checking that the
// request can still finish. May end and destroy `request`.
void StartReadyStages(StepContext& context, RequestState& request);

// Puts one stage (again) into its pool's queue, or refuses the request when it
// would not be served in time. May end and destroy `request`.
void QueueStage(StepContext& context,
                RequestState& request,
                const StageId& stage);

// Removes a stage from its pool's queue, if it waits there.
void LeaveQueue(StepContext& context,
                RequestState& request,
                const StageId& stage);

// Marks a pool whose waiting stages may be able to start.
void WakePool(StepContext& context, const PoolId& pool);
void WakeAllPools(StepContext& context);

// Starts attempts for the waiting stages of woken pools while these have free
// endpoints. Called once at the end of a step, so that ending one request
// never runs another one's decisions half-way.
void ServeWokenPools(StepContext& context);

// Wakes the pools that time alone makes due: work that expires, or that may be
// served by other failure domains from now on.
void WakeDuePools(StepContext& context);
TimePoint NextQueueWakeup(const NodeState& state);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_STAGE_SCHEDULER_H_
