#include "standins/peridotmill-standin/http/wake_timer.h"

#include <algorithm>
#include <utility>

namespace peridotmill::standin {
namespace {

// Both clocks read CLOCK_MONOTONIC, so their values are the same.
gint64 ToLoopTime(TimePoint time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             time.time_since_epoch())
      .count();
}

gboolean Dispatch(GSource* source, GSourceFunc callback, gpointer data) {
  g_source_set_ready_time(source, -1);
  return callback(data);
}

GSourceFuncs& Functions() {
  static GSourceFuncs functions = {nullptr, nullptr, Dispatch,
                                   nullptr, nullptr, nullptr};
  return functions;
}

}  // namespace

WakeTimer::WakeTimer(std::function<void()> on_time)
    : on_time_(std::move(on_time)),
      source_(g_source_new(&Functions(), sizeof(GSource))) {
  g_source_set_callback(
      source_,
      [](gpointer data) -> gboolean {
        static_cast<WakeTimer*>(data)->on_time_();
        return G_SOURCE_CONTINUE;
      },
      this, nullptr);
  g_source_attach(source_, nullptr);
}

WakeTimer::~WakeTimer() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

void WakeTimer::Set(std::optional<TimePoint> time) {
  g_source_set_ready_time(source_, time ? ToLoopTime(*time) : -1);
}

void CallLater(Duration delay, std::function<void()> call) {
  if (delay <= Duration::zero()) {
    call();
    return;
  }
  GSource* source = g_source_new(&Functions(), sizeof(GSource));
  g_source_set_callback(
      source,
      [](gpointer data) -> gboolean {
        (*static_cast<std::function<void()>*>(data))();
        return G_SOURCE_REMOVE;
      },
      new std::function<void()>(std::move(call)),
      [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
  g_source_set_ready_time(source, ToLoopTime(LoopNow() + delay));
  g_source_attach(source, nullptr);
  g_source_unref(source);
}

TimePoint LoopNow() {
  return std::chrono::steady_clock::now();
}

}  // namespace peridotmill::standin
