#ifndef PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_STORE_H_
#define PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_STORE_H_

#include <functional>

#include "peridotmill_gateway/quarantine/suspect_id.h"

namespace peridotmill {

// Whether this node may probe a suspect, and the number of probes that all
// nodes have made so far, as far as it is known.
struct ProbeGrant {
  bool is_granted = false;
  int probes = 0;
};

// Keeps the quarantines of all nodes where they outlive the processes, and
// counts the probes of all nodes.
class QuarantineStore {
 public:
  virtual ~QuarantineStore() = default;
  // Records a quarantine after which `probes` probes have been made.
  virtual void Write(SuspectId id, int probes) = 0;
  // Counts one more probe if no other node has counted one after `probes`.
  // Calls `callback` later, once.
  virtual void TakeProbe(SuspectId id,
                         int probes,
                         std::function<void(ProbeGrant)> callback) = 0;
  // Removes the record of a suspect that has been cleared.
  virtual void Remove(SuspectId id) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_QUARANTINE_QUARANTINE_STORE_H_
