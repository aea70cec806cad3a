#ifndef PERIDOTMILL_NODE_FLEET_SHARED_KNOWLEDGE_H_
#define PERIDOTMILL_NODE_FLEET_SHARED_KNOWLEDGE_H_

#include "peridotmill_node/state/node_state.h"

namespace peridotmill {

// Endpoint load, cache hints, summaries and team use, shared with the peers
// and applied to this node's own tables. @see EndpointKnowledge

void TakeListedEndpoints(StepContext& context, const HostList& list);
void TakeReports(StepContext& context,
                 const NodeId& from,
                 const EndpointReportsMessage& message);
void TakeCacheHints(StepContext& context, CacheHintsMessage message);
void TakeTeamUse(StepContext& context,
                 const NodeId& from,
                 const TeamUseMessage& message);
void TakeSummary(StepContext& context,
                 const NodeId& from,
                 const DomainSummaryMessage& message);
void TakeDigestMessage(StepContext& context,
                       const NodeId& from,
                       const DigestMessage& message);
void TakeDigestReply(StepContext& context,
                     const NodeId& from,
                     const DigestReplyMessage& message);

void TickSharedKnowledge(StepContext& context);
TimePoint NextSharedKnowledgeWakeup(const NodeState& state);

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_FLEET_SHARED_KNOWLEDGE_H_
