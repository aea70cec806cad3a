#ifndef PERIDOTMILL_GATEWAY_PEERS_NODE_DIRECTORY_H_
#define PERIDOTMILL_GATEWAY_PEERS_NODE_DIRECTORY_H_

#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_gateway/peers/stage_message.h"
#include "peridotmill_gateway/store/store_channel.h"

namespace peridotmill {

// Prefix of the keys under which nodes register.
inline constexpr char kNodeKeyPrefix[] = "peridotmill/nodes/";

// The nodes that have registered in the store, this one included or not.
class NodeDirectory {
 public:
  // Replaces what is known, or, when the store was unreachable, adds to it:
  // registrations may have lapsed while the store was away.
  void Replace(const std::vector<StoreEntry>& entries, bool was_unreachable);
  void Apply(const StoreChange& change);

  // Order in which nodes are asked to coordinate a group of pools, so that all
  // nodes agree without talking: the larger hosts before the others, each by
  // rendezvous hash.
  std::vector<NodeId> CoordinatorOrder(const PoolId& group,
                                       const NodeId& self,
                                       const NodeRecord& self_record) const;

  // Order in which the nodes that `accepts` selects are asked for a duty, this
  // node among them: the larger hosts before the others, each by rendezvous
  // hash of the duty's name.
  std::vector<NodeId> CandidateOrder(
      std::string_view duty,
      const NodeId& self,
      const NodeRecord& self_record,
      const std::function<bool(const NodeRecord&)>& accepts) const;

  // Those of all registered nodes.
  std::set<FailureDomainId> FailureDomains() const;

  const NodeRecord* Find(const NodeId& node) const;
  size_t size() const { return nodes_.size(); }

 private:
  void Put(const StoreEntry& entry);

  std::map<NodeId, NodeRecord> nodes_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_NODE_DIRECTORY_H_
