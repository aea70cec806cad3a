#ifndef PERIDOTMILL_HTTP_TIMERS_GLIB_TIMER_QUEUE_H_
#define PERIDOTMILL_HTTP_TIMERS_GLIB_TIMER_QUEUE_H_

#include <glib.h>

#include <functional>
#include <memory>
#include <utility>

#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/timers/pending_timers.h"
#include "peridotmill_core/timers/timer_queue.h"

namespace peridotmill {

// Timers on the default GLib main context that measure time by a given clock.
// With a clock that counts the time for which the host is suspended, timers
// that expired meanwhile run as soon as the main loop continues. GLib's own
// timeouts don't count that time and would run late.
class GlibTimerQueue final : public TimerQueue {
 public:
  explicit GlibTimerQueue(const Clock& clock);
  ~GlibTimerQueue() override;
  GlibTimerQueue(const GlibTimerQueue&) = delete;
  GlibTimerQueue& operator=(const GlibTimerQueue&) = delete;

  std::unique_ptr<Timer> After(Duration delay,
                               std::function<void()> callback) override;

  // Sets the function that is called before due timers run if the first of them
  // is overdue by `min_overdue` or more. It gets the time by which the timer is
  // overdue. In that case the process or its host was paused, and other nodes
  // may have declared this node dead meanwhile.
  void set_on_pause(Duration min_overdue,
                    std::function<void(Duration)> callback) {
    min_overdue_ = min_overdue;
    on_pause_ = std::move(callback);
  }

 private:
  struct Source;

  static gboolean OnPrepare(GSource* source, gint* timeout_ms);
  static gboolean OnCheck(GSource* source);
  static gboolean OnDispatch(GSource* source, GSourceFunc, gpointer);

  bool HasDueTimer() const;
  void RunDueTimers();

  const Clock& clock_;
  GSource* source_;
  PendingTimers pending_;
  Duration min_overdue_ = Duration::max();
  std::function<void(Duration)> on_pause_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_TIMERS_GLIB_TIMER_QUEUE_H_
