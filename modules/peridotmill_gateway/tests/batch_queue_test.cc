#include "peridotmill_gateway/stages/batch_queue.h"

#include <gtest/gtest.h>

#include "peridotmill_core/time/milliseconds.h"

#include <algorithm>
#include <deque>
#include <numeric>

namespace peridotmill {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart = TimePoint(1h);
const FailureDomainId kValley("valley");

StagePoolDefinition MakePool() {
  StagePoolDefinition pool;
  pool.batch_size = 8;
  pool.call_time = 150ms;
  pool.item_time = 16ms;
  return pool;
}

WaitingTask MakeTask(int items, Duration due, int priority = 0) {
  WaitingTask task;
  task.submitted = kStart;
  task.due = kStart + due;
  task.deadline = kStart + 10s;
  task.priority = priority;
  task.items.resize(static_cast<size_t>(items));
  std::iota(task.items.begin(), task.items.end(), 0);
  task.preferred_domain = kValley;
  return task;
}

BatchTarget MakeTarget(int64_t free_result_bytes = 1'000'000'000) {
  return {.free_result_bytes = free_result_bytes,
          .failure_domain = kValley,
          .domain_waits = {{kValley, Duration::zero()}}};
}

// Guards against late tasks that take places in calls from tasks which can
// still be on time.
TEST(BatchQueueTest, TasksThatCanBeOnTimeGoBeforeLateTasks) {
  BatchQueue queue;
  AddTask(queue, 1, MakeTask(5, -1s));
  AddTask(queue, 2, MakeTask(5, 1s));
  const auto batch = TakeBatch(queue, MakePool(), MakeTarget(), kStart);
  ASSERT_EQ(batch.size(), 2u);
  EXPECT_EQ(batch[0].task, 2u);
  EXPECT_EQ(batch[1].items.size(), 3u);
}

// Guards against started tasks that hold result memory while other tasks start.
// In bursts, results of unfinished tasks filled a pool's memory, and its calls
// ran half empty.
TEST(BatchQueueTest, StartedTasksGoFirst) {
  BatchQueue queue;
  AddTask(queue, 1, MakeTask(10, 700ms));
  TakeBatch(queue, MakePool(), MakeTarget(), kStart);
  AddTask(queue, 2, MakeTask(8, 2s));
  const auto batch = TakeBatch(queue, MakePool(), MakeTarget(), kStart + 1s);
  EXPECT_EQ(batch[0].task, 1u);
}

// Guards against calls whose results exceed the free result memory.
TEST(BatchQueueTest, SendsOnlyItemsWhoseResultsFitTheFreeMemory) {
  BatchQueue queue;
  WaitingTask large = MakeTask(4, 1s);
  large.result_bytes = 3'000'000;
  AddTask(queue, 1, large);
  const auto batch =
      TakeBatch(queue, MakePool(), MakeTarget(7'000'000), kStart);
  ASSERT_EQ(batch.size(), 1u);
  EXPECT_EQ(batch[0].items.size(), 2u);
  EXPECT_EQ(queue.waiting_items, 2);
}

// Guards against a negative number of items when results take more memory than
// a changed configuration allows.
TEST(BatchQueueTest, SendsNothingWhenFreeMemoryIsNegative) {
  BatchQueue queue;
  WaitingTask task = MakeTask(4, 1s);
  task.result_bytes = 1000;
  AddTask(queue, 1, task);
  EXPECT_TRUE(TakeBatch(queue, MakePool(), MakeTarget(-5000), kStart).empty());
  EXPECT_EQ(queue.waiting_items, 4);
}

// Guards against transferring large data between domains to save little time,
// and against waiting for a domain when the task would be late.
TEST(BatchQueueTest, TasksWithLargeDataWaitForTheirDomainUntilTheyWouldBeLate) {
  struct Case {
    Duration due;
    Duration domain_wait;
    bool is_sent;
  };
  for (const auto& [due, domain_wait, is_sent] :
       {Case{2s, 200ms, false}, Case{300ms, 0ms, false},
        Case{300ms, 200ms, true}, Case{2s, 1900ms, true}}) {
    SCOPED_TRACE(ToMilliseconds(due) + ToMilliseconds(domain_wait));
    BatchQueue queue;
    WaitingTask task = MakeTask(2, due);
    task.preferred_domain = FailureDomainId("summit");
    task.moved_bytes = 6'000'000;
    AddTask(queue, 1, task);
    BatchTarget target = MakeTarget();
    target.domain_waits[FailureDomainId("summit")] = domain_wait;
    EXPECT_EQ(!TakeBatch(queue, MakePool(), target, kStart).empty(), is_sent);
  }
}

// Guards against calls that are sent half empty while tasks wait for endpoints
// of another domain: in bursts, a saturated pool lost a third of its capacity.
// Tasks that prefer the endpoint's domain still go first.
TEST(BatchQueueTest, SaturatedPoolFillsCallsWithTasksOfOtherDomains) {
  BatchQueue queue;
  for (StageTaskId id = 1; id <= 6; ++id) {
    WaitingTask task = MakeTask(2, 2s);
    task.moved_bytes = 6'000'000;
    if (id <= 4) {
      task.preferred_domain = FailureDomainId("summit");
    }
    AddTask(queue, id, task);
  }
  BatchTarget target = MakeTarget();
  target.domain_waits[FailureDomainId("summit")] = Duration::zero();
  BatchQueue unsaturated = queue;
  EXPECT_EQ(TakeBatch(unsaturated, MakePool(), target, kStart).size(), 2u);
  target.is_pool_saturated = true;
  const auto batch = TakeBatch(queue, MakePool(), target, kStart);
  ASSERT_EQ(batch.size(), 4u);
  EXPECT_EQ(batch[0].task, 5u);
  EXPECT_EQ(batch[1].task, 6u);
  EXPECT_EQ(queue.waiting_items, 4);
}

// Guards against waiting for a domain that has no endpoint left.
TEST(BatchQueueTest, TasksDoNotWaitForADomainWithoutEndpoints) {
  BatchQueue queue;
  WaitingTask task = MakeTask(2, 2s);
  task.preferred_domain = FailureDomainId("summit");
  task.moved_bytes = 6'000'000;
  AddTask(queue, 1, task);
  EXPECT_EQ(TakeBatch(queue, MakePool(), MakeTarget(), kStart).size(), 1u);
}

// Guards against tasks that wait although they cannot end before their
// deadline.
TEST(BatchQueueTest, RemovesTasksThatCannotMeetTheirDeadline) {
  BatchQueue queue;
  WaitingTask task = MakeTask(2, 1s);
  task.deadline = kStart + 100ms;
  AddTask(queue, 1, task);
  EXPECT_EQ(TakeTasksThatMissDeadline(queue, MakePool(), kStart),
            std::vector<StageTaskId>{1});
  EXPECT_EQ(queue.waiting_items, 0);
}

// Guards against the behaviour of a FIFO queue, in which nearly every task of a
// burst is late. Simulates a burst of 1.6 times the capacity of four endpoints
// for five seconds and checks how many tasks end on time.
TEST(BatchQueueTest, MostOfTheCapacityServesTasksOnTimeInABurst) {
  const StagePoolDefinition pool = MakePool();
  constexpr int kEndpointCount = 4;
  // Four endpoints with 8 items in 278 ms process 115 items a second.
  constexpr double kTasksPerSecond = 1.6 * 115 / 6;
  constexpr int kTaskCount = static_cast<int>(kTasksPerSecond * 5);
  BatchQueue queue;
  std::vector<TimePoint> busy_until_times(kEndpointCount, kStart);
  std::map<StageTaskId, int> unsent_items;
  int on_time = 0;
  int next_task = 0;
  for (TimePoint now = kStart; now < kStart + 8s; now += 1ms) {
    while (next_task < kTaskCount &&
           now - kStart >=
               std::chrono::duration<double>(next_task / kTasksPerSecond)) {
      WaitingTask task = MakeTask(6, now - kStart + 1500ms);
      task.submitted = now;
      unsent_items[static_cast<StageTaskId>(next_task)] = 6;
      AddTask(queue, static_cast<StageTaskId>(next_task++), task);
    }
    for (TimePoint& busy_until : busy_until_times) {
      if (busy_until > now || queue.waiting.empty()) {
        continue;
      }
      const auto waiting_before = queue.waiting;
      int items = 0;
      const auto batch = TakeBatch(queue, pool, MakeTarget(), now);
      for (const BatchPart& part : batch) {
        items += static_cast<int>(part.items.size());
      }
      busy_until = now + PredictCallTime(pool, items);
      for (const BatchPart& part : batch) {
        unsent_items[part.task] -= static_cast<int>(part.items.size());
        if (unsent_items[part.task] == 0 &&
            busy_until <= waiting_before.at(part.task).due) {
          ++on_time;
        }
      }
    }
  }
  // Capacity of the endpoints during the burst and the 1.5 s until the last
  // task is due, less one call on each endpoint that is in flight at the end.
  const double possible_on_time = 115.0 / 6 * (5 + 1.5) - kEndpointCount;
  EXPECT_GE(on_time, 0.8 * std::min<double>(possible_on_time, kTaskCount));
}

// Guards against tasks that are late because their items go to a slow endpoint
// although a faster endpoint would finish them on time.
TEST(BatchQueueTest, SlowEndpointsGetOnlyTasksThatAreNotMadeLate) {
  BatchQueue queue;
  AddTask(queue, 1, MakeTask(2, 500ms));
  AddTask(queue, 2, MakeTask(2, 5s));
  AddTask(queue, 3, MakeTask(2, 100ms));
  BatchTarget slow;
  slow.free_result_bytes = 1'000'000;
  slow.call_time_ratio = 4;
  const auto batch = TakeBatch(queue, MakePool(), slow, kStart);
  std::vector<StageTaskId> taken;
  taken.reserve(batch.size());
  for (const BatchPart& part : batch) {
    taken.push_back(part.task);
  }
  // The third task is late at any endpoint.
  EXPECT_EQ(taken, (std::vector<StageTaskId>{2, 3}));
}

}  // namespace
}  // namespace peridotmill
