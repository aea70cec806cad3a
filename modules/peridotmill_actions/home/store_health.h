#ifndef PERIDOTMILL_ACTIONS_HOME_STORE_HEALTH_H_
#define PERIDOTMILL_ACTIONS_HOME_STORE_HEALTH_H_

#include <optional>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// What this node's own calls showed of the store.
struct StoreHealth {
  TimePoint last_success;
  TimePoint last_failure;
  // First failure since the last success.
  TimePoint first_failure;
  // First and last failure since then by which the store is known to have done
  // nothing, such as a refused connection.
  std::optional<TimePoint> first_refused;
  TimePoint last_refused;
};

// Without a success for this long, a failure means that the store is down.
inline constexpr Duration kStoreDownAfter = std::chrono::milliseconds(500);

// So do refused calls over this time. It leaves two nodes the time to find it
// out one after the other within the target for a refusal, 50 ms.
inline constexpr Duration kRefusalsMeanDown = std::chrono::milliseconds(8);

inline bool HasFailed(const StoreHealth& health) {
  return health.last_failure > health.last_success;
}

inline bool IsRefusing(const StoreHealth& health) {
  return HasFailed(health) && health.first_refused &&
         health.last_refused - *health.first_refused >= kRefusalsMeanDown;
}

inline bool IsKnownDown(const StoreHealth& health, TimePoint now) {
  return IsRefusing(health) ||
         (HasFailed(health) && now - health.last_success >= kStoreDownAfter);
}

// Calls in progress are refused only after this time, so that one lost answer
// can be settled by a read first. The target for a refusal is 50 ms.
inline constexpr Duration kDownConfirmation = std::chrono::milliseconds(10);

inline bool IsConfirmedDown(const StoreHealth& health, TimePoint now) {
  return IsRefusing(health) ||
         (IsKnownDown(health, now) &&
          now - health.first_failure >= kDownConfirmation);
}

inline void NoteStoreAnswer(StoreHealth& health,
                            bool is_success,
                            TimePoint now) {
  if (is_success) {
    health.last_success = now;
    health.first_refused.reset();
    return;
  }
  if (!HasFailed(health)) {
    health.first_failure = now;
  }
  health.last_failure = now;
}

// A failure that proves that the call had no effect.
inline void NoteStoreRefusal(StoreHealth& health, TimePoint now) {
  NoteStoreAnswer(health, false, now);
  if (!health.first_refused) {
    health.first_refused = now;
  }
  health.last_refused = now;
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_ACTIONS_HOME_STORE_HEALTH_H_
