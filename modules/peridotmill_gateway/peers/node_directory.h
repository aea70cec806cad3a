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

// Prefix of the store keys under which nodes register; the node's id follows.
inline constexpr char kNodeKeyPrefix[] = "peridotmill/nodes/";

// Directory of the nodes that are registered in the store. This node is in it
// only once its own registration has been read back.
class NodeDirectory {
 public:
  // Replaces all records with `entries`. If the store was unreachable, keeps
  // the other records too, since registrations of live nodes may have expired
  // during the outage.
  void Replace(const std::vector<StoreEntry>& entries, bool was_unreachable);
  void Apply(const StoreChange& change);

  // Returns all nodes, this one included, in the order in which they are asked
  // to coordinate a group of pools. See CandidateOrder.
  std::vector<NodeId> CoordinatorOrder(const PoolId& group,
                                       const NodeId& self,
                                       const NodeRecord& self_record) const;

  // Returns the nodes for which `accepts` is true, this one included, in the
  // order in which they are asked to take on a role. Nodes on larger hosts come
  // before the others; both are sorted by rendezvous hash of the role's name.
  // All nodes with the same directory compute the same order without
  // communication.
  std::vector<NodeId> CandidateOrder(
      std::string_view role,
      const NodeId& self,
      const NodeRecord& self_record,
      const std::function<bool(const NodeRecord&)>& accepts) const;

  // Returns the failure domains of all registered nodes.
  std::set<FailureDomainId> FailureDomains() const;

  // Returns null if the node is not registered. The record is valid until the
  // directory changes.
  const NodeRecord* Find(const NodeId& node) const;
  size_t size() const { return nodes_.size(); }

 private:
  void Put(const StoreEntry& entry);

  std::map<NodeId, NodeRecord> nodes_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_PEERS_NODE_DIRECTORY_H_
