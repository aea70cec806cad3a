#ifndef PERIDOTMILL_CORE_IDS_IDS_H_
#define PERIDOTMILL_CORE_IDS_IDS_H_

#include "peridotmill_core/ids/strong_id.h"

namespace peridotmill {

// Names of the objects that operators configure; unique within each kind.
using PipelineId = StrongId<struct PipelineTag>;
using StageId = StrongId<struct StageTag>;
using ModelVersionId = StrongId<struct ModelVersionTag>;
using PoolId = StrongId<struct PoolTag>;
using TeamId = StrongId<struct TeamTag>;
using PriorityId = StrongId<struct PriorityTag>;
using OperatorId = StrongId<struct OperatorTag>;

// Processes and the failure domains in which they run.
using EndpointId = StrongId<struct EndpointTag>;
using NodeId = StrongId<struct NodeTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;

// RequestId identifies a caller's request within the fleet. AttemptId
// identifies one attempt of one of the request's stages at one endpoint. An
// attempt id is never reused, since it contains the node, the node's
// incarnation and a counter.
using RequestId = StrongId<struct RequestTag>;
using AttemptId = StrongId<struct AttemptTag>;

// Key that a caller chooses for an action, so that the action can be retried
// safely. Unique within a team.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

// Random value that identifies one write to the store or one claim.
using Nonce = StrongId<struct NonceTag>;

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_IDS_IDS_H_
