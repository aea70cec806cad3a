#ifndef PERIDOTMILL_NODE_REQUESTS_REQUEST_REVIEW_H_
#define PERIDOTMILL_NODE_REQUESTS_REQUEST_REVIEW_H_

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Plans the next look at a running request: whether it can still finish, and
// whether a slow attempt is worth a second one beside it.
void PlanReview(StepContext& context,
                const RequestState& request,
                TimePoint at);

// Looks at the requests whose review is due: cancels those that cannot finish
// in time, and starts hedges.
void ReviewRequests(StepContext& context);

// When a stage's attempt may be hedged, if ever.
std::optional<TimePoint> HedgeTime(StepContext& context,
                                   const RequestState& request,
                                   const Stage& stage,
                                   TimePoint started_at);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_REQUEST_REVIEW_H_
