#ifndef PERIDOTMILL_GATEWAY_STORE_STORE_RECOVERY_H_
#define PERIDOTMILL_GATEWAY_STORE_STORE_RECOVERY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/timers/timer_queue.h"

namespace peridotmill {

// Paces the calls of all parts of a node to a store that has failed: one call
// at a time finds out whether it is back, and the others follow when it is.
// Refused calls cost as much as others, and a large fleet makes many.
class StoreRecovery {
 public:
  StoreRecovery(TimerQueue& timers, uint64_t seed);

  // Runs `action` when its turn to try the store comes, or when the store has
  // answered. The action belongs to a call that has failed.
  void Await(std::function<void()> action);
  // The store has answered a call.
  void NoteAnswer();

 private:
  void ScheduleProbe();

  TimerQueue& timers_;
  Random random_;
  // The first one tries the store next.
  std::vector<std::function<void()>> waiting_;
  int failures_ = 0;
  std::unique_ptr<Timer> timer_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STORE_STORE_RECOVERY_H_
