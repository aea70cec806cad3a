#ifndef PERIDOTMILL_ACTIONS_ORIGIN_ORIGIN_STEP_H_
#define PERIDOTMILL_ACTIONS_ORIGIN_ORIGIN_STEP_H_

#include <utility>
#include <vector>

#include "peridotmill_actions/origin/origin_state.h"

namespace peridotmill {

// What the functions of the origin side share during one step.
struct OriginContext {
  OriginState& state;
  ActionTime now;
  // What this node's own calls show of the store.
  bool is_store_down = false;
  ActionCommands& commands;
};

struct BeginAction;

void StartAction(OriginContext& context, const BeginAction& begin);
void StartLookup(OriginContext& context,
                 const ActionLookup& lookup,
                 TimePoint deadline);

// Starts to record the outcome of a running action, or the void of a claim.
void Settle(OriginContext& context, const Nonce& nonce, ActionAnswer answer);
void Void(OriginContext& context, const Nonce& nonce);

void StepOrigin(OriginContext& context, const ClaimReply& reply);
void StepOrigin(OriginContext& context, const OutcomeAck& ack);
void StepOrigin(OriginContext& context, const ActionLookupReply& reply);
void SetOriginNodes(OriginContext& context, std::vector<ActionNode> nodes);
void TickOrigin(OriginContext& context);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_ORIGIN_ORIGIN_STEP_H_
