#ifndef PERIDOTMILL_GATEWAY_STAGES_STAGE_TASK_H_
#define PERIDOTMILL_GATEWAY_STAGES_STAGE_TASK_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peridotmill_gateway/admission/planned_work.h"
#include "peridotmill_gateway/calls/stage_call.h"
#include "peridotmill_gateway/placement/prompt_demand.h"

namespace peridotmill {

// All items of one stage of one request. A task without items only asks for the
// choice of an engine.
struct StageTask {
  RequestId request;
  PoolId pool;
  // Identifies the group of pools that share a coordinator; see
  // ActiveConfiguration::StagePoolGroup.
  PoolId group;
  // Failure domain that stores the inputs or is likely to use the results, and
  // the number of bytes to transfer if the task runs in another domain.
  FailureDomainId preferred_domain;
  int64_t moved_bytes = 0;
  size_t stage = 0;
  int item_count = 0;
  // See StageItem.
  std::string key;
  std::vector<ResultHandle> inputs;
  // Latest end of the stage with which the request meets its latency target.
  TimePoint due;
  // Latest end of the stage with which the response can still reach the caller
  // before the caller's timeout.
  TimePoint deadline;
  // 0 is the most urgent.
  int priority = 0;
  // Memory that one result takes at its producer.
  int64_t result_bytes = 0;
  // Work of all stages of the request, if this is its first task; the request
  // may then have to wait or be refused. Empty once the request has started.
  std::vector<PlannedWork> plan;
  // Prompt that an engine has to prefill when all stages are done, if a plan is
  // given.
  std::optional<PromptDemand> prompt;
  // Engine to which the request could not connect, if the task asks for another
  // one.
  EndpointId failed_engine;
};

// Outcome of a stage task.
struct StageTaskResult {
  StageItemOutcome outcome = StageItemOutcome::kFailed;
  // One handle for each item, if the outcome is kDone.
  std::vector<ResultHandle> handles;
  // Failure domain of the endpoint that produced the last result. Other results
  // may be stored in other domains.
  FailureDomainId maker_domain;
  // Time after which the caller should retry, if the task was refused.
  Duration retry_after = Duration::zero();
  // Recommended engine for the request, if this was its last stage; may be
  // empty.
  EndpointId engine;
};

// Receives the outcome of a stage task.
class StageTaskListener {
 public:
  virtual ~StageTaskListener() = default;
  // Called once, never within Submit. The listener may destroy the task's
  // handle in the call.
  virtual void OnStageTaskEnd(size_t stage, StageTaskResult result) = 0;
};

// Owns a submitted task and its results. Destroying the handle cancels the task
// and tells the producers to release the results.
class StageTaskHandle {
 public:
  virtual ~StageTaskHandle() = default;
};

// Runs stage tasks, at this node or at the node that coordinates their group.
class StageTaskExecutor {
 public:
  virtual ~StageTaskExecutor() = default;
  // Submits a task; `listener` receives its outcome.
  virtual std::unique_ptr<StageTaskHandle> Submit(
      StageTask task,
      StageTaskListener* listener) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STAGES_STAGE_TASK_H_
