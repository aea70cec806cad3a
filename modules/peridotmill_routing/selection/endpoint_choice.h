#ifndef PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_CHOICE_H_
#define PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_CHOICE_H_

#include "peridotmill_core/maths/random.h"
#include "peridotmill_routing/endpoints/endpoint_table.h"
#include "peridotmill_routing/prefixes/prefix_index.h"
#include "peridotmill_routing/selection/choice.h"

namespace peridotmill {

inline constexpr size_t kRandomCandidates = 3;

// Chooses an endpoint for one stage. The default policy compares three random
// endpoints with a free slot, and the best one that may hold the prefix. It
// prefers the own failure domain; the other domains' part of the subset is
// used when no healthy endpoint is left in the own domain, or when the own
// domain is saturated and the request has waited for
// (1 - attainment weight) * expected service time, or when all candidates of
// the own domain are slower than expected by more than that, failing or cold.
// The table changes only in its round-robin positions.
EndpointChoice ChooseEndpoint(EndpointTable& table,
                              const PrefixIndex& prefixes,
                              const EndpointChoiceRequest& request,
                              TimePoint now,
                              Random& random);

// Whether the policy respects the concurrency limit of an endpoint.
bool IsBoundedPolicy(RoutingPolicy policy);

// Attempts that the node may have open in the pool: limits of the usable
// endpoints in its own domain, or in the others when it has none.
struct PoolSlots {
  int32_t total = 0;
  int32_t in_use = 0;
};
// Takes time linear in the pool; ask once per admission at most.
PoolSlots CountSlots(const EndpointTable& table,
                     const PoolId& pool,
                     TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_CHOICE_H_
