#ifndef PERIDOTMILL_GATEWAY_PLACEMENT_ENDPOINT_PLACEMENT_H_
#define PERIDOTMILL_GATEWAY_PLACEMENT_ENDPOINT_PLACEMENT_H_

#include <span>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"

namespace peridotmill {

// What a request asks of its placement.
struct PlacementRequest {
  // Endpoints that this request has tried.
  std::span<const EndpointId> tried;
  // Where the data that the request needs lies; empty when it does not matter.
  FailureDomainId data_domain;
  // Size of that data; small requests prefer a near endpoint a little.
  int64_t data_bytes = 0;
  // Requests with the same affinity share the beginning of their prompts. 0:
  // none.
  uint64_t affinity = 0;
  // Tokens that an endpoint which has not read the shared parts reads again.
  int64_t shared_tokens = 0;
};

// The first endpoint in the rendezvous order of an affinity; null when there is
// none. All nodes find the same one.
EndpointPtr FindHolder(const std::vector<EndpointPtr>& endpoints,
                       uint64_t affinity);

// What it costs to move data between failure domains, in tokens that an engine
// reads.
double MovingCostTokens(int64_t bytes);

// Load of an endpoint as a share of its slots: its own report, decayed, or the
// calls that this node has open there, whichever is more; above 1 work waits.
double EstimateLoad(const Endpoint& endpoint, TimePoint now);

// Whether the endpoint may be used: not ejected, in a failure domain that
// answers, and no call without an answer for longer than `longest_wait`.
bool IsEndpointUsable(const Endpoint& endpoint,
                      TimePoint now,
                      Duration longest_wait);

// Chooses an endpoint for one call, or null when `serving` is empty but for
// what was tried. Answers the load of bursts on pools of engines: affinity
// holds while the endpoint has slots to spare, and load decides beyond that.
// Untrusted endpoints are used only where no other is left.
EndpointPtr ChooseEndpoint(const std::vector<EndpointPtr>& serving,
                           const PlacementRequest& request,
                           Duration longest_wait,
                           TimePoint now,
                           Random& random);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PLACEMENT_ENDPOINT_PLACEMENT_H_
