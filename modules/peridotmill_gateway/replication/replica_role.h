#ifndef PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_ROLE_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_ROLE_H_

#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_gateway/peers/node_directory.h"

namespace peridotmill {

// Whether this node watches the store, and which nodes it subscribes to. Each
// node computes its role from the same node registrations, so no election is
// needed. While nodes see different registrations, a few store calls may be
// redundant.
struct ReplicaRole {
  // Whether this node watches the store on behalf of its failure domain.
  bool is_watcher = false;
  // Nodes to subscribe to in order of preference: first a watcher of this
  // node's failure domain and one of another domain, then their substitutes.
  std::vector<NodeId> sources;
};

// Returns the role of the node `self` among the registered nodes.
ReplicaRole ChooseReplicaRole(const NodeDirectory& nodes,
                              const NodeId& self,
                              const NodeRecord& self_record);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_ROLE_H_
