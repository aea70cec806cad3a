#include "peridotmill_node/requests/request_review.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "peridotmill_node/requests/attempt_runner.h"
#include "peridotmill_node/requests/request_ending.h"
#include "peridotmill_node/requests/stage_plan_view.h"

namespace peridotmill {
namespace {

// Shortest time between two reviews of a request.
constexpr Duration kMinReviewInterval = std::chrono::milliseconds(50);

// Cancelling a call that is not idempotent saves little and makes its outcome
// unknown.
bool HasOpenAction(const RequestState& request) {
  return std::any_of(request.stages.begin(), request.stages.end(),
                     [&](const auto& entry) {
                       return !entry.second.open_attempts.empty() &&
                              !StageOf(request, entry.first).idempotent;
                     });
}

void HedgeStage(StepContext& context,
                RequestState& request,
                const Stage& stage) {
  NodeState& state = context.state;
  StageProgress& progress = request.stages.at(stage.name);
  const AttemptState& slow = state.attempts.at(progress.open_attempts.front());
  const auto at = HedgeTime(context, request, stage, slow.started_at);
  if (!at || *at > context.now) {
    return;
  }
  EndpointChoiceRequest wanted;
  wanted.pool = stage.pool;
  wanted.excluded = progress.avoided;
  wanted.excluded.push_back(slow.ticket.endpoint);
  wanted.policy = request.objects->deployment.policy;
  wanted.attainment_weight = request.objects->deployment.attainment_weight;
  wanted.expected = ExpectedTime(context, request, stage);
  const EndpointChoice choice = ChooseEndpoint(
      state.endpoints, state.prefixes, wanted, context.now, state.random);
  if (choice.outcome != EndpointChoiceOutcome::kChosen ||
      !DecideHedge(stage, progress.attempts,
                   FindOrAddRetryBudget(state.retry_budgets, stage.name))) {
    return;
  }
  state.reasons.Add(Reason::kHedge);
  ++state.statistics.repeated_attempts;
  RecordDecision(
      state.decisions, request.id, context.now,
      "stage " + stage.name.value() + " hedged at " + choice.endpoint->value());
  StartStageAttempt(context, request, stage, *choice.endpoint,
                    /*is_hedge=*/true);
}

void HedgeSlowStages(StepContext& context, RequestState& request) {
  for (auto& [name, progress] : request.stages) {
    if (progress.status == StageStatus::kRunning &&
        progress.open_attempts.size() == 1) {
      HedgeStage(context, request, StageOf(request, name));
    }
  }
}

}  // namespace

void PlanReview(StepContext& context,
                const RequestState& request,
                TimePoint at) {
  context.state.reviews.emplace(std::max(at, context.now + kMinReviewInterval),
                                request.id);
}

std::optional<TimePoint> HedgeTime(StepContext& context,
                                   const RequestState& request,
                                   const Stage& stage,
                                   TimePoint started_at) {
  const Deployment& deployment = request.objects->deployment;
  const auto delay =
      HedgeDelay(stage, context.state.estimator, SizeOf(request),
                 deployment.attainment_weight, deployment.policy);
  if (!delay) {
    return std::nullopt;
  }
  return started_at + *delay;
}

void ReviewRequests(StepContext& context) {
  NodeState& state = context.state;
  while (!state.reviews.empty() &&
         state.reviews.begin()->first <= context.now) {
    const RequestId id = state.reviews.begin()->second;
    state.reviews.erase(state.reviews.begin());
    const auto open = state.requests.find(id);
    if (open == state.requests.end() || open->second.is_expired) {
      continue;
    }
    RequestState& request = open->second;
    const Duration needed = PlanOf(context, request).predicted;
    const Duration slack = request.deadline - context.now - needed;
    if (slack < Duration::zero() && IsAdmissionOn(request) &&
        !HasOpenAction(request)) {
      RefuseRequest(context, request, Reason::kDeadlineUnreachable);
      continue;
    }
    HedgeSlowStages(context, request);
    PlanReview(context, request, context.now + slack / 2);
  }
}

}  // namespace peridotmill
