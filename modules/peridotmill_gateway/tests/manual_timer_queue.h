#ifndef PERIDOTMILL_GATEWAY_TESTS_MANUAL_TIMER_QUEUE_H_
#define PERIDOTMILL_GATEWAY_TESTS_MANUAL_TIMER_QUEUE_H_

#include <map>
#include <memory>
#include <utility>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/timers/timer_queue.h"

namespace peridotmill {

// Timers that fire as a manual clock advances.
class ManualTimerQueue final : public TimerQueue {
 public:
  explicit ManualTimerQueue(ManualClock& clock) : clock_(clock) {}

  std::unique_ptr<Timer> After(Duration delay,
                               std::function<void()> callback) override {
    const Key key(clock_.Now() + std::max(delay, Duration::zero()), next_++);
    pending_->emplace(key, std::move(callback));
    return std::make_unique<PendingTimer>(pending_, key);
  }

  // Moves the clock and calls what becomes due, in order.
  void Advance(Duration amount) {
    const TimePoint end = clock_.Now() + amount;
    while (!pending_->empty() && pending_->begin()->first.first <= end) {
      const auto entry = pending_->extract(pending_->begin());
      clock_.Advance(
          std::max(entry.key().first - clock_.Now(), Duration::zero()));
      entry.mapped()();
    }
    clock_.Advance(end - clock_.Now());
  }

 private:
  using Key = std::pair<TimePoint, uint64_t>;
  using Pending = std::map<Key, std::function<void()>>;

  class PendingTimer final : public Timer {
   public:
    PendingTimer(std::shared_ptr<Pending> pending, Key key)
        : pending_(std::move(pending)), key_(key) {}
    ~PendingTimer() override { pending_->erase(key_); }

   private:
    std::shared_ptr<Pending> pending_;
    Key key_;
  };

  ManualClock& clock_;
  std::shared_ptr<Pending> pending_ = std::make_shared<Pending>();
  uint64_t next_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_TESTS_MANUAL_TIMER_QUEUE_H_
