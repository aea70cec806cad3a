#ifndef PERIDOTMILL_GATEWAY_STAGES_BATCH_QUEUE_H_
#define PERIDOTMILL_GATEWAY_STAGES_BATCH_QUEUE_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "peridotmill_gateway/configuration/gateway_config.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

using StageTaskId = uint64_t;

// Items of one task that go into a call together.
struct BatchPart {
  StageTaskId task = 0;
  // Positions of the items in their task.
  std::vector<int> items;
};

// A task with items that wait for a call.
struct WaitingTask {
  TimePoint submitted;
  TimePoint due;
  TimePoint deadline;
  int priority = 0;
  // Positions of the items that wait.
  std::vector<int> items;
  // Other items of the task have been sent; their results take room until the
  // whole task is done.
  bool is_started = false;
  // Room that each item's result takes.
  int64_t result_bytes = 0;
  FailureDomainId preferred_domain;
  int64_t moved_bytes = 0;
};

// Tasks that wait for a call to the endpoints of one pool.
struct BatchQueue {
  std::map<StageTaskId, WaitingTask> waiting;
  int waiting_items = 0;
};

// Adds a task, or further items of one that is there.
void AddTask(BatchQueue& queue, StageTaskId id, const WaitingTask& task);
void RemoveTask(BatchQueue& queue, StageTaskId id);
// Time that an endpoint works on a call with this many items.
Duration PredictCallTime(const StagePoolDefinition& pool, int item_count);

// The endpoint that a call goes to.
struct BatchTarget {
  // Room for results.
  int64_t room_bytes = 0;
  FailureDomainId failure_domain;
  // Time that its calls take as a multiple of what the pool states.
  double call_time_ratio = 1;
  // Failure domains with an endpoint that can be used.
  std::set<FailureDomainId> served_domains;
  // Hardly any other endpoint of the pool is idle.
  bool is_pool_saturated = false;
};

// Takes the next call's items. Answers
// bursts above the pool's capacity: tasks that can still be on time go first,
// the most urgent one leading, so that the excess gathers in tasks that are
// late already, which take what is left. In a saturated pool a call is filled
// with tasks that prefer another domain: moving their results costs less than
// the places that would stay empty while tasks wait.
std::vector<BatchPart> TakeBatch(BatchQueue& queue,
                                 const StagePoolDefinition& pool,
                                 const BatchTarget& target,
                                 TimePoint now);

// Takes out the tasks that cannot end before their deadline any more.
std::vector<StageTaskId> TakeHopeless(BatchQueue& queue,
                                      const StagePoolDefinition& pool,
                                      TimePoint now);

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STAGES_BATCH_QUEUE_H_
