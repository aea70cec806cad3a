#ifndef PERIDOTMILL_GATEWAY_STAGES_STAGE_COORDINATOR_H_
#define PERIDOTMILL_GATEWAY_STAGES_STAGE_COORDINATOR_H_

#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/admission/stage_entrance.h"
#include "peridotmill_gateway/configuration/active_configuration.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/placement/engine_plan.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/retries/pool_retry_budget.h"
#include "peridotmill_gateway/stages/batch_queue.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Gathers stage tasks into batched calls to the endpoints of stage pools. A
// request waits at the entrance until the pools on its way can take it. Each
// pool has one queue; an endpoint gets its next call when the one before has
// ended, so that tasks gather while it works.
class StageCoordinator final : public StageWorker {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerQueue& timers;
    StageCaller& caller;
    EndpointRegistry& endpoints;
    PoolRetryBudget& repeats;
    EventSink& events;
  };

  StageCoordinator(const Dependencies& dependencies, uint64_t seed);
  ~StageCoordinator() override;

  void SetConfiguration(ActiveConfigurationPtr configuration);

  std::unique_ptr<OpenStageTask> Submit(StageTask task,
                                        StageTaskListener* listener) override;

  size_t task_count() const { return tasks_.size(); }
  size_t waiting_requests() const { return entrance_.waiting_count(); }
  size_t started_requests() const { return entrance_.started_count(); }

 private:
  class Call;
  class Ticket;

  // A result, and the endpoint whose room it takes until it is released or its
  // retention ends.
  struct MadeResult {
    ResultHandle handle;
    EndpointPtr maker;
  };

  struct Task {
    StageTask task;
    StageTaskListener* listener = nullptr;
    // One for each item; without a maker until the item is done.
    std::vector<MadeResult> results;
    int done_items = 0;
    // The listener has been told; the results are kept for the ticket's owner.
    bool is_ended = false;
    FailureDomainId maker_domain;
    std::unique_ptr<Timer> expiry;
    std::unique_ptr<Timer> end_timer;
  };

  // One queue and what works on it.
  struct Queue {
    BatchQueue batch;
    std::unique_ptr<Timer> dispatch_timer;
    // When tasks came again after none for as long as results are kept.
    TimePoint began;
    TimePoint last_task;
  };

  // Puts a task into the queue of its pool.
  void Enqueue(StageTaskId id);
  // The engine for a request whose last stage has just ended; empty when the
  // node that holds the request chooses.
  EndpointId ChooseEngine(StageTaskId id, const Task& task);
  // What the endpoints that can be used get through.
  PoolRates EstimateRates() const;
  void ScheduleDispatch(const PoolId& id, Duration delay);
  void Dispatch(const PoolId& id);
  // Sends the next call to an endpoint; false when no task fits it.
  void NoteTaskOf(const PoolId& id);
  // Another coordinator, or this node before its restart, has left results at
  // the makers of a pool.
  void AssumeForeignResults(const PoolId& id, const StagePoolDefinition& pool);
  // Whether hardly any endpoint of a pool is idle while much work waits.
  bool IsSaturated(const PoolId& id,
                   const StagePoolDefinition& pool,
                   const BatchQueue& queue) const;
  bool StartCall(const PoolId& id,
                 Queue& queue,
                 const StagePoolDefinition& pool,
                 const EndpointPtr& endpoint);
  std::vector<EndpointPtr> IdleEndpoints(const PoolId& id,
                                         const StagePoolDefinition& pool) const;
  std::set<FailureDomainId> ServedDomains(
      const PoolId& id,
      const StagePoolDefinition& pool) const;
  // Gives up the calls to failure domains that have stopped to answer.
  void ReviewOverdueCalls();
  void ScheduleReview();
  bool IsOverdue(const Call& call, TimePoint now) const;
  void FinishCall(Call* call, StageAnswer answer);
  // Notes at the endpoint that a call has ended.
  void CloseCall(Call& call, const StageAnswer& answer);
  void KeepResult(Task& task,
                  size_t item,
                  const EndpointPtr& maker,
                  ResultHandle handle);
  // The makers have dropped a task's results.
  void ExpireResults(Task& task);
  // Frees the room of an item's result, if there is one, and tells its maker.
  void DropResult(Task& task, size_t item);
  // Keeps the results of a part's items, and repeats or ends the task as
  // needed.
  void TakeResults(Call& call,
                   const BatchPart& part,
                   StageItemResult* results,
                   std::vector<ResultHandle>& unused);
  // Puts items back into their queue, or ends the task when the budget of
  // repeats is spent. Items that were never sent do not count.
  void RepeatItems(const PoolId& id,
                   StageTaskId task_id,
                   const std::vector<int>& items,
                   bool counts);
  void EndTask(StageTaskId id,
               StageItemOutcome outcome,
               Duration retry_after = Duration::zero());
  // Whether the items taken from a queue fill enough of a call.
  bool IsWorthACall(const BatchQueue& before,
                    const BatchQueue& after,
                    const StagePoolDefinition& pool,
                    Endpoint& endpoint) const;
  // An endpoint had less room than its known results leave.
  void NoteForeignResults(const Call& call);
  // Room for further results at an endpoint.
  int64_t FreeRoom(const Endpoint& endpoint,
                   const StagePoolDefinition& pool) const;
  void Abandon(StageTaskId id);
  const StagePoolDefinition* FindStagePool(const PoolId& id) const;

  Dependencies dependencies_;
  Random random_;
  ActiveConfigurationPtr configuration_;
  std::map<PoolId, Queue> queues_;
  std::map<StageTaskId, Task> tasks_;
  std::map<Call*, std::unique_ptr<Call>> calls_;
  std::unique_ptr<Timer> review_timer_;
  StageEntrance entrance_;
  // Prompts of requests that are not yet placed at an engine.
  std::unordered_map<RequestId, PromptDemand> prompts_;
  EnginePlan engines_;
  StageTaskId next_task_ = 1;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STAGES_STAGE_COORDINATOR_H_
