#include "peridotmill_http/timers/glib_timer_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {

struct GlibTimerQueue::Source {
  GSource base;
  GlibTimerQueue* queue;
};

GlibTimerQueue::GlibTimerQueue(const Clock& clock) : clock_(clock) {
  static GSourceFuncs functions = {OnPrepare, OnCheck, OnDispatch,
                                   nullptr,   nullptr, nullptr};
  source_ = g_source_new(&functions, sizeof(Source));
  reinterpret_cast<Source*>(source_)->queue = this;
  g_source_attach(source_, nullptr);
}

GlibTimerQueue::~GlibTimerQueue() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

std::unique_ptr<Timer> GlibTimerQueue::After(Duration delay,
                                             std::function<void()> callback) {
  return pending_.Add(clock_.Now() + std::max(delay, Duration::zero()),
                      std::move(callback));
}

bool GlibTimerQueue::HasDueTimer() const {
  const auto first = pending_.first();
  return first && first->first <= clock_.Now();
}

gboolean GlibTimerQueue::OnPrepare(GSource* source, gint* timeout_ms) {
  const GlibTimerQueue* const queue = reinterpret_cast<Source*>(source)->queue;
  const auto first = queue->pending_.first();
  if (!first) {
    *timeout_ms = -1;
    return FALSE;
  }
  const double wait_ms =
      std::ceil(ToMilliseconds(first->first - queue->clock_.Now()));
  constexpr double kMaxWaitMs = std::numeric_limits<gint>::max();
  *timeout_ms = static_cast<gint>(std::clamp(wait_ms, 0.0, kMaxWaitMs));
  return wait_ms <= 0 ? TRUE : FALSE;
}

gboolean GlibTimerQueue::OnCheck(GSource* source) {
  return reinterpret_cast<Source*>(source)->queue->HasDueTimer() ? TRUE : FALSE;
}

gboolean GlibTimerQueue::OnDispatch(GSource* source, GSourceFunc, gpointer) {
  reinterpret_cast<Source*>(source)->queue->RunDueTimers();
  return G_SOURCE_CONTINUE;
}

void GlibTimerQueue::RunDueTimers() {
  // Timers that callbacks add are left to the next iteration of the main loop,
  // so that timers without a delay don't starve the sockets.
  const TimePoint now = clock_.Now();
  auto first = pending_.first();
  if (first && on_pause_) {
    const Duration overdue = now - first->first;
    if (overdue >= min_overdue_) {
      on_pause_(overdue);
    }
  }
  const PendingTimers::Key end = pending_.DueCutoff(now);
  for (first = pending_.first(); first && *first < end;
       first = pending_.first()) {
    pending_.TakeFirst()();
  }
}

}  // namespace peridotmill
