#ifndef PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_READERS_H_
#define PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_READERS_H_

#include <cstddef>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/platform/host_list.h"

namespace peridotmill {

inline constexpr size_t kReadersPerEndpoint = 2;

// What a reader does with its readings. Only one of the two reports every
// change, which halves the traffic; the other reports what the first misses.
enum class ReaderRank : uint8_t { kNone, kFirst, kSecond };

// Rank of `self` among the nodes of a domain as a reader of `endpoint`.
ReaderRank RankOf(const NodeId& self,
                  const std::vector<NodeId>& domain_nodes,
                  const EndpointId& endpoint);

struct AssignedEndpoint {
  EndpointRecord record;
  ReaderRank rank = ReaderRank::kFirst;
};

// Endpoints of `domain` that `self` reads once a second.
std::vector<AssignedEndpoint> AssignedEndpoints(
    const NodeId& self,
    const FailureDomainId& domain,
    const std::vector<NodeId>& domain_nodes,
    const std::vector<EndpointRecord>& endpoints);

}  // namespace peridotmill

#endif  // PERIDOTMILL_MEMBERSHIP_KNOWLEDGE_ENDPOINT_READERS_H_
