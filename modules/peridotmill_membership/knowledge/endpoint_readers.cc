#include "peridotmill_membership/knowledge/endpoint_readers.h"

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {

ReaderRank RankOf(const NodeId& self,
                  const std::vector<NodeId>& domain_nodes,
                  const EndpointId& endpoint) {
  const std::string key = "read/" + endpoint.value();
  const uint64_t own = RendezvousScore(key, self.value());
  size_t better = 0;
  bool is_member = false;
  for (const NodeId& node : domain_nodes) {
    if (node == self) {
      is_member = true;
    } else if (RendezvousScore(key, node.value()) > own) {
      ++better;
    }
  }
  if (!is_member || better >= kReadersPerEndpoint) {
    return ReaderRank::kNone;
  }
  return better == 0 ? ReaderRank::kFirst : ReaderRank::kSecond;
}

std::vector<AssignedEndpoint> AssignedEndpoints(
    const NodeId& self,
    const FailureDomainId& domain,
    const std::vector<NodeId>& domain_nodes,
    const std::vector<EndpointRecord>& endpoints) {
  std::vector<AssignedEndpoint> assigned;
  for (const EndpointRecord& record : endpoints) {
    if (record.failure_domain != domain) {
      continue;
    }
    const ReaderRank rank = RankOf(self, domain_nodes, record.id);
    if (rank != ReaderRank::kNone) {
      assigned.push_back({record, rank});
    }
  }
  return assigned;
}

}  // namespace peridotmill
