#ifndef PERIDOTMILL_CORE_TIMERS_TIMER_QUEUE_H_
#define PERIDOTMILL_CORE_TIMERS_TIMER_QUEUE_H_

#include <functional>
#include <memory>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// A pending timer; destroying it cancels it.
class Timer {
 public:
  virtual ~Timer() = default;
};

// Runs callbacks after a delay.
class TimerQueue {
 public:
  virtual ~TimerQueue() = default;
  // Runs `callback` once after `delay`. Destroying the returned timer cancels
  // the callback.
  virtual std::unique_ptr<Timer> After(Duration delay,
                                       std::function<void()> callback) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_TIMERS_TIMER_QUEUE_H_
