#ifndef PERIDOTMILL_GATEWAY_REGISTRY_DOMAIN_HEALTH_H_
#define PERIDOTMILL_GATEWAY_REGISTRY_DOMAIN_HEALTH_H_

#include <set>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Whether a failure domain answers this node. Answers the load of a partition:
// each of hundreds of endpoints beyond it would otherwise cost every node a
// call that is never answered before it is avoided.
struct DomainHealth {
  // Endpoints that were silent since the domain last answered.
  std::set<EndpointId> silent;
  TimePoint last_answer;
  // Set while the domain is believed to be cut off.
  bool is_suspected = false;
  // Another node, which calls many endpoints there, believes so until then.
  TimePoint hinted_until;
  // When one call may find out whether the domain answers again.
  TimePoint next_probe;
};

// An endpoint of the domain has answered, if only to refuse.
void RecordDomainResponse(DomainHealth& domain, TimePoint now);
// An endpoint has let a call run out of time, or could not be connected to.
// Returns true if the domain is suspected from now on.
bool RecordUnresponsiveEndpoint(DomainHealth& domain,
                                const EndpointId& endpoint,
                                TimePoint now);
// Another node suspects the domain. Ignored if the domain has answered this
// node a moment ago.
void RecordPeerSuspicion(DomainHealth& domain, TimePoint now);
// A call to the domain begins; the next probe has to wait.
void RecordDomainCall(DomainHealth& domain, TimePoint now);

// Whether this node, or another one, believes the domain to be cut off.
bool IsDomainSuspected(const DomainHealth& domain, TimePoint now);

// Whether calls should go to other domains, if those have endpoints left. False
// now and then while the domain is suspected, for a probe.
bool IsDomainAvoided(const DomainHealth& domain, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REGISTRY_DOMAIN_HEALTH_H_
