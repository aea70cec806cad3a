#ifndef PERIDOTMILL_GATEWAY_WARM_UP_WARM_UP_H_
#define PERIDOTMILL_GATEWAY_WARM_UP_WARM_UP_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// The bound on requests to the warming endpoints of one pool, as this node
// applies it.
struct PoolWarmUp {
  // Requests per second that each endpoint tolerates from all nodes together
  // while it warms up; 0 if the pool has no bound.
  double requests_per_second = 0;
  // How long an endpoint is cold after its start.
  Duration duration = Duration::zero();
  // Number of nodes that call the pool's endpoints; 0 if it is not known yet.
  int callers = 0;
  // Hash of this node's id.
  uint64_t node_seed = 0;
  // Latest end of a warm-up in the pool.
  TimePoint last_end;
  // Calls to endpoints that were warming up.
  uint64_t calls = 0;
};

// The warm-up of one process of an endpoint.
struct WarmUp {
  // Shared by all endpoints of the pool; null if the pool has no bound.
  std::shared_ptr<PoolWarmUp> pool;
  // The endpoint is warm from then on.
  TimePoint end;
  // Hash of the endpoint's process.
  uint64_t endpoint_seed = 0;
  // The turn in which this node last called the endpoint.
  std::optional<int64_t> used_turn;
};

bool IsWarmingUp(const WarmUp& warm_up, TimePoint now);

// Returns whether the warm-up allows a call now.
bool AllowsCall(const WarmUp& warm_up, TimePoint now);

// Returns when a call is allowed for the first time from `now` on.
TimePoint NextAllowedCall(const WarmUp& warm_up, TimePoint now);

// Records the start of a call.
void RecordWarmUpCall(WarmUp& warm_up, TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_WARM_UP_WARM_UP_H_
