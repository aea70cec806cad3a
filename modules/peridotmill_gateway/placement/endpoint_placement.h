#ifndef PERIDOTMILL_GATEWAY_PLACEMENT_ENDPOINT_PLACEMENT_H_
#define PERIDOTMILL_GATEWAY_PLACEMENT_ENDPOINT_PLACEMENT_H_

#include <span>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"

namespace peridotmill {

// Requirements of one call of a request, used to choose its endpoint.
struct PlacementRequest {
  // Endpoints to which this request was sent already; they are not chosen
  // again.
  std::span<const EndpointId> tried;
  // Failure domain that stores the data which the request needs; empty if the
  // domain does not matter.
  FailureDomainId data_domain;
  // Size of that data. Even without data, an endpoint in `data_domain` is
  // slightly preferred.
  int64_t data_bytes = 0;
  // Hash of the shared prompt prefix; see PrefixAffinity. 0 if the request
  // shares no prefix.
  uint64_t affinity = 0;
  // Tokens of the shared prefix, which an endpoint without the prefix in its KV
  // cache has to prefill again.
  int64_t shared_tokens = 0;
};

// Returns the endpoint with the highest rendezvous hash for an affinity, or
// null if `endpoints` is empty. All nodes choose the same endpoint.
EndpointPtr FindRendezvousEndpoint(const std::vector<EndpointPtr>& endpoints,
                                   uint64_t affinity);

// Returns the cost of transferring data between failure domains, expressed as a
// number of prefill tokens.
double TransferCostTokens(int64_t bytes);

// Returns the load of an endpoint as a fraction of its slots: the greater of
// its decayed load report and the calls that this node has in flight there.
// Calls count by the pace that the endpoint has stated. Above 1, work waits at
// the endpoint.
double EstimateLoad(const Endpoint& endpoint, TimePoint now);

// Returns whether the endpoint may be used: it is not ejected, its failure
// domain responds, and no call has waited for a response for longer than
// `max_response_wait`.
bool IsEndpointUsable(const Endpoint& endpoint,
                      TimePoint now,
                      Duration max_response_wait);

// Chooses an endpoint for one call; returns null if no endpoint in `serving` is
// untried. Handles bursts on pools of engines: prefix affinity decides while
// the preferred endpoint has free slots, and load decides beyond that.
// Endpoints that are not usable are chosen only if no other is left.
EndpointPtr ChooseEndpoint(const std::vector<EndpointPtr>& serving,
                           const PlacementRequest& request,
                           Duration max_response_wait,
                           TimePoint now,
                           Random& random);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PLACEMENT_ENDPOINT_PLACEMENT_H_
