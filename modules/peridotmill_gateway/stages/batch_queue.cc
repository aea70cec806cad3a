#include "peridotmill_gateway/stages/batch_queue.h"

#include <algorithm>
#include <numeric>
#include <tuple>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Delay of a task's ordering time for each priority level below the most
// urgent. About the time of one call, so that urgent requests get a place first
// without starving the others.
constexpr Duration kOrderingDelayPerPriority = std::chrono::milliseconds(150);
// Delay of a task's ordering time at an endpoint outside its preferred failure
// domain: a fixed part, and a part for each megabyte to transfer.
constexpr Duration kCrossDomainOrderingDelay = std::chrono::milliseconds(30);
constexpr double kOrderingDelayPerMegabyteMs = 40;
// An endpoint whose calls take this many times the configured time is slow. The
// speeds of healthy endpoints of a pool differ by a factor of 1.3.
constexpr double kSlowCallTimeRatio = 1.7;
// Reserve of a task that waits for its domain: queues are dispatched at
// intervals, and calls differ from their predicted time.
constexpr Duration kDomainWaitMargin = std::chrono::milliseconds(50);
// Tasks with less data to transfer than this do not wait for an endpoint in
// their preferred domain.
constexpr int64_t kMinMovedBytesToWait = 400'000;

Duration CrossDomainOrderingDelay(const WaitingTask& task) {
  constexpr double kBytesPerMegabyte = 1e6;
  return kCrossDomainOrderingDelay +
         FromMilliseconds(kOrderingDelayPerMegabyteMs *
                          static_cast<double>(task.moved_bytes) /
                          kBytesPerMegabyte);
}

TimePoint OrderingTime(const WaitingTask& task, const BatchTarget& target) {
  const TimePoint time = task.due + task.priority * kOrderingDelayPerPriority;
  return task.preferred_domain == target.failure_domain
             ? time
             : time + CrossDomainOrderingDelay(task);
}

// Decides which tasks wait for an endpoint in their preferred domain: those
// that are still on time there behind the tasks that go first.
class DomainWaits {
 public:
  DomainWaits(const StagePoolDefinition& pool,
              const BatchTarget& target,
              int waiting_items)
      : pool_(pool),
        target_(target),
        call_time_(
            PredictCallTime(pool, std::min(pool.batch_size, waiting_items))) {}

  // Tasks have to be passed in the order in which they get places.
  bool ShouldWait(const WaitingTask& task, TimePoint now) {
    if (task.preferred_domain == target_.failure_domain ||
        task.moved_bytes < kMinMovedBytesToWait) {
      return false;
    }
    const auto wait = target_.domain_waits.find(task.preferred_domain);
    if (wait == target_.domain_waits.end()) {
      return false;
    }
    int& items_ahead = items_ahead_[task.preferred_domain];
    const auto calls = items_ahead / pool_.batch_size + 1;
    items_ahead += static_cast<int>(task.items.size());
    return now + wait->second + calls * call_time_ + kDomainWaitMargin <=
           task.due;
  }

 private:
  const StagePoolDefinition& pool_;
  const BatchTarget& target_;
  const Duration call_time_;
  std::map<FailureDomainId, int> items_ahead_;
};

// Returns whether the task would be on time at an endpoint with the configured
// call time, but late at this slower endpoint.
bool ShouldWaitForFasterEndpoint(const WaitingTask& task,
                                 const BatchTarget& target,
                                 Duration call_time,
                                 TimePoint now) {
  if (target.call_time_ratio < kSlowCallTimeRatio ||
      now + call_time > task.due) {
    return false;
  }
  return now + FromMilliseconds(ToMilliseconds(call_time) *
                                target.call_time_ratio) >
         task.due;
}

// Order in which tasks get places in a call.
enum class BatchPriorityClass : uint8_t {
  kStarted,
  kOnTime,
  kOnTimeInOtherDomain,
  kLate
};

int CountItems(const WaitingTask& task) {
  return static_cast<int>(task.items.size());
}

}  // namespace

WaitingTask MakeWaitingTask(const StageTask& task, TimePoint submitted) {
  WaitingTask waiting;
  waiting.submitted = submitted;
  waiting.due = task.due;
  waiting.deadline = task.deadline;
  waiting.priority = task.priority;
  waiting.items.resize(static_cast<size_t>(task.item_count));
  std::iota(waiting.items.begin(), waiting.items.end(), 0);
  waiting.result_bytes = task.result_bytes;
  waiting.preferred_domain = task.preferred_domain;
  waiting.moved_bytes = task.moved_bytes;
  return waiting;
}

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
  struct Candidate {
    BatchPriorityClass priority_class;
    TimePoint ordering_time;
    StageTaskId id;
    WaitingTask* task;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(queue.waiting.size());
  std::vector<std::pair<TimePoint, StageTaskId>> due_order;
  for (const auto& [id, task] : queue.waiting) {
    due_order.emplace_back(task.due, id);
  }
  std::sort(due_order.begin(), due_order.end());
  DomainWaits domain_waits(pool, target, queue.waiting_items);
  for (const auto& [due, id] : due_order) {
    WaitingTask& task = queue.waiting.at(id);
    const bool waits_for_domain = domain_waits.ShouldWait(task, now);
    if ((waits_for_domain && !target.is_pool_saturated) ||
        ShouldWaitForFasterEndpoint(
            task, target, PredictCallTime(pool, pool.batch_size), now)) {
      continue;
    }
    // Assumes that other tasks fill the call.
    const bool is_late =
        now + PredictCallTime(pool, pool.batch_size) > task.due;
    const BatchPriorityClass priority_class =
        task.is_started    ? BatchPriorityClass::kStarted
        : is_late          ? BatchPriorityClass::kLate
        : waits_for_domain ? BatchPriorityClass::kOnTimeInOtherDomain
                           : BatchPriorityClass::kOnTime;
    candidates.push_back(
        {priority_class, OrderingTime(task, target), id, &task});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.priority_class, a.ordering_time, a.id) <
                     std::tie(b.priority_class, b.ordering_time, b.id);
            });
  std::vector<BatchPart> batch;
  int free_places = pool.batch_size;
  int64_t free_result_bytes = target.free_result_bytes;
  std::vector<StageTaskId> drained;
  for (const Candidate& candidate : candidates) {
    const int items = CountItems(*candidate.task);
    int taken = std::min(items, free_places);
    if (candidate.task->result_bytes > 0) {
      taken = static_cast<int>(std::min<int64_t>(
          taken, free_result_bytes / candidate.task->result_bytes));
    }
    // A task is not split over two calls if its second call would end late.
    const bool is_on_time =
        candidate.priority_class == BatchPriorityClass::kOnTime ||
        candidate.priority_class == BatchPriorityClass::kOnTimeInOtherDomain;
    const bool ends_late =
        taken < items && is_on_time &&
        now + 2 * PredictCallTime(pool, pool.batch_size) > candidate.task->due;
    if (taken <= 0 || ends_late) {
      continue;
    }
    free_result_bytes -= taken * candidate.task->result_bytes;
    auto& waiting = candidate.task->items;
    const auto end = waiting.begin() + taken;
    batch.push_back({candidate.id, std::vector<int>(waiting.begin(), end)});
    waiting.erase(waiting.begin(), end);
    candidate.task->is_started = true;
    queue.waiting_items -= taken;
    free_places -= taken;
    if (waiting.empty()) {
      drained.push_back(candidate.id);
    }
  }
  for (const StageTaskId id : drained) {
    queue.waiting.erase(id);
  }
  return batch;
}

std::vector<StageTaskId> TakeTasksThatMissDeadline(
    BatchQueue& queue,
    const StagePoolDefinition& pool,
    TimePoint now) {
  std::vector<StageTaskId> missed;
  for (const auto& [id, task] : queue.waiting) {
    if (now + PredictCallTime(pool, CountItems(task)) > task.deadline) {
      missed.push_back(id);
    }
  }
  for (const StageTaskId id : missed) {
    RemoveTask(queue, id);
  }
  return missed;
}

}  // namespace peridotmill
