#ifndef PERIDOTMILL_ACTIONS_HOME_HOME_OF_H_
#define PERIDOTMILL_ACTIONS_HOME_HOME_OF_H_

#include <cstdint>
#include <vector>

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

// A live node as membership shows it.
struct ActionNode {
  NodeId id;
  Incarnation incarnation;
  bool is_leaving = false;
};

// Node that serves a bucket: the highest rendezvous score among the nodes that
// are not leaving. Empty when there are none.
NodeId HomeOf(int32_t bucket, const std::vector<ActionNode>& nodes);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_HOME_OF_H_
