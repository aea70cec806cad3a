#ifndef PERIDOTMILL_NODE_REQUESTS_ENDPOINT_FEEDBACK_H_
#define PERIDOTMILL_NODE_REQUESTS_ENDPOINT_FEEDBACK_H_

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// What this node learns of its endpoints: health, concurrency limits, load.

// Takes over a load report, this node's own or a peer's.
void LearnFromReport(StepContext& context, const LoadReport& report);

// Ends an attempt in the endpoint table and adapts the endpoint's limit.
void LearnFromAttempt(StepContext& context,
                      const RequestState& request,
                      const AttemptState& attempt,
                      AttemptOutcome outcome);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_ENDPOINT_FEEDBACK_H_
