#ifndef PERIDOTMILL_ACTIONS_HOME_HOME_STEP_H_
#define PERIDOTMILL_ACTIONS_HOME_HOME_STEP_H_

#include <vector>

#include "peridotmill_actions/home/home_context.h"

namespace peridotmill {

// The home side: serves the buckets this node is home of, and any other bucket
// for which an origin turns to it. Two nodes that serve the same bucket are
// kept apart by the create-only segments alone.
void StepHome(HomeContext& context,
              const NodeId& from,
              const ClaimRequest& request);
void StepHome(HomeContext& context,
              const NodeId& from,
              const OutcomeRecord& record);
void StepHome(HomeContext& context,
              const NodeId& from,
              const ActionLookup& lookup);
void StepHome(HomeContext& context,
              ActionOperation operation,
              const StoreAnswer& answer);
void SetHomeNodes(HomeContext& context, std::vector<ActionNode> nodes);
void TickHome(HomeContext& context);

// Whether a bucket has work for the next tick.
bool IsBusy(const Bucket& bucket);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_HOME_STEP_H_
