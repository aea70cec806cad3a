#include "peridotmill_gateway/stages/batch_queue.h"

#include <gtest/gtest.h>

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

BatchTarget MakeTarget(int64_t room = 1'000'000'000) {
  return {.room_bytes = room,
          .failure_domain = kValley,
          .served_domains = {kValley}};
}

// Guards against late tasks taking calls from tasks that can still be on time.
TEST(BatchQueueTest, TasksThatCanBeOnTimeGoBeforeLateOnes) {
  BatchQueue queue;
  AddTask(queue, 1, MakeTask(5, -1s));
  AddTask(queue, 2, MakeTask(5, 1s));
  const auto batch = TakeBatch(queue, MakePool(), MakeTarget(), kStart);
  ASSERT_EQ(batch.size(), 2u);
  EXPECT_EQ(batch[0].task, 2u);
  EXPECT_EQ(batch[1].items.size(), 3u);
}

// Guards against half-made tasks that hold room while others start: in bursts
// the room of a pool filled with them and its calls ran half empty.
TEST(BatchQueueTest, TasksThatHaveBegunGoFirst) {
  BatchQueue queue;
  AddTask(queue, 1, MakeTask(10, 700ms));
  TakeBatch(queue, MakePool(), MakeTarget(), kStart);
  AddTask(queue, 2, MakeTask(8, 2s));
  const auto batch = TakeBatch(queue, MakePool(), MakeTarget(), kStart + 1s);
  EXPECT_EQ(batch[0].task, 1u);
}

// Guards against calls whose results find no room.
TEST(BatchQueueTest, SendsOnlyWhatFitsTheRoom) {
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

// Guards against a negative number of items when more room is taken than a
// changed configuration grants.
TEST(BatchQueueTest, SendsNothingWhenMoreThanTheRoomIsTaken) {
  BatchQueue queue;
  WaitingTask task = MakeTask(4, 1s);
  task.result_bytes = 1000;
  AddTask(queue, 1, task);
  EXPECT_TRUE(TakeBatch(queue, MakePool(), MakeTarget(-5000), kStart).empty());
  EXPECT_EQ(queue.waiting_items, 4);
}

// Guards against moving large data between domains for a little time, and
// against waiting for a domain when the task would be late.
TEST(BatchQueueTest, TasksWithLargeDataWaitForTheirDomainWhileTheyHaveTime) {
  for (const auto& [due, is_sent] :
       {std::pair<Duration, bool>{2s, false}, {300ms, true}}) {
    BatchQueue queue;
    WaitingTask task = MakeTask(2, due);
    task.preferred_domain = FailureDomainId("summit");
    task.moved_bytes = 6'000'000;
    AddTask(queue, 1, task);
    BatchTarget target = MakeTarget();
    target.served_domains.insert(FailureDomainId("summit"));
    EXPECT_EQ(!TakeBatch(queue, MakePool(), target, kStart).empty(), is_sent);
  }
}

// Guards against calls that leave half empty while tasks wait for endpoints of
// another domain: a saturated pool lost a third of its capacity so in bursts.
// The tasks of the endpoint's own domain still go first.
TEST(BatchQueueTest, ASaturatedPoolFillsItsCalls) {
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
  target.served_domains.insert(FailureDomainId("summit"));
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

// Guards against tasks that wait although they cannot end in time.
TEST(BatchQueueTest, HopelessTasksAreTakenOut) {
  BatchQueue queue;
  WaitingTask task = MakeTask(2, 1s);
  task.deadline = kStart + 100ms;
  AddTask(queue, 1, task);
  EXPECT_EQ(TakeHopeless(queue, MakePool(), kStart),
            std::vector<StageTaskId>{1});
  EXPECT_EQ(queue.waiting_items, 0);
}

// Plays a burst of 1.6 times the capacity of four endpoints for five seconds
// and checks how many tasks end on time. Guards against the domino effect of a
// plain queue, in which nearly every task of the burst is late.
TEST(BatchQueueTest, MostOfTheCapacityServesTasksOnTimeUnderABurst) {
  const StagePoolDefinition pool = MakePool();
  constexpr int kEndpoints = 4;
  // Four endpoints with 8 items in 278 ms make 115 items a second.
  constexpr double kTasksPerSecond = 1.6 * 115 / 6;
  constexpr int kTasks = static_cast<int>(kTasksPerSecond * 5);
  BatchQueue queue;
  std::vector<TimePoint> free_at(kEndpoints, kStart);
  std::map<StageTaskId, int> missing;
  int on_time = 0;
  int next = 0;
  for (TimePoint now = kStart; now < kStart + 8s; now += 1ms) {
    while (next < kTasks && now - kStart >= std::chrono::duration<double>(
                                                next / kTasksPerSecond)) {
      WaitingTask task = MakeTask(6, now - kStart + 1500ms);
      task.submitted = now;
      missing[static_cast<StageTaskId>(next)] = 6;
      AddTask(queue, static_cast<StageTaskId>(next++), task);
    }
    for (TimePoint& free : free_at) {
      if (free > now || queue.waiting.empty()) {
        continue;
      }
      const auto due = queue.waiting;
      int items = 0;
      const auto batch = TakeBatch(queue, pool, MakeTarget(), now);
      for (const BatchPart& part : batch) {
        items += static_cast<int>(part.items.size());
      }
      free = now + PredictCallTime(pool, items);
      for (const BatchPart& part : batch) {
        missing[part.task] -= static_cast<int>(part.items.size());
        if (missing[part.task] == 0 && free <= due.at(part.task).due) {
          ++on_time;
        }
      }
    }
  }
  // What the endpoints can do in the burst and in the 1.5 s that the last task
  // has, less one call that straddles the end on each.
  const double possible = 115.0 / 6 * (5 + 1.5) - kEndpoints;
  EXPECT_GE(on_time, 0.8 * std::min<double>(possible, kTasks));
}

// Guards against tasks that are late because some of their items went to a slow
// endpoint while others would have been in time.
TEST(BatchQueueTest, SlowEndpointsGetOnlyWhatIsInTimeThere) {
  BatchQueue queue;
  AddTask(queue, 1, MakeTask(2, 500ms));
  AddTask(queue, 2, MakeTask(2, 5s));
  AddTask(queue, 3, MakeTask(2, 100ms));
  BatchTarget slow;
  slow.room_bytes = 1'000'000;
  slow.call_time_ratio = 4;
  const auto batch = TakeBatch(queue, MakePool(), slow, kStart);
  std::vector<StageTaskId> taken;
  taken.reserve(batch.size());
  for (const BatchPart& part : batch) {
    taken.push_back(part.task);
  }
  // The third is late wherever it goes.
  EXPECT_EQ(taken, (std::vector<StageTaskId>{2, 3}));
}

}  // namespace
}  // namespace peridotmill
