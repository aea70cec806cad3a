#ifndef PERIDOTMILL_GATEWAY_REGISTRY_DOMAIN_HEALTH_H_
#define PERIDOTMILL_GATEWAY_REGISTRY_DOMAIN_HEALTH_H_

#include <set>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Tracks whether the endpoints of a failure domain respond to this node. Limits
// the cost of a network partition: otherwise every node would lose one call to
// each of hundreds of unreachable endpoints before it avoids them.
struct DomainHealth {
  // Endpoints that have been unresponsive since the domain's last response.
  std::set<EndpointId> unresponsive_endpoints;
  TimePoint last_response;
  // Whether this node believes the domain to be unreachable.
  bool is_suspected = false;
  // Until then, the domain is suspected because a peer, which calls many
  // endpoints there, has reported it as unreachable.
  TimePoint peer_suspicion_until;
  // From when on one call may test whether the domain responds again.
  TimePoint next_probe;
};

// Records a response from an endpoint of the domain; a refusal counts as one.
void RecordDomainResponse(DomainHealth& domain, TimePoint now);
// Records that a call to the endpoint timed out or that connecting to it
// failed. Returns true if this makes the domain suspected.
bool RecordUnresponsiveEndpoint(DomainHealth& domain,
                                const EndpointId& endpoint,
                                TimePoint now);
// Records that a peer suspects the domain. Ignored if the domain has responded
// to this node recently.
void RecordPeerSuspicion(DomainHealth& domain, TimePoint now);
// Records the start of a call to the domain, which postpones the next probe.
void RecordDomainCall(DomainHealth& domain, TimePoint now);

// Returns whether this node or a peer believes the domain to be unreachable.
bool IsDomainSuspected(const DomainHealth& domain, TimePoint now);

// Returns whether calls should go to other domains, provided that those have
// endpoints left. While the domain is suspected, periodically returns false to
// let a probe through.
bool IsDomainAvoided(const DomainHealth& domain, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REGISTRY_DOMAIN_HEALTH_H_
