#ifndef PERIDOTMILL_HTTP_TIMERS_GLIB_TIMER_QUEUE_H_
#define PERIDOTMILL_HTTP_TIMERS_GLIB_TIMER_QUEUE_H_

#include <memory>

#include "peridotmill_core/timers/timer_queue.h"

namespace peridotmill {

// Timers of the default GLib main context.
class GlibTimerQueue final : public TimerQueue {
 public:
  std::unique_ptr<Timer> After(Duration delay,
                               std::function<void()> callback) override;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_TIMERS_GLIB_TIMER_QUEUE_H_
