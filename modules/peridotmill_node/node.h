#ifndef PERIDOTMILL_NODE_NODE_H_
#define PERIDOTMILL_NODE_NODE_H_

#include <vector>

#include "peridotmill_node/interface/node_command.h"
#include "peridotmill_node/interface/node_event.h"
#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Creates a node. Findings name the settings that are missing.
tl::expected<NodeState, Findings> MakeNode(NodeSettings settings);

// Takes one event and returns what is to be done. Deterministic: the same
// settings and events give the same commands. `now` must not go back.
std::vector<NodeCommand> Step(NodeState& state,
                              const NodeEvent& event,
                              TimePoint now);

// When the next Tick is due, if nothing happens before.
TimePoint NextWakeup(const NodeState& state);

// Whether the node may be sent new requests.
bool IsReady(const NodeState& state);

// A new request id, unique in the fleet.
RequestId NextRequestId(NodeState& state);

// Puts a configuration in force. `revision` must be above the present one;
// returns false, changing nothing, when it is not.
bool ApplyConfig(NodeState& state,
                 Revision revision,
                 std::shared_ptr<const ObjectSet> objects,
                 TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_NODE_H_
