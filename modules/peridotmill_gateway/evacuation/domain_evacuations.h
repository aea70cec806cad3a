#ifndef PERIDOTMILL_GATEWAY_EVACUATION_DOMAIN_EVACUATIONS_H_
#define PERIDOTMILL_GATEWAY_EVACUATION_DOMAIN_EVACUATIONS_H_

#include <map>
#include <set>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"

namespace peridotmill {

// Applies the operators' evacuations of failure domains to the endpoint
// registry. Calls in flight go on; nothing more is sent to the endpoints of an
// evacuated domain. When an evacuation ends, the domain's endpoints count as
// cold, since they may have become so meanwhile.
class DomainEvacuations {
 public:
  DomainEvacuations(EndpointRegistry& registry,
                    const Clock& clock,
                    EventSink& log);

  // Each does nothing if the domain is in that state already.
  void Begin(const FailureDomainId& domain);
  void End(const FailureDomainId& domain);
  // Begins and ends evacuations so that just those of `domains` are in force.
  // After an outage of the store, which may have been restored from a copy,
  // those that are missing go on. Returns whether any do.
  bool Replace(const std::set<FailureDomainId>& domains, bool was_unreachable);

  size_t size() const { return since_.size(); }

 private:
  EndpointRegistry& registry_;
  const Clock& clock_;
  EventSink& log_;
  // The evacuated domains, and since when this node obeys.
  std::map<FailureDomainId, TimePoint> since_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_EVACUATION_DOMAIN_EVACUATIONS_H_
