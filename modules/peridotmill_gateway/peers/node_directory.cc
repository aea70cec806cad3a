#include "peridotmill_gateway/peers/node_directory.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

NodeId NodeOf(std::string_view key) {
  const std::string_view prefix = kNodePrefix;
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
    nodes_.erase(NodeOf(change.entry.key));
  } else {
    Put(change.entry);
  }
}

void NodeDirectory::Put(const StoreEntry& entry) {
  const NodeId node = NodeOf(entry.key);
  const auto record = DecodeNodeRecord(entry.value);
  if (!node.empty() && record) {
    nodes_[node] = *record;
  }
}

std::vector<NodeId> NodeDirectory::CoordinatorOrder(
    const PoolId& pool,
    const FailureDomainId& domain,
    const NodeId& self,
    const FailureDomainId& self_domain) const {
  struct Entry {
    bool is_elsewhere;
    uint64_t score;
    NodeId node;
  };
  const std::string key = pool.value() + '/' + domain.value();
  std::vector<Entry> order;
  const auto add = [&](const NodeId& node, const FailureDomainId& at) {
    order.push_back({at != domain, RendezvousScore(key, node.value()), node});
  };
  add(self, self_domain);
  for (const auto& [node, record] : nodes_) {
    if (node != self) {
      add(node, record.failure_domain);
    }
  }
  std::sort(order.begin(), order.end(), [](const Entry& a, const Entry& b) {
    return std::tie(a.is_elsewhere, b.score, a.node) <
           std::tie(b.is_elsewhere, a.score, b.node);
  });
  std::vector<NodeId> nodes;
  nodes.reserve(order.size());
  for (Entry& entry : order) {
    nodes.push_back(std::move(entry.node));
  }
  return nodes;
}

const NodeRecord* NodeDirectory::Find(const NodeId& node) const {
  const auto found = nodes_.find(node);
  return found == nodes_.end() ? nullptr : &found->second;
}

}  // namespace peridotmill
