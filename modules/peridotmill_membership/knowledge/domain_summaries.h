#ifndef PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_DOMAIN_SUMMARIES_H_
#define PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_DOMAIN_SUMMARIES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "peridotmill_core/platform/host_list.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_membership/knowledge/endpoint_knowledge.h"
#include "peridotmill_membership/messages/peer_message.h"

namespace peridotmill {

inline constexpr Duration kSummaryInterval = std::chrono::seconds(2);
// Each summary is repeated after this many intervals (30 s) even if unchanged,
// so that a lost one is repaired and a lost domain's summaries expire.
inline constexpr uint32_t kSummaryRepeat = 15;
inline constexpr Duration kSummaryExpiry = std::chrono::seconds(70);
// 16 domains with 64 pools each.
inline constexpr size_t kMaxSummaries = 1024;

// Bounds of the traffic of a relay; what exceeds them waits for the next
// rounds. 24 summaries of 8 bytes to 21 peers in 2 s are under 2.5 KB/s.
inline constexpr size_t kMaxRemotePerMessage = 24;
// 8 summaries to the 15 other domains in 2 s are under 1 KB/s.
inline constexpr size_t kMaxOwnPerMessage = 8;

struct KnownSummary {
  PoolSummary summary;
  TimePoint received;
  bool is_unsent = false;
};

// Pool summaries: `own` of this node's domain, for the other domains' relays,
// and `remote` of other domains, for this domain's peers.
struct DomainSummaries {
  std::map<uint32_t, KnownSummary> own;
  std::map<uint32_t, KnownSummary> remote;
  TimePoint next_send;
  uint32_t round = 0;
  // Where the next messages start, so that no pool waits for ever.
  uint32_t next_own = 0;
  uint32_t next_remote = 0;
  uint64_t refused_full = 0;
};

// Adds up the endpoints of `domain` by pool. `concurrency_of_pool` gives the
// requests that one endpoint can run.
std::vector<PoolSummary> SummarisePools(
    const EndpointKnowledge& knowledge,
    const FailureDomainId& domain,
    const std::vector<EndpointRecord>& endpoints,
    const std::map<PoolId, int32_t>& concurrency_of_pool);

// What a relay sends every 2 s; messages without pools are not sent.
struct SummaryMessages {
  DomainSummaryMessage to_remote_relays;
  DomainSummaryMessage to_domain_peers;
};
std::optional<SummaryMessages> TakeSummaries(
    DomainSummaries& summaries,
    const std::vector<PoolSummary>& own_pools,
    TimePoint now);

// All remote summaries, for a domain peer that just connected.
DomainSummaryMessage CompleteSummary(const DomainSummaries& summaries,
                                     TimePoint now);

// `is_forwarded`: this node is the relay that serves the sender's domain, so
// the changes go to its domain peers. @see ServesDomain
void ApplySummary(DomainSummaries& summaries,
                  const DomainSummaryMessage& message,
                  bool is_forwarded,
                  TimePoint now);

// Summary of one pool of another domain, unless expired.
std::optional<PoolSummary> FindSummary(const DomainSummaries& summaries,
                                       uint32_t pool,
                                       TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_DOMAIN_SUMMARIES_H_
