#include "peridotmill_gateway/evacuation/domain_evacuations.h"

#include <cmath>
#include <string>
#include <vector>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {

DomainEvacuations::DomainEvacuations(EndpointRegistry& registry,
                                     const Clock& clock,
                                     EventSink& log)
    : registry_(registry), clock_(clock), log_(log) {}

void DomainEvacuations::Begin(const FailureDomainId& domain) {
  if (since_.emplace(domain, clock_.Now()).second) {
    registry_.BeginEvacuation(domain);
    log_.Write("domain_evacuated", {{"domain", domain.value()}});
  }
}

void DomainEvacuations::End(const FailureDomainId& domain) {
  const auto found = since_.find(domain);
  if (found == since_.end()) {
    return;
  }
  const TimePoint now = clock_.Now();
  registry_.EndEvacuation(domain, now);
  log_.Write("domain_evacuation_ended",
             {{"domain", domain.value()},
              {"ms", std::to_string(
                         std::lround(ToMilliseconds(now - found->second)))}});
  since_.erase(found);
}

bool DomainEvacuations::Replace(const std::set<FailureDomainId>& domains,
                                bool was_unreachable) {
  std::vector<FailureDomainId> missing;
  for (const auto& [domain, since] : since_) {
    if (!domains.contains(domain)) {
      missing.push_back(domain);
    }
  }
  for (const FailureDomainId& domain : domains) {
    Begin(domain);
  }
  if (was_unreachable) {
    return !missing.empty();
  }
  for (const FailureDomainId& domain : missing) {
    End(domain);
  }
  return false;
}

}  // namespace peridotmill
