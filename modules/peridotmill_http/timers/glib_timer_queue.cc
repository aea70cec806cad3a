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

bool GlibTimerQueue::IsDue() const {
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
  constexpr double kLongestMs = std::numeric_limits<gint>::max();
  *timeout_ms = static_cast<gint>(std::clamp(wait_ms, 0.0, kLongestMs));
  return wait_ms <= 0 ? TRUE : FALSE;
}

gboolean GlibTimerQueue::OnCheck(GSource* source) {
  return reinterpret_cast<Source*>(source)->queue->IsDue() ? TRUE : FALSE;
}

gboolean GlibTimerQueue::OnDispatch(GSource* source, GSourceFunc, gpointer) {
  reinterpret_cast<Source*>(source)->queue->RunDue();
  return G_SOURCE_CONTINUE;
}

void GlibTimerQueue::RunDue() {
  // Timers that callbacks add wait for the next turn, so that sockets are not
  // starved by timers without a delay.
  const TimePoint now = clock_.Now();
  auto first = pending_.first();
  if (first && on_pause_) {
    const Duration overdue = now - first->first;
    if (overdue >= least_pause_) {
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
