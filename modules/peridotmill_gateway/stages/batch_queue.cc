#include "peridotmill_gateway/stages/batch_queue.h"

#include <algorithm>
#include <tuple>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// How much earlier a task counts as due for each step of priority: about one
// call, so that urgent requests win a place without starving the others.
constexpr Duration kPriorityStep = std::chrono::milliseconds(150);
// How much later a task counts as due at an endpoint outside the failure domain
// that it prefers, and for each megabyte that would be moved.
constexpr Duration kOtherDomainStep = std::chrono::milliseconds(30);
constexpr double kStepPerMegabyteMs = 40;
// An endpoint that takes this many times the stated time is slow; speeds within
// a pool differ by 1.3.
constexpr double kSlowPace = 1.7;
// Tasks that would move less than this take any endpoint.
constexpr int64_t kMinMovedBytes = 400'000;

Duration MovingDelay(const WaitingTask& task) {
  constexpr double kBytesPerMegabyte = 1e6;
  return kOtherDomainStep +
         FromMilliseconds(kStepPerMegabyteMs *
                          static_cast<double>(task.moved_bytes) /
                          kBytesPerMegabyte);
}

TimePoint OrderingTime(const WaitingTask& task, const BatchTarget& target) {
  const TimePoint time = task.due + task.priority * kPriorityStep;
  return task.preferred_domain == target.failure_domain
             ? time
             : time + MovingDelay(task);
}

// Whether the task had better wait for an endpoint in the domain it prefers.
bool WaitsForDomain(const WaitingTask& task,
                    const BatchTarget& target,
                    Duration call_time,
                    TimePoint now) {
  if (task.preferred_domain == target.failure_domain ||
      task.moved_bytes < kMinMovedBytes ||
      !target.served_domains.contains(task.preferred_domain)) {
    return false;
  }
  // One more call fits before the task is due.
  return now + 2 * call_time < task.due &&
         now - task.submitted < MovingDelay(task);
}

// Whether the task is on time at an endpoint of the stated pace, and late at
// this slower one.
bool WaitsForPace(const WaitingTask& task,
                  const BatchTarget& target,
                  Duration call_time,
                  TimePoint now) {
  if (target.call_time_ratio < kSlowPace || now + call_time > task.due) {
    return false;
  }
  return now + FromMilliseconds(ToMilliseconds(call_time) *
                                target.call_time_ratio) >
         task.due;
}

// Order of tasks in a call.
enum class BatchRank : uint8_t { kStarted, kOnTime, kOnTimeElsewhere, kLate };

int CountItems(const WaitingTask& task) {
  return static_cast<int>(task.items.size());
}

}  // namespace

void AddTask(BatchQueue& queue, StageTaskId id, const WaitingTask& task) {
  const auto [entry, is_new] = queue.waiting.emplace(id, task);
  if (!is_new) {
    auto& items = entry->second.items;
    items.insert(items.end(), task.items.begin(), task.items.end());
    entry->second.is_started = entry->second.is_started || task.is_started;
  }
  queue.waiting_items += CountItems(task);
}

void RemoveTask(BatchQueue& queue, StageTaskId id) {
  const auto found = queue.waiting.find(id);
  if (found != queue.waiting.end()) {
    queue.waiting_items -= CountItems(found->second);
    queue.waiting.erase(found);
  }
}

Duration PredictCallTime(const StagePoolDefinition& pool, int item_count) {
  return pool.call_time + item_count * pool.item_time;
}

std::vector<BatchPart> TakeBatch(BatchQueue& queue,
                                 const StagePoolDefinition& pool,
                                 const BatchTarget& target,
                                 TimePoint now) {
  struct Entry {
    BatchRank rank;
    TimePoint order;
    StageTaskId id;
    WaitingTask* task;
  };
  std::vector<Entry> order;
  order.reserve(queue.waiting.size());
  for (auto& [id, task] : queue.waiting) {
    const int items = CountItems(task);
    const bool prefers_other =
        WaitsForDomain(task, target, PredictCallTime(pool, items), now);
    if ((prefers_other && !target.is_pool_saturated) ||
        WaitsForPace(task, target, PredictCallTime(pool, pool.batch_size),
                     now)) {
      continue;
    }
    // The call may become a full one.
    const bool is_late =
        now + PredictCallTime(pool, pool.batch_size) > task.due;
    const BatchRank rank = task.is_started ? BatchRank::kStarted
                           : is_late       ? BatchRank::kLate
                           : prefers_other ? BatchRank::kOnTimeElsewhere
                                           : BatchRank::kOnTime;
    order.push_back({rank, OrderingTime(task, target), id, &task});
  }
  std::sort(order.begin(), order.end(), [](const Entry& a, const Entry& b) {
    return std::tie(a.rank, a.order, a.id) < std::tie(b.rank, b.order, b.id);
  });
  std::vector<BatchPart> batch;
  int room = pool.batch_size;
  int64_t room_bytes = target.room_bytes;
  std::vector<StageTaskId> emptied;
  for (const Entry& entry : order) {
    const int items = CountItems(*entry.task);
    int taken = std::min(items, room);
    if (entry.task->result_bytes > 0) {
      taken = static_cast<int>(
          std::min<int64_t>(taken, room_bytes / entry.task->result_bytes));
    }
    // A task whose second call would end late takes no part of this one.
    const bool is_on_time = entry.rank == BatchRank::kOnTime ||
                            entry.rank == BatchRank::kOnTimeElsewhere;
    const bool ends_late =
        taken < items && is_on_time &&
        now + 2 * PredictCallTime(pool, pool.batch_size) > entry.task->due;
    if (taken <= 0 || ends_late) {
      continue;
    }
    room_bytes -= taken * entry.task->result_bytes;
    auto& waiting = entry.task->items;
    const auto end = waiting.begin() + taken;
    batch.push_back({entry.id, std::vector<int>(waiting.begin(), end)});
    waiting.erase(waiting.begin(), end);
    entry.task->is_started = true;
    queue.waiting_items -= taken;
    room -= taken;
    if (waiting.empty()) {
      emptied.push_back(entry.id);
    }
  }
  for (const StageTaskId id : emptied) {
    queue.waiting.erase(id);
  }
  return batch;
}

std::vector<StageTaskId> TakeHopeless(BatchQueue& queue,
                                      const StagePoolDefinition& pool,
                                      TimePoint now) {
  std::vector<StageTaskId> hopeless;
  for (const auto& [id, task] : queue.waiting) {
    if (now + PredictCallTime(pool, CountItems(task)) > task.deadline) {
      hopeless.push_back(id);
    }
  }
  for (const StageTaskId id : hopeless) {
    RemoveTask(queue, id);
  }
  return hopeless;
}

}  // namespace peridotmill
