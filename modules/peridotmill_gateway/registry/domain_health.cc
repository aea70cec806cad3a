#include "peridotmill_gateway/registry/domain_health.h"

namespace peridotmill {
namespace {

// Number of different endpoints that must be unresponsive, without a response
// from the domain in between, before it is suspected. Fewer endpoints may
// merely have crashed.
constexpr size_t kMinUnresponsiveEndpoints = 3;
// Minimum time without a response from the domain before it is suspected:
// several slow endpoints of a domain may exceed their time limits together
// while others respond.
constexpr Duration kMinTimeWithoutResponse = std::chrono::milliseconds(200);
// Interval between the calls that test whether a suspected domain responds.
constexpr Duration kProbeInterval = std::chrono::milliseconds(300);
// Time for which a peer's suspicion is valid; the peer repeats it while it
// still suspects the domain.
constexpr Duration kPeerSuspicionLifetime = std::chrono::milliseconds(800);
// A peer's suspicion is ignored if the domain's last response to this node is
// not older than this.
constexpr Duration kRecentResponseAge = std::chrono::milliseconds(200);

}  // namespace

void RecordDomainResponse(DomainHealth& domain, TimePoint now) {
  domain.unresponsive_endpoints.clear();
  domain.last_response = now;
  domain.is_suspected = false;
  domain.peer_suspicion_until = TimePoint();
}

bool RecordUnresponsiveEndpoint(DomainHealth& domain,
                                const EndpointId& endpoint,
                                TimePoint now) {
  if (domain.is_suspected) {
    return false;
  }
  domain.unresponsive_endpoints.insert(endpoint);
  if (domain.unresponsive_endpoints.size() < kMinUnresponsiveEndpoints ||
      now - domain.last_response < kMinTimeWithoutResponse) {
    return false;
  }
  domain.is_suspected = true;
  domain.unresponsive_endpoints.clear();
  domain.next_probe = now + kProbeInterval;
  return true;
}

void RecordPeerSuspicion(DomainHealth& domain, TimePoint now) {
  if (now - domain.last_response <= kRecentResponseAge) {
    return;
  }
  if (domain.peer_suspicion_until <= now) {
    domain.next_probe = now + kProbeInterval;
  }
  domain.peer_suspicion_until = now + kPeerSuspicionLifetime;
}

void RecordDomainCall(DomainHealth& domain, TimePoint now) {
  if (domain.next_probe <= now) {
    domain.next_probe = now + kProbeInterval;
  }
}

bool IsDomainSuspected(const DomainHealth& domain, TimePoint now) {
  return domain.is_suspected || domain.peer_suspicion_until > now;
}

bool IsDomainAvoided(const DomainHealth& domain, TimePoint now) {
  return IsDomainSuspected(domain, now) && domain.next_probe > now;
}

}  // namespace peridotmill
