#ifndef PERIDOTMILL_GATEWAY_STAGES_BATCH_QUEUE_H_
#define PERIDOTMILL_GATEWAY_STAGES_BATCH_QUEUE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "peridotmill_gateway/configuration/gateway_config.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

using StageTaskId = uint64_t;

// Items of one task that are sent in the same call.
struct BatchPart {
  StageTaskId task = 0;
  // Indices of the items in their task.
  std::vector<int> items;
};

// A task with items that wait for a call.
struct WaitingTask {
  TimePoint submitted;
  // See StageTask.
  TimePoint due;
  TimePoint deadline;
  int priority = 0;
  // Indices of the items that wait.
  std::vector<int> items;
  // Other items of the task have been sent. Their results take memory at their
  // producers until the whole task is done.
  bool is_started = false;
  // Memory that each item's result takes at its producer.
  int64_t result_bytes = 0;
  // See StageTask.
  FailureDomainId preferred_domain;
  int64_t moved_bytes = 0;
};

// Returns the queue entry of a task, all of whose items wait.
WaitingTask MakeWaitingTask(const StageTask& task, TimePoint submitted);

// Tasks that wait for a call to the endpoints of one pool.
struct BatchQueue {
  std::map<StageTaskId, WaitingTask> waiting;
  int waiting_items = 0;
};

// Adds a task, or adds items to a task that is in the queue.
void AddTask(BatchQueue& queue, StageTaskId id, const WaitingTask& task);
// Removes a task with all its waiting items, if it is in the queue.
void RemoveTask(BatchQueue& queue, StageTaskId id);
// Returns how long an endpoint is expected to work on a call with this many
// items.
Duration PredictCallTime(const StagePoolDefinition& pool, int item_count);

// State of the endpoint that the next call goes to, and of its pool.
struct BatchTarget {
  // Free memory for results.
  int64_t free_result_bytes = 0;
  FailureDomainId failure_domain;
  // Observed call time of the endpoint, divided by the time that the pool
  // configuration states.
  double call_time_ratio = 1;
  // Failure domains in which the pool has a usable endpoint, and the predicted
  // time until one of them can take a call.
  std::map<FailureDomainId, Duration> domain_waits;
  // Hardly any other endpoint of the pool is idle while much work waits.
  bool is_pool_saturated = false;
};

// Takes the items of the next call to `target` out of the queue. Handles bursts
// above the pool's capacity: tasks that have started go first, then tasks that
// can still be on time, ordered by due time and priority, so that the excess
// accumulates in tasks that are late already; late tasks use the remaining
// places. A task waits for an endpoint in its preferred domain as long as it
// would still be on time there. In a saturated pool, a call is filled up with
// tasks that prefer another failure domain: transferring their data costs less
// than leaving places of the call empty while tasks wait.
std::vector<BatchPart> TakeBatch(BatchQueue& queue,
                                 const StagePoolDefinition& pool,
                                 const BatchTarget& target,
                                 TimePoint now);

// Removes and returns the tasks that can no longer end before their deadline.
std::vector<StageTaskId> TakeTasksThatMissDeadline(
    BatchQueue& queue,
    const StagePoolDefinition& pool,
    TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STAGES_BATCH_QUEUE_H_
