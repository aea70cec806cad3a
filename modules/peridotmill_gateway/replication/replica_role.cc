#include "peridotmill_gateway/replication/replica_role.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

constexpr size_t kWatchersPerDomain = 1;
// In a small domain all nodes watch: passing news on would save little.
constexpr size_t kSmallDomain = 3;
// Nodes of the own domain that are asked before one of another domain. The two
// watch independently: one that is frozen, cut off or has a silent watch delays
// nothing.
constexpr size_t kOwnSources = 1;
constexpr size_t kForeignSources = 2;

// Order in which the nodes of a failure domain watch.
std::vector<NodeId> WatchOrder(const NodeDirectory& nodes,
                               const FailureDomainId& domain,
                               const NodeId& self,
                               const NodeRecord& self_record) {
  return nodes.CandidateOrder("replica/" + domain.value(), self, self_record,
                              [&](const NodeRecord& record) {
                                return record.failure_domain == domain;
                              });
}

// The first watchers of two other domains, in an order of this node's own, so
// that the nodes of a domain spread over the others.
std::vector<NodeId> ForeignSources(const NodeDirectory& nodes,
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
    const auto order = WatchOrder(nodes, domain, self, self_record);
    if (!order.empty() && sources.size() < kForeignSources) {
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
  std::vector<NodeId> own =
      WatchOrder(nodes, self_record.failure_domain, self, self_record);
  const auto position = std::find(own.begin(), own.end(), self);
  const auto rank = static_cast<size_t>(position - own.begin());
  role.is_watcher = rank < kWatchersPerDomain || own.size() <= kSmallDomain;
  own.erase(position);
  role.sources = ForeignSources(nodes, self, self_record);
  // Others do not watch only because a watcher asks them.
  const size_t before_foreign =
      role.is_watcher ? 0 : std::min(own.size(), kOwnSources);
  const auto split = own.begin() + static_cast<ptrdiff_t>(before_foreign);
  role.sources.insert(role.sources.begin(), own.begin(), split);
  role.sources.insert(role.sources.end(), split, own.end());
  return role;
}

}  // namespace peridotmill
