#include "peridotmill_http/timers/glib_timer_queue.h"

#include <glib.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

class GlibTimer final : public Timer {
 public:
  GlibTimer(Duration delay, std::function<void()> callback)
      : callback_(std::move(callback)) {
    const double milliseconds = std::max(0.0, std::ceil(ToMilliseconds(delay)));
    source_ = g_timeout_add(static_cast<guint>(milliseconds), OnExpired, this);
  }
  ~GlibTimer() override {
    if (source_ != 0) {
      g_source_remove(source_);
    }
  }

 private:
  static gboolean OnExpired(gpointer data) {
    auto* const self = static_cast<GlibTimer*>(data);
    self->source_ = 0;
    // The callback may destroy the timer.
    const std::function<void()> callback = std::move(self->callback_);
    callback();
    return G_SOURCE_REMOVE;
  }

  std::function<void()> callback_;
  guint source_ = 0;
};

}  // namespace

std::unique_ptr<Timer> GlibTimerQueue::After(Duration delay,
                                             std::function<void()> callback) {
  return std::make_unique<GlibTimer>(delay, std::move(callback));
}

}  // namespace peridotmill
