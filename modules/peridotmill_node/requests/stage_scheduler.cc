#include "peridotmill_node/requests/stage_scheduler.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "peridotmill_node/requests/attempt_runner.h"
#include "peridotmill_node/requests/request_ending.h"

namespace peridotmill {
namespace {

bool IsAdmissionOn(const NodeState& state) {
  return state.config.objects->deployment.policy == RoutingPolicy::kDefault;
}

PipelineProgress ProgressOf(const NodeState& state,
                            const RequestState& request) {
  PipelineProgress progress;
  progress.size_class = SizeClassOf(request.parsed.messages.size());
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

ChoiceRequest ChoiceFor(StepContext& context,
                        const RequestState& request,
                        const Stage& stage) {
  NodeState& state = context.state;
  const StageProgress& progress = request.stages.at(stage.name);
  const Deployment& deployment = request.objects->deployment;
  ChoiceRequest choice;
  choice.pool = stage.pool;
  if (stage.role == StageRole::kGenerate) {
    const ModelVersion& version =
        request.objects->model_versions.at(stage.model_version);
    choice.model = version.model + "@" + version.version;
    choice.prefix_hash = request.parsed.prefix_hash;
  }
  choice.excluded = progress.avoided;
  choice.policy = deployment.policy;
  choice.attainment_weight = deployment.attainment_weight;
  choice.expected = ServiceTimeQuantile(
      state.estimator, stage, SizeClassOf(request.parsed.messages.size()), 0.5);
  choice.is_idempotent = stage.idempotent;
  choice.waited = context.now - progress.queued_at;
  return choice;
}

std::string Explain(const Choice& choice) {
  std::string text;
  for (const CandidateScore& candidate : choice.candidates) {
    text += " " + candidate.endpoint.value() + "=" +
            std::to_string(candidate.total());
  }
  return text;
}

// Starts the stage at the front of the queue. Returns false when it has to go
// on waiting.
bool ServeOne(StepContext& context, const WaitingStage& waiting) {
  NodeState& state = context.state;
  const auto open = state.requests.find(waiting.request);
  if (open == state.requests.end() ||
      open->second.stages.at(waiting.stage).status != StageStatus::kQueued) {
    return true;
  }
  RequestState& request = open->second;
  const Stage& stage = StageOf(request, waiting.stage);
  ChoiceRequest wanted = ChoiceFor(context, request, stage);
  Choice choice = ChooseEndpoint(state.endpoints, state.prefixes, wanted,
                                 context.now, state.random);
  if (choice.outcome == ChoiceOutcome::kNoUsableEndpoint &&
      !wanted.excluded.empty()) {
    // A pool of few endpoints: an endpoint that failed is better than none.
    wanted.excluded.clear();
    choice = ChooseEndpoint(state.endpoints, state.prefixes, wanted,
                            context.now, state.random);
  }
  switch (choice.outcome) {
    case ChoiceOutcome::kSaturated:
      return false;
    case ChoiceOutcome::kNoUsableEndpoint:
      RefuseRequest(context, request, Reason::kNoEndpoint);
      return true;
    case ChoiceOutcome::kChosen:
      break;
  }
  RecordDecision(state.decisions, request.id, context.now,
                 "stage " + stage.name.value() + " to " +
                     choice.endpoint->value() + " of" + Explain(choice));
  StartStageAttempt(context, request, stage, *choice.endpoint,
                    /*is_hedge=*/false);
  return true;
}

void ServeQueue(StepContext& context, const PoolId& pool) {
  const auto queue = context.state.queues.find(pool);
  if (queue == context.state.queues.end()) {
    return;
  }
  while (!queue->second.empty()) {
    const WaitingStage waiting = queue->second.front();
    queue->second.pop_front();
    if (!ServeOne(context, waiting)) {
      queue->second.push_front(waiting);
      return;
    }
  }
}

}  // namespace

StagePlan PlanOf(StepContext& context, const RequestState& request) {
  return PlanStages(PipelineOf(request), *request.objects,
                    ProgressOf(context.state, request), context.state.estimator,
                    request.objects->deployment.attainment_weight,
                    request.deadline, context.now);
}

void StartReadyStages(StepContext& context, RequestState& request) {
  if (IsAdmissionOn(context.state) && !PlanOf(context, request).is_feasible) {
    RefuseRequest(context, request, Reason::kDeadlineUnreachable);
    return;
  }
  for (const PipelineStage& member : PipelineOf(request).stages) {
    if (IsStageReady(request, member)) {
      QueueStage(context, request, member.stage);
    }
  }
}

void QueueStage(StepContext& context,
                RequestState& request,
                const StageId& stage) {
  StageProgress& progress = request.stages.at(stage);
  progress.status = StageStatus::kQueued;
  progress.queued_at = context.now;
  const PoolId pool = StageOf(request, stage).pool;
  context.state.queues[pool].push_back({request.id, stage});
  WakePool(context, pool);
}

void WakePool(StepContext& context, const PoolId& pool) {
  context.state.woken_pools.insert(pool);
}

void WakeAllPools(StepContext& context) {
  for (const auto& [pool, queue] : context.state.queues) {
    WakePool(context, pool);
  }
}

void ServeWokenPools(StepContext& context) {
  std::set<PoolId>& woken = context.state.woken_pools;
  while (!woken.empty()) {
    const PoolId pool = *woken.begin();
    woken.erase(woken.begin());
    ServeQueue(context, pool);
  }
}

}  // namespace peridotmill
