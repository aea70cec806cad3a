#ifndef PERIDOTMILL_NODE_FLEET_FLEET_COMMANDS_H_
#define PERIDOTMILL_NODE_FLEET_FLEET_COMMANDS_H_

#include <vector>

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Turn the commands of the parts into commands of the node.
void Execute(StepContext& context, MembershipCommands commands);
void Execute(StepContext& context, DistributionCommands commands);
void Execute(StepContext& context, ActionCommands commands);
void Execute(StepContext& context, OrderCommands commands);

// Queue a message for the end of the step.
void SendMessage(StepContext& context,
                 const NodeId& peer,
                 const PeerMessage& message);
void SendMessage(StepContext& context,
                 const std::vector<NodeId>& peers,
                 const PeerMessage& message);

// Emits one frame for each peer that has messages queued.
void FlushMessages(StepContext& context);

// Members as the distribution needs them.
DistributionPeers DistributionView(const MembershipState& members);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_FLEET_FLEET_COMMANDS_H_
