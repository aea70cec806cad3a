#ifndef PERIDOTMILL_NODE_REQUESTS_ACTION_REQUESTS_H_
#define PERIDOTMILL_NODE_REQUESTS_ACTION_REQUESTS_H_

#include <string>

#include "peridotmill_actions/peridotmill_actions.h"
#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Joins requests with the at-most-once execution of keyed actions.

// Both clocks at the time of the step.
ActionTime ActionTimeOf(const StepContext& context);

// Claims the request's key; the request starts when the claim is granted. May
// end and destroy `request`.
void ClaimAction(StepContext& context, RequestState& request);

// A claim or look-up ended.
void TakeActionResult(StepContext& context, const ActionResult& result);

// Records the answer of a request that holds a claim.
void RecordActionEnd(StepContext& context,
                     const RequestState& request,
                     int http_status,
                     const std::string& body,
                     Execution execution);

// Ends the claim of a refused request, if it asked for one: void when nothing
// was run, else with what is known of the run.
void EndClaim(StepContext& context,
              const RequestState& request,
              Reason reason,
              Execution execution);

// A caller asks for the outcome of an action.
void QueryAction(StepContext& context, const ActionQuery& query);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_REQUESTS_ACTION_REQUESTS_H_
