#ifndef PERIDOTMILL_NODE_FLEET_FLEET_H_
#define PERIDOTMILL_NODE_FLEET_FLEET_H_

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Sets up membership, configuration distribution and shared knowledge.
void StartFleet(NodeState& state);

void TakeHostList(StepContext& context, const HostList& list);
void TakeLoad(StepContext& context, const LoadRead& read);
void TakeCacheEvents(StepContext& context, const CacheEventsRead& read);
void TakePeerFrame(StepContext& context, const PeerFrame& frame);
void TakePeerConnected(StepContext& context, const NodeId& peer);
void TakePeerDisconnected(StepContext& context, const NodeId& peer);
void TakeStoreAnswer(StepContext& context, const StoreAnswered& answered);

// Does what is due: heartbeats, reads, reports, digests, summaries.
void TickFleet(StepContext& context);

// Tells the peers that this node is shutting down.
void AnnounceLeaving(StepContext& context);

// The configuration in force changed.
void NoteConfigChange(StepContext& context);

TimePoint NextFleetWakeup(const NodeState& state, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_FLEET_FLEET_H_
