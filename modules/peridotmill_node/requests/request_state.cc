#include "peridotmill_node/requests/request_state.h"

#include <algorithm>

namespace peridotmill {

Execution ExecutionOf(const RequestState& request) {
  const bool has_open_attempt = std::any_of(
      request.stages.begin(), request.stages.end(),
      [](const auto& entry) { return !entry.second.open_attempts.empty(); });
  if (has_open_attempt || request.has_unknown_attempt) {
    return Execution::kUnknown;
  }
  return request.has_run_attempt ? Execution::kRan : Execution::kNotRun;
}

const Pipeline& PipelineOf(const RequestState& request) {
  return request.objects->pipelines.at(request.pipeline);
}

const Stage& StageOf(const RequestState& request, const StageId& stage) {
  return request.objects->stages.at(stage);
}

std::vector<StageId> TerminalStages(const Pipeline& pipeline) {
  std::vector<StageId> terminal;
  for (const PipelineStage& candidate : pipeline.stages) {
    const bool has_successor =
        std::any_of(pipeline.stages.begin(), pipeline.stages.end(),
                    [&](const PipelineStage& other) {
                      return std::find(other.after.begin(), other.after.end(),
                                       candidate.stage) != other.after.end();
                    });
    if (!has_successor) {
      terminal.push_back(candidate.stage);
    }
  }
  return terminal;
}

StageId StreamedStage(const RequestState& request) {
  const std::vector<StageId> terminal = TerminalStages(PipelineOf(request));
  if (terminal.size() == 1 &&
      StageOf(request, terminal.front()).role == StageRole::kGenerate) {
    return terminal.front();
  }
  return StageId();
}

bool IsStageReady(const RequestState& request, const PipelineStage& stage) {
  return request.stages.at(stage.stage).status == StageStatus::kBlocked &&
         std::all_of(stage.after.begin(), stage.after.end(),
                     [&](const StageId& before) {
                       return request.stages.at(before).status ==
                              StageStatus::kCompleted;
                     });
}

bool IsComplete(const RequestState& request) {
  return std::all_of(request.stages.begin(), request.stages.end(),
                     [](const auto& entry) {
                       return entry.second.status == StageStatus::kCompleted;
                     });
}

bool HasAction(const Pipeline& pipeline, const ObjectSet& objects) {
  return std::any_of(pipeline.stages.begin(), pipeline.stages.end(),
                     [&](const PipelineStage& member) {
                       return !objects.stages.at(member.stage).idempotent;
                     });
}

}  // namespace peridotmill
