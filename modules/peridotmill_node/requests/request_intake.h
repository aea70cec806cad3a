#ifndef PERIDOTMILL_NODE_REQUESTS_REQUEST_INTAKE_H_
#define PERIDOTMILL_NODE_REQUESTS_REQUEST_INTAKE_H_

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Checks a caller's request, and starts it or refuses it.
void TakeRequest(StepContext& context, const CallerRequest& request);

// The caller closed the connection: everything that runs for it is cancelled.
void DropRequest(StepContext& context, const RequestId& request);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_REQUEST_INTAKE_H_
