#include "peridotmill_gateway/replication/replica_role.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

constexpr size_t kWatchersPerDomain = 1;
// All nodes of a domain of at most this size watch the store, since forwarding
// changes between so few nodes would save little.
constexpr size_t kMaxAllWatchingDomainNodes = 3;
// Sources in this node's domain that come before those of other domains. The
// sources of two domains watch independently, so a source that is paused,
// disconnected or has a stalled watch delays no change.
constexpr size_t kPreferredSameDomainSources = 1;
constexpr size_t kOtherDomainSources = 2;

// Returns the nodes of a failure domain in the order in which they become
// watchers.
std::vector<NodeId> RankWatchers(const NodeDirectory& nodes,
                                 const FailureDomainId& domain,
                                 const NodeId& self,
                                 const NodeRecord& self_record) {
  return nodes.CandidateOrder("replica/" + domain.value(), self, self_record,
                              [&](const NodeRecord& record) {
                                return record.failure_domain == domain;
                              });
}

// Returns the first watchers of up to kOtherDomainSources other domains. The
// order of the domains depends on this node, so that the subscriptions from one
// domain are spread over the other domains.
std::vector<NodeId> ChooseOtherDomainSources(const NodeDirectory& nodes,
                                             const NodeId& self,
                                             const NodeRecord& self_record) {
  std::vector<std::pair<uint64_t, FailureDomainId>> domains;
  for (const FailureDomainId& domain : nodes.FailureDomains()) {
    if (domain != self_record.failure_domain) {
      domains.emplace_back(RendezvousScore(self.value(), domain.value()),
                           domain);
    }
  }
  std::sort(domains.begin(), domains.end(), std::greater<>());
  std::vector<NodeId> sources;
  for (const auto& [score, domain] : domains) {
    const auto order = RankWatchers(nodes, domain, self, self_record);
    if (!order.empty() && sources.size() < kOtherDomainSources) {
      sources.push_back(order.front());
    }
  }
  return sources;
}

}  // namespace

ReplicaRole ChooseReplicaRole(const NodeDirectory& nodes,
                              const NodeId& self,
                              const NodeRecord& self_record) {
  ReplicaRole role;
  std::vector<NodeId> same_domain_nodes =
      RankWatchers(nodes, self_record.failure_domain, self, self_record);
  const auto position =
      std::find(same_domain_nodes.begin(), same_domain_nodes.end(), self);
  const auto rank = static_cast<size_t>(position - same_domain_nodes.begin());
  role.is_watcher = rank < kWatchersPerDomain ||
                    same_domain_nodes.size() <= kMaxAllWatchingDomainNodes;
  same_domain_nodes.erase(position);
  role.sources = ChooseOtherDomainSources(nodes, self, self_record);
  // A watcher prefers watchers of other domains: a subscription to a node that
  // does not watch would make that node watch too.
  const size_t preferred_count =
      role.is_watcher
          ? 0
          : std::min(same_domain_nodes.size(), kPreferredSameDomainSources);
  const auto first_substitute =
      same_domain_nodes.begin() + static_cast<ptrdiff_t>(preferred_count);
  role.sources.insert(role.sources.begin(), same_domain_nodes.begin(),
                      first_substitute);
  role.sources.insert(role.sources.end(), first_substitute,
                      same_domain_nodes.end());
  return role;
}

}  // namespace peridotmill
