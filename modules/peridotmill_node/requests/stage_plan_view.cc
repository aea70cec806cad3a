#include "peridotmill_node/requests/stage_plan_view.h"

namespace peridotmill {
namespace {

PipelineProgress ProgressOf(const NodeState& state,
                            const RequestState& request) {
  PipelineProgress progress;
  progress.size_class = SizeOf(request);
  for (const auto& [name, stage] : request.stages) {
    if (stage.status == StageStatus::kCompleted) {
      progress.completed.insert(name);
    } else if (!stage.open_attempts.empty()) {
      const auto attempt = state.attempts.find(stage.open_attempts.front());
      if (attempt != state.attempts.end()) {
        progress.running[name] = {
            attempt->second.started_at,
            TokenCount(static_cast<int64_t>(stage.tokens))};
      }
    }
  }
  return progress;
}

}  // namespace

SizeClass SizeOf(const RequestState& request) {
  return SizeClassOf(request.parsed.messages.size());
}

StagePlan PlanOf(StepContext& context, const RequestState& request) {
  return PlanStages(PipelineOf(request), *request.objects,
                    ProgressOf(context.state, request), context.state.estimator,
                    request.objects->deployment.attainment_weight,
                    request.deadline, context.now);
}

Duration ExpectedTime(StepContext& context,
                      const RequestState& request,
                      const Stage& stage) {
  constexpr double kMedian = 0.5;
  return ServiceTimeQuantile(context.state.estimator, stage, SizeOf(request),
                             kMedian);
}

bool IsAdmissionOn(const RequestState& request) {
  return IsBoundedPolicy(request.objects->deployment.policy);
}

}  // namespace peridotmill
