#ifndef PERIDOTMILL_CORE_TIMERS_PENDING_TIMERS_H_
#define PERIDOTMILL_CORE_TIMERS_PENDING_TIMERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/timers/timer_queue.h"

namespace peridotmill {

// The pending timers of a TimerQueue, ordered by due time. Timers with the same
// due time keep the order in which they were added.
class PendingTimers {
 public:
  // Due time and sequence number; sorts timers into that order.
  using Key = std::pair<TimePoint, uint64_t>;

  // Adds a timer. Destroying the returned timer cancels it.
  std::unique_ptr<Timer> Add(TimePoint due, std::function<void()> callback) {
    const Key key(due, next_sequence_++);
    pending_->emplace(key, std::move(callback));
    return std::make_unique<Entry>(pending_, key);
  }

  // Returns the key of the timer that is due first, or nullopt.
  std::optional<Key> first() const {
    return pending_->empty() ? std::nullopt
                             : std::optional(pending_->begin()->first);
  }
  // Removes the timer that is due first and returns its callback. The callback
  // may destroy the Timer, since the entry is gone before the callback runs.
  // @pre first() returns a key.
  std::function<void()> TakeFirst() {
    return std::move(pending_->extract(pending_->begin()).mapped());
  }

  // Returns a key that sorts after all pending timers due by `time`, and not
  // after any timer for `time` or later that is added from now on.
  Key DueCutoff(TimePoint time) const { return {time, next_sequence_}; }

 private:
  using Pending = std::map<Key, std::function<void()>>;

  class Entry final : public Timer {
   public:
    Entry(std::shared_ptr<Pending> pending, Key key)
        : pending_(std::move(pending)), key_(key) {}
    ~Entry() override { pending_->erase(key_); }

   private:
    std::shared_ptr<Pending> pending_;
    Key key_;
  };

  // Shared with the Timer objects, which may outlive this object.
  std::shared_ptr<Pending> pending_ = std::make_shared<Pending>();
  uint64_t next_sequence_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_TIMERS_PENDING_TIMERS_H_
