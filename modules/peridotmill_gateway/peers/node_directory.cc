#include "peridotmill_gateway/peers/node_directory.h"

#include <algorithm>
#include <functional>
#include <string>
#include <tuple>
#include <utility>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

// Hosts with at least this fraction of the largest host's processor share come
// first in the candidate order. The others may have a quarter of it and slower
// links.
constexpr double kLargeHostFraction = 0.75;

NodeId NodeIdFromKey(std::string_view key) {
  const std::string_view prefix = kNodeKeyPrefix;
  return key.starts_with(prefix) ? NodeId(key.substr(prefix.size())) : NodeId();
}

}  // namespace

void NodeDirectory::Replace(const std::vector<StoreEntry>& entries,
                            bool was_unreachable) {
  if (!was_unreachable) {
    nodes_.clear();
  }
  for (const StoreEntry& entry : entries) {
    Put(entry);
  }
}

void NodeDirectory::Apply(const StoreChange& change) {
  if (change.is_removed) {
    nodes_.erase(NodeIdFromKey(change.entry.key));
  } else {
    Put(change.entry);
  }
}

void NodeDirectory::Put(const StoreEntry& entry) {
  const NodeId node = NodeIdFromKey(entry.key);
  const auto record = DecodeNodeRecord(entry.value);
  if (!node.empty() && record) {
    nodes_[node] = *record;
  }
}

std::vector<NodeId> NodeDirectory::CoordinatorOrder(
    const PoolId& group,
    const NodeId& self,
    const NodeRecord& self_record) const {
  return CandidateOrder(group.value(), self, self_record,
                        [](const NodeRecord&) { return true; });
}

std::vector<NodeId> NodeDirectory::CandidateOrder(
    std::string_view role,
    const NodeId& self,
    const NodeRecord& self_record,
    const std::function<bool(const NodeRecord&)>& accepts) const {
  double largest_share = 0;
  std::vector<std::pair<NodeId, const NodeRecord*>> accepted;
  const auto add = [&](const NodeId& node, const NodeRecord& record) {
    if (accepts(record)) {
      accepted.emplace_back(node, &record);
      largest_share = std::max(largest_share, record.processor_share);
    }
  };
  add(self, self_record);
  for (const auto& [node, record] : nodes_) {
    if (node != self) {
      add(node, record);
    }
  }
  std::vector<std::tuple<bool, uint64_t, NodeId>> order;
  order.reserve(accepted.size());
  for (auto& [node, record] : accepted) {
    order.emplace_back(
        record->processor_share >= kLargeHostFraction * largest_share,
        RendezvousScore(role, node.value()), std::move(node));
  }
  std::sort(order.begin(), order.end(), std::greater<>());
  std::vector<NodeId> nodes;
  nodes.reserve(order.size());
  for (auto& [is_large, score, node] : order) {
    nodes.push_back(std::move(node));
  }
  return nodes;
}

std::set<FailureDomainId> NodeDirectory::FailureDomains() const {
  std::set<FailureDomainId> domains;
  for (const auto& [node, record] : nodes_) {
    domains.insert(record.failure_domain);
  }
  return domains;
}

const NodeRecord* NodeDirectory::Find(const NodeId& node) const {
  const auto found = nodes_.find(node);
  return found == nodes_.end() ? nullptr : &found->second;
}

}  // namespace peridotmill
