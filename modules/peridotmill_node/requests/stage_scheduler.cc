#include "peridotmill_node/requests/stage_scheduler.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "peridotmill_node/requests/attempt_runner.h"
#include "peridotmill_node/requests/request_ending.h"
#include "peridotmill_node/requests/request_review.h"
#include "peridotmill_node/requests/stage_plan_view.h"

namespace peridotmill {
namespace {

PoolQueue& QueueOf(NodeState& state, const Pool& pool) {
  const auto [entry, is_new] = state.queues.try_emplace(pool.name);
  if (is_new) {
    entry->second.queue = MakeFairQueue(pool.max_queue);
  }
  return entry->second;
}

double ShareOf(const RequestState& request) {
  const auto team = request.objects->teams.find(request.team);
  return team == request.objects->teams.end() ? 1.0 : team->second.share;
}

QueuedWork DescribeWork(StepContext& context,
                        const RequestState& request,
                        const Stage& stage,
                        Duration needed) {
  QueuedWork work;
  work.request = request.id;
  work.stage = stage.name;
  work.team = request.team;
  work.level = request.priority_level;
  work.share = ShareOf(request);
  work.is_over_share =
      IsOverShare(context.state.team_shares, request.team, work.share);
  work.cost = ExpectedTime(context, request, stage);
  work.latest_start =
      IsAdmissionOn(request) ? request.deadline - needed : request.deadline;
  return work;
}

// The reason not to queue the work, if there is one.
std::optional<Reason> CheckAdmission(StepContext& context,
                                     const RequestState& request,
                                     const Stage& stage,
                                     FairQueue& queue,
                                     const QueuedWork& work,
                                     Duration needed) {
  if (!IsAdmissionOn(request)) {
    return std::nullopt;
  }
  const PoolSlots slots =
      CountSlots(context.state.endpoints, stage.pool, context.now);
  AdmissionRequest admission;
  admission.work = work;
  admission.slots = slots.total;
  admission.slots_in_use = slots.in_use;
  admission.remaining = needed;
  admission.time_left = request.deadline - context.now;
  return DecideAdmission(queue, admission, context.now).refusal;
}

EndpointChoiceRequest ChoiceFor(StepContext& context,
                                const RequestState& request,
                                const Stage& stage) {
  const StageProgress& progress = request.stages.at(stage.name);
  const Deployment& deployment = request.objects->deployment;
  EndpointChoiceRequest choice;
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
  choice.expected = ExpectedTime(context, request, stage);
  choice.is_idempotent = stage.idempotent;
  choice.waited = context.now - progress.queued_at;
  return choice;
}

EndpointChoice Choose(StepContext& context, EndpointChoiceRequest wanted) {
  NodeState& state = context.state;
  EndpointChoice choice = ChooseEndpoint(state.endpoints, state.prefixes,
                                         wanted, context.now, state.random);
  if (choice.outcome == EndpointChoiceOutcome::kNoUsableEndpoint &&
      !wanted.excluded.empty()) {
    // A pool of few endpoints: one that failed is better than none.
    wanted.excluded.clear();
    choice = ChooseEndpoint(state.endpoints, state.prefixes, wanted,
                            context.now, state.random);
  }
  return choice;
}

std::string Explain(const Stage& stage, const EndpointChoice& choice) {
  std::string text =
      "stage " + stage.name.value() + " to " + choice.endpoint->value() + " of";
  for (const CandidateScore& candidate : choice.candidates) {
    text += " " + candidate.endpoint.value() + "=" +
            std::to_string(candidate.total());
  }
  return text;
}

// Takes the next stage out of the queue and starts or refuses it. Returns
// false when it has to go on waiting.
bool ServeNext(StepContext& context, PoolQueue& pool, const QueuedWork& work) {
  RequestState& request = context.state.requests.at(work.request);
  const Stage& stage = StageOf(request, work.stage);
  const EndpointChoice choice =
      Choose(context, ChoiceFor(context, request, stage));
  if (choice.outcome == EndpointChoiceOutcome::kSaturated) {
    if (choice.spill_over_after) {
      pool.retry_at =
          request.stages.at(work.stage).queued_at + *choice.spill_over_after;
    }
    return false;
  }
  PopNext(pool.queue, context.now);
  request.stages.at(work.stage).ticket.reset();
  if (choice.outcome == EndpointChoiceOutcome::kNoUsableEndpoint) {
    RefuseRequest(context, request, Reason::kNoEndpoint);
    return true;
  }
  RecordDecision(context.state.decisions, request.id, context.now,
                 Explain(stage, choice));
  StartStageAttempt(context, request, stage, *choice.endpoint,
                    /*is_hedge=*/false);
  return true;
}

void RefuseQueued(StepContext& context, const QueuedItem& item, Reason reason) {
  RequestState& request = context.state.requests.at(item.work.request);
  request.stages.at(item.work.stage).ticket.reset();
  RefuseRequest(context, request, reason);
}

void ServeQueue(StepContext& context, PoolQueue& pool) {
  pool.retry_at.reset();
  for (const QueuedItem& item : TakeExpired(pool.queue, context.now)) {
    // A request may have had several stages in the queue.
    if (context.state.requests.contains(item.work.request)) {
      RefuseQueued(context, item, Reason::kDeadlineUnreachable);
    }
  }
  while (const QueuedItem* next = PeekNext(pool.queue, context.now)) {
    const QueuedWork work = next->work;
    if (!ServeNext(context, pool, work)) {
      return;
    }
  }
}

}  // namespace

void StartReadyStages(StepContext& context, RequestState& request) {
  if (IsAdmissionOn(request) && !PlanOf(context, request).is_feasible) {
    RefuseRequest(context, request, Reason::kDeadlineUnreachable);
    return;
  }
  const RequestId id = request.id;
  std::vector<StageId> ready;
  for (const PipelineStage& member : PipelineOf(request).stages) {
    if (IsStageReady(request, member)) {
      ready.push_back(member.stage);
    }
  }
  for (const StageId& stage : ready) {
    // Queueing the stage before may have ended the request.
    const auto open = context.state.requests.find(id);
    if (open == context.state.requests.end()) {
      return;
    }
    QueueStage(context, open->second, stage);
  }
}

void QueueStage(StepContext& context,
                RequestState& request,
                const StageId& stage_id) {
  NodeState& state = context.state;
  const Stage& stage = StageOf(request, stage_id);
  StageProgress& progress = request.stages.at(stage_id);
  progress.status = StageStatus::kQueued;
  progress.queued_at = context.now;
  PoolQueue& pool = QueueOf(state, request.objects->pools.at(stage.pool));
  const Duration needed = PlanOf(context, request).predicted;
  const QueuedWork work = DescribeWork(context, request, stage, needed);
  if (const auto refusal =
          CheckAdmission(context, request, stage, pool.queue, work, needed)) {
    RefuseRequest(context, request, *refusal);
    return;
  }
  EnqueueResult result = Enqueue(pool.queue, work, context.now);
  if (!result.ticket) {
    RefuseRequest(context, request, Reason::kQueueFull);
    return;
  }
  progress.ticket = result.ticket;
  WakePool(context, stage.pool);
  if (result.displaced) {
    RefuseQueued(context, *result.displaced, Reason::kQueueFull);
  }
}

void LeaveQueue(StepContext& context,
                RequestState& request,
                const StageId& stage) {
  StageProgress& progress = request.stages.at(stage);
  if (progress.ticket) {
    RemoveQueued(context.state.queues.at(StageOf(request, stage).pool).queue,
                 *progress.ticket);
    progress.ticket.reset();
  }
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
    const auto queue = context.state.queues.find(pool);
    if (queue != context.state.queues.end()) {
      ServeQueue(context, queue->second);
    }
  }
}

void WakeDuePools(StepContext& context) {
  for (const auto& [pool, queue] : context.state.queues) {
    const auto expiry = NextExpiry(queue.queue);
    if ((expiry && *expiry <= context.now) ||
        (queue.retry_at && *queue.retry_at <= context.now)) {
      WakePool(context, pool);
    }
  }
}

TimePoint NextQueueWakeup(const NodeState& state) {
  TimePoint next = TimePoint::max();
  for (const auto& [pool, queue] : state.queues) {
    if (const auto expiry = NextExpiry(queue.queue)) {
      next = std::min(next, *expiry);
    }
    if (queue.retry_at) {
      next = std::min(next, *queue.retry_at);
    }
  }
  return next;
}

}  // namespace peridotmill
