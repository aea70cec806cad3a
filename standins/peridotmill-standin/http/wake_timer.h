#ifndef STANDINS_HTTP_WAKE_TIMER_H_
#define STANDINS_HTTP_WAKE_TIMER_H_

#include <glib.h>

#include <functional>
#include <optional>

#include "peridotmill_core/time/clock.h"

namespace peridotmill::standin {

// Calls a function on the main loop at a time that can be moved.
class WakeTimer {
 public:
  explicit WakeTimer(std::function<void()> on_time);
  WakeTimer(const WakeTimer&) = delete;
  WakeTimer& operator=(const WakeTimer&) = delete;
  ~WakeTimer();

  void Set(std::optional<TimePoint> time);

 private:
  std::function<void()> on_time_;
  GSource* source_;
};

// Calls `call` once on the main loop after `delay`.
void CallLater(Duration delay, std::function<void()> call);

// The loop's time; steady.
TimePoint LoopNow();

}  // namespace peridotmill::standin

#endif  // STANDINS_HTTP_WAKE_TIMER_H_
