#ifndef PERIDOTMILL_NODE_REQUESTS_STAGE_PLAN_VIEW_H_
#define PERIDOTMILL_NODE_REQUESTS_STAGE_PLAN_VIEW_H_

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Size class of the request's input.
SizeClass SizeOf(const RequestState& request);

// Stage plan of the request as of now.
StagePlan PlanOf(StepContext& context, const RequestState& request);

// Learned median service time of a stage for this request's size.
Duration ExpectedTime(StepContext& context,
                      const RequestState& request,
                      const Stage& stage);

// Whether the deployment's policy admits by predicted finish time.
bool IsAdmissionOn(const RequestState& request);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_STAGE_PLAN_VIEW_H_
