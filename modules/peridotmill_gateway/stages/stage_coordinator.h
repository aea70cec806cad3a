#ifndef PERIDOTMILL_GATEWAY_STAGES_STAGE_COORDINATOR_H_
#define PERIDOTMILL_GATEWAY_STAGES_STAGE_COORDINATOR_H_

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/admission/stage_admission.h"
#include "peridotmill_gateway/configuration/active_configuration.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/placement/prompt_placement.h"
#include "peridotmill_gateway/quarantine/crash_quarantine.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/retries/pool_retry_budget.h"
#include "peridotmill_gateway/stages/batch_queue.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Combines stage tasks into batched calls to the endpoints of stage pools. A
// request waits for admission until the pools that it uses have capacity. Each
// pool has one queue; an endpoint gets its next call when an earlier one has
// ended, so that tasks accumulate into batches while the endpoint works.
class StageCoordinator final : public StageTaskExecutor {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerQueue& timers;
    StageCaller& caller;
    EndpointRegistry& endpoints;
    PoolRetryBudget& retry_budget;
    EventSink& events;
    // May be null.
    CrashQuarantine* quarantine = nullptr;
  };

  StageCoordinator(const Dependencies& dependencies, uint64_t seed);
  ~StageCoordinator() override;

  void SetConfiguration(ActiveConfigurationPtr configuration);

  std::unique_ptr<StageTaskHandle> Submit(StageTask task,
                                          StageTaskListener* listener) override;

  size_t task_count() const { return tasks_.size(); }
  size_t waiting_request_count() const { return admission_.waiting_count(); }
  size_t started_request_count() const { return admission_.started_count(); }
  size_t slow_engine_count() const {
    return CountSlowEngines(prompt_placements_);
  }
  int64_t displaced_request_count() const {
    return admission_.displaced_count();
  }

 private:
  class Call;
  class Handle;

  // A result, and the endpoint whose result memory it takes until the result is
  // released or its retention ends.
  struct StoredResult {
    ResultHandle handle;
    EndpointPtr producer;
    // Start of the call that produced it, at which it began to take memory.
    TimePoint stored_since;
  };

  // A submitted task whose handle exists.
  struct Task {
    StageTask task;
    StageTaskListener* listener = nullptr;
    // One result for each item; the producer is null until the item is done,
    // and after its retention has ended.
    std::vector<StoredResult> results;
    int done_items = 0;
    // The listener has been called. The results are kept until the handle is
    // destroyed.
    bool is_ended = false;
    FailureDomainId maker_domain;
    std::unique_ptr<Timer> expiry;
    std::unique_ptr<Timer> end_timer;
  };

  // Prompt of a request, and the engine for which its first stage was placed.
  struct RequestPrompt {
    PromptDemand demand;
    EndpointId intended_engine;
  };

  // Tasks of one pool that wait for a call.
  struct PoolQueue {
    BatchQueue tasks;
    std::unique_ptr<Timer> dispatch_timer;
    // Arrival of the first task after a time without tasks that is longer than
    // the result retention.
    TimePoint active_since;
    TimePoint last_task_time;
    // Moving average of the time for which results take memory at their
    // producers, in milliseconds; 0 before the first result was released.
    double result_storage_ms = 0;
  };

  // Puts an admitted task into the queue of its pool.
  void Enqueue(StageTaskId id);
  // Records the prompt of a new request, and makes its first stage prefer the
  // failure domain of the engine that would be chosen now.
  void SetIntendedEngine(StageTask& task);
  // Returns the engine for a request whose last stage has just ended; empty
  // when the node that received the request has to choose.
  EndpointId ChooseEngine(StageTaskId id, const Task& task);
  // Returns the throughput of the usable endpoints of each pool.
  PoolThroughputs EstimateThroughputs() const;
  // Returns the longest pause that the streams of a pool's routes allow.
  std::optional<Duration> MaxPause(const PoolId& pool) const;
  void ScheduleDispatch(const PoolId& id, Duration delay);
  // Ends the tasks that cannot meet their deadline, and sends calls to idle
  // endpoints.
  void Dispatch(const PoolId& id);
  // Returns the time after which the caller of a request should retry if the
  // request cannot be served, since all endpoints of a later stage are held off
  // for too long; otherwise returns nothing.
  std::optional<Duration> FindUnservableHoldOff(const StageTask& task) const;
  // Refuses the tasks that cannot meet their deadline because all endpoints of
  // the pool are held off.
  void RefuseHeldOffTasks(const PoolId& id, const StagePoolDefinition& pool);
  // Records the arrival of a task for a pool.
  void RecordTaskArrival(const PoolId& id);
  // Assumes that another coordinator, or this node before its restart, has left
  // results at all endpoints of a pool, if this node began to use the pool
  // within the last result retention.
  void AssumeForeignResults(const PoolId& id, const StagePoolDefinition& pool);
  // Sends the next call to an endpoint. Returns false if no task fits, or if
  // the call would carry too few items.
  bool StartCall(const PoolId& id,
                 PoolQueue& queue,
                 const StagePoolDefinition& pool,
                 const EndpointPtr& endpoint);
  // Returns the predicted end of the last call in flight to each endpoint.
  std::unordered_map<EndpointId, TimePoint> PredictCallEnds(
      const PoolId& id,
      const StagePoolDefinition& pool) const;
  // Ends the calls to failure domains that have stopped responding.
  void CheckOverdueCalls();
  void ScheduleOverdueCheck();
  bool IsOverdue(const Call& call, TimePoint now) const;
  // Returns how long a call is expected to take at its endpoint.
  Duration PredictDuration(const Call& call,
                           const StagePoolDefinition& pool) const;
  // Handles the response to a call, or its timeout.
  void FinishCall(Call* call, StageResponse response);
  // Updates the state of the endpoint at the end of a call, and logs a failure.
  void RecordCallEnd(Call& call, const StageResponse& response);
  // Stores the result of an item and counts it against the memory of its
  // producer.
  void StoreResult(Task& task,
                   size_t item,
                   const Call& call,
                   ResultHandle handle);
  // Updates the average storage time of a pool's results.
  void RecordStorageTime(const PoolId& id, TimePoint stored_since);
  // Returns the average storage time of a pool's results.
  Duration ResultStorageTime(const PoolId& id) const;
  // Stops counting a task's results against the memory of their producers: the
  // producers have deleted the results at the end of the retention.
  void ExpireResults(Task& task);
  // Stops counting an item's result, if there is one, and tells its producer to
  // delete the result.
  void ReleaseResult(Task& task, size_t item);
  // Stores the results of the items of `part`, and retries items or ends the
  // task as needed. Appends results of cancelled tasks to `unused`.
  void ProcessResults(Call& call,
                      const BatchPart& part,
                      StageItemResult* results,
                      std::vector<ResultHandle>& unused);
  // Puts items back into their queue, or ends the task when the retry budget is
  // exhausted. Items that were never sent are not charged to the budget.
  void RetryItems(const PoolId& id,
                  StageTaskId task_id,
                  const std::vector<int>& items,
                  bool charges_retry_budget);
  // Ends a task and calls its listener.
  void EndTask(StageTaskId id,
               StageItemOutcome outcome,
               Duration retry_after = Duration::zero());
  // Returns whether the items taken from a queue fill enough of a call to send
  // it, or the endpoint has been short of result memory for too long.
  bool IsCallFullEnough(const BatchQueue& before,
                        const BatchQueue& after,
                        const StagePoolDefinition& pool,
                        Endpoint& endpoint) const;
  // Records that an endpoint had less free result memory than this node
  // expected: the memory is taken by foreign results, which this node does not
  // know.
  void RecordForeignResults(const Call& call);
  // Cancels a task whose handle is destroyed, and releases its results.
  void Cancel(StageTaskId id);
  const StagePoolDefinition* FindStagePool(const PoolId& id) const;

  Dependencies dependencies_;
  Random random_;
  ActiveConfigurationPtr configuration_;
  std::map<PoolId, Duration> max_pauses_;
  std::map<PoolId, PoolQueue> queues_;
  std::map<StageTaskId, Task> tasks_;
  std::map<Call*, std::unique_ptr<Call>> calls_;
  std::unique_ptr<Timer> overdue_check_timer_;
  StageAdmission admission_;
  // Prompts of the requests with tasks here, for the choice of an engine.
  std::unordered_map<RequestId, RequestPrompt> request_prompts_;
  PromptPlacements prompt_placements_;
  StageTaskId next_task_ = 1;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STAGES_STAGE_COORDINATOR_H_
