#ifndef PERIDOTMILL_CORE_IDS_IDS_H_
#define PERIDOTMILL_CORE_IDS_IDS_H_

#include "peridotmill_core/ids/strong_id.h"

namespace peridotmill {

// Names of operators' objects; unique within their kind.
using PipelineId = StrongId<struct PipelineTag>;
using StageId = StrongId<struct StageTag>;
using ModelVersionId = StrongId<struct ModelVersionTag>;
using PoolId = StrongId<struct PoolTag>;
using TeamId = StrongId<struct TeamTag>;
using PriorityId = StrongId<struct PriorityTag>;
using OperatorId = StrongId<struct OperatorTag>;

// Places and processes.
using EndpointId = StrongId<struct EndpointTag>;
using NodeId = StrongId<struct NodeTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;

// One caller request within the fleet, and one try of one of its stages at one
// endpoint. An attempt id is never used twice: it holds the node, the node's
// incarnation and a counter.
using RequestId = StrongId<struct RequestTag>;
using AttemptId = StrongId<struct AttemptTag>;

// Caller-chosen key of an action, scoped by team.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

// Random value that identifies one write or one claim.
using Nonce = StrongId<struct NonceTag>;

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_IDS_IDS_H_
