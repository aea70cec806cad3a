#ifndef PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_MERGE_H_
#define PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_MERGE_H_

#include <optional>
#include <vector>

#include "peridotmill_membership/knowledge/endpoint_knowledge.h"

namespace peridotmill {

// Puts a value in force; returns whether it changed. `models` is null when they
// were not reported. Leaving is kept for the rest of an endpoint's incarnation:
// a second reader's reading from before the news would otherwise undo it.
bool MergeEndpoint(EndpointKnowledge& knowledge,
                   EndpointValue value,
                   const std::vector<Fingerprint>* models,
                   const NodeId& reader,
                   TimePoint observed);

const std::vector<Fingerprint>* FindModels(
    const std::vector<EndpointModels>& models,
    Fingerprint endpoint);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_MERGE_H_
