#ifndef PERIDOTMILL_ACTIONS_ACTIONS_STEP_H_
#define PERIDOTMILL_ACTIONS_ACTIONS_STEP_H_

#include <vector>

#include "peridotmill_actions/home/home_state.h"
#include "peridotmill_actions/origin/origin_state.h"

namespace peridotmill {

// At-most-once execution in one node: the home side of the buckets it serves
// and the origin side of the calls it accepted. Messages between the two sides
// of one node do not leave this module.
struct ActionsState {
  HomeState home;
  OriginState origin;
  TimePoint next_tick;
};

struct ActionsSettings {
  NodeId self;
  Incarnation incarnation;
  std::chrono::seconds retention{3600};
  uint64_t seed = 1;
};

ActionsState MakeActionsState(const ActionsSettings& settings, ActionTime now);

// Changes how long outcomes are kept, from the configuration in force.
void SetRetention(ActionsState& state, std::chrono::seconds retention);

// A caller's keyed action. `nonce` must be new. Ends with one ActionResult.
struct BeginAction {
  RequestId request;
  TeamId team;
  IdempotencyKey key;
  std::string request_digest;
  Nonce nonce;
  TimePoint deadline;
};
ActionCommands Begin(ActionsState& state,
                     const BeginAction& begin,
                     ActionTime now);

// Records what a granted action answered. An answer above kMaxInlineAnswer is
// reduced to digest and status.
ActionCommands RecordOutcome(ActionsState& state,
                             const Nonce& nonce,
                             ActionAnswer answer,
                             ActionTime now);

// Gives up a claim, or a call that waits for one. The caller of this function
// vouches that the action was not sent and never will be.
ActionCommands VoidClaim(ActionsState& state,
                         const Nonce& nonce,
                         ActionTime now);

// Asks for the state of an action. Ends with one ActionResult, which is
// kDuplicate or kRefused.
ActionCommands LookUpAction(ActionsState& state,
                            const ActionLookup& lookup,
                            TimePoint deadline,
                            ActionTime now);

ActionCommands OnActionMessage(ActionsState& state,
                               const NodeId& from,
                               const ActionMessage& message,
                               ActionTime now);
ActionCommands OnActionStoreAnswer(ActionsState& state,
                                   ActionOperation operation,
                                   const StoreAnswer& answer,
                                   ActionTime now);

// Live nodes, including this one.
ActionCommands SetActionNodes(ActionsState& state,
                              std::vector<ActionNode> nodes,
                              ActionTime now);

ActionCommands OnActionTick(ActionsState& state, ActionTime now);

// When the next tick is due.
TimePoint NextActionWakeup(const ActionsState& state);

// Whether nothing remains to be written or acknowledged, for shutdown.
bool IsDrained(const ActionsState& state);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_ACTIONS_STEP_H_
