#ifndef PERIDOTMILL_ACTIONS_HOME_STORE_HEALTH_H_
#define PERIDOTMILL_ACTIONS_HOME_STORE_HEALTH_H_

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// What this node's own calls showed of the store.
struct StoreHealth {
  TimePoint last_success;
  TimePoint last_failure;
  // First failure since the last success.
  TimePoint first_failure;
};

// Without a success for this long, a failure means that the store is down.
inline constexpr Duration kStoreDownAfter = std::chrono::milliseconds(500);

inline bool HasFailed(const StoreHealth& health) {
  return health.last_failure > health.last_success;
}

inline bool IsKnownDown(const StoreHealth& health, TimePoint now) {
  return HasFailed(health) && now - health.last_success >= kStoreDownAfter;
}

// Calls in progress are refused only after this time, so that one lost answer
// can be settled by a read first. The target for a refusal is 50 ms.
inline constexpr Duration kDownConfirmation = std::chrono::milliseconds(20);

inline bool IsConfirmedDown(const StoreHealth& health, TimePoint now) {
  return IsKnownDown(health, now) &&
         now - health.first_failure >= kDownConfirmation;
}

inline void NoteStoreAnswer(StoreHealth& health,
                            bool is_success,
                            TimePoint now) {
  if (is_success) {
    health.last_success = now;
    return;
  }
  if (!HasFailed(health)) {
    health.first_failure = now;
  }
  health.last_failure = now;
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_STORE_HEALTH_H_
