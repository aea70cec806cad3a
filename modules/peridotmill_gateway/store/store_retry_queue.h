#ifndef PERIDOTMILL_GATEWAY_STORE_STORE_RETRY_QUEUE_H_
#define PERIDOTMILL_GATEWAY_STORE_STORE_RETRY_QUEUE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/timers/timer_queue.h"

namespace peridotmill {

// Queues the failed store calls of all components of a node. One call at a time
// is retried, with exponential backoff, and the others are retried once the
// store has responded. Refused calls cost the store as much as others, and a
// large fleet makes many calls.
class StoreRetryQueue {
 public:
  StoreRetryQueue(TimerQueue& timers, uint64_t seed);

  // Queues the retry of a failed call. `action` runs when its turn for a retry
  // comes or when the store has responded.
  void Enqueue(std::function<void()> action);
  // Called when the store has responded to a call. Runs all queued actions.
  void OnStoreResponded();

 private:
  void ScheduleRetry();

  TimerQueue& timers_;
  Random random_;
  // The first action runs at the next retry.
  std::vector<std::function<void()>> queued_actions_;
  // Number of retries scheduled since the store last responded.
  int retry_count_ = 0;
  std::unique_ptr<Timer> retry_timer_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STORE_STORE_RETRY_QUEUE_H_
