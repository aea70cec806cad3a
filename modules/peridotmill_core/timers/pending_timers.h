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

// The pending timers of a queue, in the order in which they are due; those that
// are due together in the order in which they were added.
class PendingTimers {
 public:
  // Position in that order.
  using Key = std::pair<TimePoint, uint64_t>;

  std::unique_ptr<Timer> Add(TimePoint due, std::function<void()> callback) {
    const Key key(due, next_++);
    pending_->emplace(key, std::move(callback));
    return std::make_unique<Entry>(pending_, key);
  }

  // The timer that is due first, if there is one.
  std::optional<Key> first() const {
    return pending_->empty() ? std::nullopt
                             : std::optional(pending_->begin()->first);
  }
  // Takes its callback out, so that it may destroy the timer.
  // @pre there is one.
  std::function<void()> TakeFirst() {
    return std::move(pending_->extract(pending_->begin()).mapped());
  }

  // Comes after all timers that were added and are due by `time`, and before
  // those that will be added.
  Key DueCutoff(TimePoint time) const { return {time, next_}; }

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

  // Shared with the timers, which may outlive the queue.
  std::shared_ptr<Pending> pending_ = std::make_shared<Pending>();
  uint64_t next_ = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_TIMERS_PENDING_TIMERS_H_
