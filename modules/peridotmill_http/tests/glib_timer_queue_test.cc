#include "peridotmill_http/timers/glib_timer_queue.h"

#include <gtest/gtest.h>

#include <vector>

#include "peridotmill_core/time/boot_clock.h"
#include "peridotmill_http/tests/socket_peer.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// Guards against timers that run late after their host was suspended: the clock
// counts the suspension, GLib's timeouts do not.
TEST(GlibTimerQueueTest, TimersThatExpiredDuringASuspensionRunAtOnce) {
  ManualClock clock;
  GlibTimerQueue timers(clock);
  std::vector<int> fired;
  const auto late = timers.After(20s, [&] { fired.push_back(3); });
  const auto second = timers.After(8s, [&] { fired.push_back(2); });
  const auto first = timers.After(5s, [&] { fired.push_back(1); });
  RunLoopFor(20ms);
  EXPECT_TRUE(fired.empty());
  clock.Advance(10s);
  RunLoopFor(20ms);
  EXPECT_EQ(fired, (std::vector<int>{1, 2}));
}

// Guards against a process that resumes its work after a pause although other
// nodes may have declared it dead: the pause is reported before any timer runs.
TEST(GlibTimerQueueTest, ReportsAPauseBeforeRunningTimers) {
  ManualClock clock;
  GlibTimerQueue timers(clock);
  std::vector<int> order;
  timers.set_on_pause(900ms, [&](Duration pause) {
    EXPECT_EQ(pause, 2s);
    order.push_back(0);
  });
  const auto first = timers.After(100ms, [&] { order.push_back(1); });
  clock.Advance(150ms);
  RunLoopFor(10ms);
  EXPECT_EQ(order, std::vector<int>{1});
  const auto second = timers.After(1s, [&] { order.push_back(2); });
  clock.Advance(3s);
  RunLoopFor(10ms);
  EXPECT_EQ(order, (std::vector<int>{1, 0, 2}));
}

// Guards against timers that run early, never, or after their cancellation.
TEST(GlibTimerQueueTest, FollowsTheBootClock) {
  const BootClock clock;
  GlibTimerQueue timers(clock);
  const TimePoint start = clock.Now();
  TimePoint fired;
  bool was_cancelled_timer_run = false;
  auto cancelled = timers.After(5ms, [&] { was_cancelled_timer_run = true; });
  const auto timer = timers.After(30ms, [&] { fired = clock.Now(); });
  cancelled.reset();
  ASSERT_TRUE(RunLoopUntil([&] { return fired != TimePoint(); }));
  EXPECT_GE(fired - start, 30ms);
  EXPECT_FALSE(was_cancelled_timer_run);
}

// Guards against sockets starved by a timer that sets itself again without a
// delay, and against faults when a timer is destroyed in its own callback.
TEST(GlibTimerQueueTest, RearmingTimerDoesNotBlockTheMainLoop) {
  const BootClock clock;
  GlibTimerQueue timers(clock);
  int run_count = 0;
  std::unique_ptr<Timer> timer;
  const std::function<void()> rearm = [&] {
    ++run_count;
    timer = timers.After(0ms, rearm);
  };
  rearm();
  g_main_context_iteration(nullptr, FALSE);
  g_main_context_iteration(nullptr, FALSE);
  EXPECT_GE(run_count, 2);
  EXPECT_LE(run_count, 3);
  timer.reset();
}

}  // namespace
}  // namespace peridotmill
