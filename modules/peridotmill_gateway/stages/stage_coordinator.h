#ifndef PERIDOTMILL_GATEWAY_STAGES_STAGE_COORDINATOR_H_
#define PERIDOTMILL_GATEWAY_STAGES_STAGE_COORDINATOR_H_

#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "peridotmill_core/maths/random.h"
#include "peridotmill_core/timers/timer_queue.h"
#include "peridotmill_gateway/configuration/active_configuration.h"
#include "peridotmill_gateway/logging/event_sink.h"
#include "peridotmill_gateway/registry/endpoint_registry.h"
#include "peridotmill_gateway/repeats/repeat_budget.h"
#include "peridotmill_gateway/stages/batch_queue.h"
#include "peridotmill_gateway/stages/stage_task.h"

namespace peridotmill {

// Gathers stage tasks into batched calls to the endpoints of stage pools. Each
// pool has one queue; an endpoint gets its next call when the one before has
// ended, so that tasks gather while it works.
class StageCoordinator final : public StageWorker {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerQueue& timers;
    StageCaller& caller;
    EndpointRegistry& endpoints;
    RepeatBudget& repeats;
    EventSink& events;
  };

  StageCoordinator(const Dependencies& dependencies, uint64_t seed);
  ~StageCoordinator() override;

  void SetConfiguration(ActiveConfigurationPtr configuration);

  std::unique_ptr<OpenStageTask> Submit(StageTask task,
                                        StageTaskListener* listener) override;
  Duration PredictDelay(const PoolId& pool, int item_count) const override;

  size_t task_count() const { return tasks_.size(); }

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
  };

  // One queue and what works on it.
  struct Queue {
    BatchQueue batch;
    std::unique_ptr<Timer> dispatch_timer;
  };

  void ScheduleDispatch(const PoolId& id, Duration delay);
  void Dispatch(const PoolId& id);
  // Sends the next call to an endpoint; false when no task fits it.
  bool StartCall(const PoolId& id,
                 Queue& queue,
                 const StagePoolDefinition& pool,
                 const EndpointPtr& endpoint);
  std::vector<EndpointPtr> IdleEndpoints(const PoolId& id,
                                         const StagePoolDefinition& pool) const;
  std::set<FailureDomainId> ServedDomains(
      const PoolId& id,
      const StagePoolDefinition& pool) const;
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
  void EndTask(StageTaskId id, StageItemOutcome outcome);
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
  StageTaskId next_task_ = 1;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STAGES_STAGE_COORDINATOR_H_
