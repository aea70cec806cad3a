#include "peridotmill_gateway/registry/domain_health.h"

namespace peridotmill {
namespace {

// Endpoints that must be silent, one after another without an answer from the
// domain, before it is suspected; fewer may just have crashed.
constexpr size_t kSilentToSuspect = 3;
// Time without an answer from the domain before it is suspected: the slow
// endpoints of a domain are overdue together while others answer.
constexpr Duration kQuietTime = std::chrono::milliseconds(200);
// Time between calls that find out whether a suspected domain answers.
constexpr Duration kProbeInterval = std::chrono::milliseconds(300);
// How long another node's word holds; it is repeated while it is true.
constexpr Duration kHintTime = std::chrono::milliseconds(800);
// An answer that is not older than this outweighs another node's word.
constexpr Duration kFreshAnswer = std::chrono::milliseconds(200);

}  // namespace

void RecordDomainResponse(DomainHealth& domain, TimePoint now) {
  domain.silent.clear();
  domain.last_answer = now;
  domain.is_suspected = false;
  domain.hinted_until = TimePoint();
}

bool RecordUnresponsiveEndpoint(DomainHealth& domain,
                                const EndpointId& endpoint,
                                TimePoint now) {
  if (domain.is_suspected) {
    return false;
  }
  domain.silent.insert(endpoint);
  if (domain.silent.size() < kSilentToSuspect ||
      now - domain.last_answer < kQuietTime) {
    return false;
  }
  domain.is_suspected = true;
  domain.silent.clear();
  domain.next_probe = now + kProbeInterval;
  return true;
}

void RecordPeerSuspicion(DomainHealth& domain, TimePoint now) {
  if (now - domain.last_answer <= kFreshAnswer) {
    return;
  }
  if (domain.hinted_until <= now) {
    domain.next_probe = now + kProbeInterval;
  }
  domain.hinted_until = now + kHintTime;
}

void RecordDomainCall(DomainHealth& domain, TimePoint now) {
  if (domain.next_probe <= now) {
    domain.next_probe = now + kProbeInterval;
  }
}

bool IsDomainSuspected(const DomainHealth& domain, TimePoint now) {
  return domain.is_suspected || domain.hinted_until > now;
}

bool IsDomainAvoided(const DomainHealth& domain, TimePoint now) {
  return IsDomainSuspected(domain, now) && domain.next_probe > now;
}

}  // namespace peridotmill
