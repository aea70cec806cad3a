#ifndef PERIDOTMILL_NODE_REQUESTS_REQUEST_ENDING_H_
#define PERIDOTMILL_NODE_REQUESTS_REQUEST_ENDING_H_

#include <string>

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Each of these ends a request: its open attempts are cancelled, its caller
// gets the answer or refusal, and `request` is destroyed.

// All stages are complete.
void AnswerRequest(StepContext& context, RequestState& request);

void RefuseRequest(StepContext& context,
                   RequestState& request,
                   Reason reason,
                   const std::string& message = "");

// As above, for a request whose execution is known from elsewhere: the record
// of another request under the same key.
void RefuseRequestAs(StepContext& context,
                     RequestState& request,
                     Reason reason,
                     Execution execution,
                     const std::string& message = "");

// Refuses all requests whose deadline has passed.
void ExpireRequests(StepContext& context);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_REQUEST_ENDING_H_
