#ifndef PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_ROLE_H_
#define PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_ROLE_H_

#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_gateway/peers/node_directory.h"

namespace peridotmill {

// Who watches the store, and whom this node hears from. All nodes compute it
// from the same registrations, so that nothing is elected; nodes that disagree
// for a while cost a few calls to the store.
struct ReplicaRole {
  // Among the nodes that watch for their failure domain.
  bool is_watcher = false;
  // Nodes to subscribe to, best first: a watcher of the own failure domain and
  // one of another, then those that can take their place.
  std::vector<NodeId> sources;
};

ReplicaRole ChooseReplicaRole(const NodeDirectory& nodes,
                              const NodeId& self,
                              const NodeRecord& self_record);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_REPLICATION_REPLICA_ROLE_H_
