#ifndef PERIDOTMILL_GATEWAY_TESTS_MANUAL_TIMER_QUEUE_H_
#define PERIDOTMILL_GATEWAY_TESTS_MANUAL_TIMER_QUEUE_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/timers/pending_timers.h"
#include "peridotmill_core/timers/timer_queue.h"

namespace peridotmill {

// Timer queue whose timers fire only when the test advances the clock.
class ManualTimerQueue final : public TimerQueue {
 public:
  explicit ManualTimerQueue(ManualClock& clock) : clock_(clock) {}

  std::unique_ptr<Timer> After(Duration delay,
                               std::function<void()> callback) override {
    return pending_.Add(clock_.Now() + std::max(delay, Duration::zero()),
                        std::move(callback));
  }

  // Advances the clock by `amount` and calls the timers that become due, in
  // order of their time.
  void Advance(Duration amount) {
    const TimePoint end = clock_.Now() + amount;
    for (auto first = pending_.first(); first && first->first <= end;
         first = pending_.first()) {
      clock_.Advance(std::max(first->first - clock_.Now(), Duration::zero()));
      pending_.TakeFirst()();
    }
    clock_.Advance(end - clock_.Now());
  }

 private:
  ManualClock& clock_;
  PendingTimers pending_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_MANUAL_TIMER_QUEUE_H_
