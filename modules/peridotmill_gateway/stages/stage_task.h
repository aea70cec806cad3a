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

// All items of one stage of one request. A task without items only asks for an
// engine.
struct StageTask {
  RequestId request;
  PoolId pool;
  // Names the pools that are coordinated together; see
  // ActiveConfiguration::StagePoolGroup.
  PoolId group;
  // Where its inputs lie or its results are likely to be used, and how many
  // bytes are moved if it is worked on elsewhere.
  FailureDomainId preferred_domain;
  int64_t moved_bytes = 0;
  size_t stage = 0;
  int item_count = 0;
  std::string key;
  std::vector<ResultHandle> inputs;
  // Latest end of the stage with which the request is still on time.
  TimePoint due;
  // Latest end of the stage with which the request is still of use.
  TimePoint deadline;
  int priority = 0;
  // Room that one result takes at its maker.
  int64_t result_bytes = 0;
  // All stages of the request, if this is the first one to run; the request may
  // then have to wait, or be refused. Empty once the request has started.
  std::vector<PlannedWork> plan;
  // The caller has been refused before.
  bool is_returning = false;
  // What an engine reads when all stages are done, if a plan is given.
  std::optional<PromptDemand> prompt;
  // An engine that could not be connected to, if another one is asked for.
  EndpointId failed_engine;
};

struct StageTaskResult {
  StageItemOutcome outcome = StageItemOutcome::kFailed;
  // One for each item, if the task is done.
  std::vector<ResultHandle> handles;
  // Where the results lie, as far as they lie together.
  FailureDomainId maker_domain;
  // When the caller should come back, if the task was refused.
  Duration retry_after = Duration::zero();
  // The engine that the request had better go to, if this was its last stage.
  EndpointId engine;
};

class StageTaskListener {
 public:
  virtual ~StageTaskListener() = default;
  // The task's only callback, never within Submit. It may destroy the task.
  virtual void OnStageTaskEnd(size_t stage, StageTaskResult result) = 0;
};

// A submitted task and its results; destroying it gives both up, and the makers
// are told that they need not keep the results.
class OpenStageTask {
 public:
  virtual ~OpenStageTask() = default;
};

// Works on stage tasks.
class StageWorker {
 public:
  virtual ~StageWorker() = default;
  virtual std::unique_ptr<OpenStageTask> Submit(
      StageTask task,
      StageTaskListener* listener) = 0;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_GATEWAY_STAGES_STAGE_TASK_H_
