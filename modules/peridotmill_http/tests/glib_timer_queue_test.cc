#include "peridotmill_http/timers/glib_timer_queue.h"

#include <gtest/gtest.h>

#include <vector>

#include "peridotmill_core/time/boot_clock.h"
#include "peridotmill_http/tests/socket_peer.h"

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

// Guards against a process that acts on what ran out while its host was
// suspended: the clock has gone on, GLib's timeouts have not.
TEST(GlibTimerQueueTest, TimersThatRanOutInASuspensionAreDueAtOnce) {
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

// Guards against work that goes on after a pause as if nobody had given this
// process up: the pause is told before any timer runs.
TEST(GlibTimerQueueTest, TellsOfAPauseBeforeTimersRun) {
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

// Guards against timers that fire early, late or after they were cancelled.
TEST(GlibTimerQueueTest, FollowsTheBootClock) {
  const BootClock clock;
  GlibTimerQueue timers(clock);
  const TimePoint start = clock.Now();
  TimePoint fired;
  bool was_cancelled_one_called = false;
  auto cancelled = timers.After(5ms, [&] { was_cancelled_one_called = true; });
  const auto timer = timers.After(30ms, [&] { fired = clock.Now(); });
  cancelled.reset();
  ASSERT_TRUE(RunLoopUntil([&] { return fired != TimePoint(); }));
  EXPECT_GE(fired - start, 30ms);
  EXPECT_FALSE(was_cancelled_one_called);
}

// Guards against sockets that are starved by a timer that sets itself again,
// and against a timer that destroys itself in its callback.
TEST(GlibTimerQueueTest, ATimerThatSetsItselfLeavesTheLoopFree) {
  const BootClock clock;
  GlibTimerQueue timers(clock);
  int turns = 0;
  std::unique_ptr<Timer> timer;
  const std::function<void()> again = [&] {
    ++turns;
    timer = timers.After(0ms, again);
  };
  again();
  g_main_context_iteration(nullptr, FALSE);
  g_main_context_iteration(nullptr, FALSE);
  EXPECT_GE(turns, 2);
  EXPECT_LE(turns, 3);
  timer.reset();
}

}  // namespace
}  // namespace peridotmill
