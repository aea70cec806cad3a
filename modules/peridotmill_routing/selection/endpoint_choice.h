#ifndef PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_CHOICE_H_
#define PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_CHOICE_H_

#include "peridotmill_core/maths/random.h"
#include "peridotmill_routing/endpoints/endpoint_table.h"
#include "peridotmill_routing/prefixes/prefix_index.h"
#include "peridotmill_routing/selection/choice.h"

namespace peridotmill {

// Number of endpoints with a free slot that are sampled at random and compared.
inline constexpr size_t kRandomCandidates = 3;

// Selects an endpoint for one stage. The default policy compares three random
// endpoints with a free slot and the best endpoint that may have the prefix in
// its cache. It prefers the node's own failure domain. It also considers
// PoolIndex::other_domains in three cases:
// - The own domain has no healthy endpoint left.
// - The own domain is saturated and the request has waited for
//   (1 - attainment weight) * expected service time.
// - All candidates of the own domain are penalized by more than that for being
//   slower than expected, for failures or for a model that is not loaded.
// Changes nothing in the table but its round-robin positions.
EndpointChoice ChooseEndpoint(EndpointTable& table,
                              const PrefixIndex& prefixes,
                              const EndpointChoiceRequest& request,
                              TimePoint now,
                              Random& random);

// Returns whether the policy respects the concurrency limits of endpoints.
bool IsBoundedPolicy(RoutingPolicy policy);

// Number of attempts that this node may have in flight in a pool: the sum of
// the limits of the usable endpoints in its own domain or, if there are none,
// in PoolIndex::other_domains.
struct PoolSlots {
  int32_t total = 0;
  int32_t in_use = 0;
};
// Counts the slots of a pool in time linear in its size. Call it at most once
// per admission.
PoolSlots CountSlots(const EndpointTable& table,
                     const PoolId& pool,
                     TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_SELECTION_ENDPOINT_CHOICE_H_
