#ifndef PERIDOTMILL_ACTIONS_HOME_STORE_HEALTH_H_
#define PERIDOTMILL_ACTIONS_HOME_STORE_HEALTH_H_

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// What this node's own calls showed of the store.
struct StoreHealth {
  TimePoint last_success;
  TimePoint last_failure;
};

// Without a success for this long, a failure means that the store is down.
inline constexpr Duration kStoreDownAfter = std::chrono::milliseconds(500);

inline bool HasFailed(const StoreHealth& health) {
  return health.last_failure > health.last_success;
}

inline bool IsKnownDown(const StoreHealth& health, TimePoint now) {
  return HasFailed(health) && now - health.last_success >= kStoreDownAfter;
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_STORE_HEALTH_H_
