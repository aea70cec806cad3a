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

// Timers of the default GLib main context that follow a clock. With a clock
// that counts the time of a suspended host, timers that ran out meanwhile are
// due as soon as the loop turns again; GLib's own timeouts would go on waiting.
class GlibTimerQueue final : public TimerQueue {
 public:
  explicit GlibTimerQueue(const Clock& clock);
  ~GlibTimerQueue() override;
  GlibTimerQueue(const GlibTimerQueue&) = delete;
  GlibTimerQueue& operator=(const GlibTimerQueue&) = delete;

  std::unique_ptr<Timer> After(Duration delay,
                               std::function<void()> callback) override;

  // Called before any timer that is overdue by `least` or more, with that time:
  // the process or its host was paused, and others may have given it up.
  void set_on_pause(Duration least, std::function<void(Duration)> callback) {
    least_pause_ = least;
    on_pause_ = std::move(callback);
  }

 private:
  struct Source;

  static gboolean OnPrepare(GSource* source, gint* timeout_ms);
  static gboolean OnCheck(GSource* source);
  static gboolean OnDispatch(GSource* source, GSourceFunc, gpointer);

  bool IsDue() const;
  void RunDue();

  const Clock& clock_;
  GSource* source_;
  PendingTimers pending_;
  Duration least_pause_ = Duration::max();
  std::function<void(Duration)> on_pause_;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_HTTP_TIMERS_GLIB_TIMER_QUEUE_H_
