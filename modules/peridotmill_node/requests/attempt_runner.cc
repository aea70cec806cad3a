#include "peridotmill_node/requests/attempt_runner.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "peridotmill_node/fleet/engine_orders.h"
#include "peridotmill_node/requests/bodies.h"
#include "peridotmill_node/requests/endpoint_feedback.h"
#include "peridotmill_node/requests/request_ending.h"
#include "peridotmill_node/requests/request_review.h"
#include "peridotmill_node/requests/stage_plan_view.h"
#include "peridotmill_node/requests/stage_scheduler.h"

namespace peridotmill {
namespace {

// Fragments kept while an earlier one is missing.
constexpr size_t kMaxEarlyFragments = 64;
constexpr char kEnginePath[] = "/v1/chat/completions";

AttemptId NextAttemptId(NodeState& state) {
  return AttemptId(state.settings.id.value() + "-" +
                   std::to_string(state.settings.incarnation.value()) + "-" +
                   std::to_string(++state.attempt_count));
}

AttemptUse UseOf(const RequestState& request,
                 const AttemptState& attempt,
                 TimePoint now) {
  AttemptUse use;
  use.prompt_tokens = request.parsed.prompt_tokens;
  use.output_tokens = TokenCount(static_cast<int64_t>(attempt.tokens));
  use.elapsed = now - attempt.started_at;
  return use;
}

void ChargeAttempt(StepContext& context,
                   RequestState& request,
                   const AttemptState& attempt,
                   const AttemptUse& use,
                   bool is_wasted) {
  const MicroUnits spend = CostOf(StageOf(request, attempt.stage).price, use);
  AddSpend(context.state.ledger,
           {attempt.stage, request.team, request.pipeline}, spend, is_wasted);
  const auto team = request.objects->teams.find(request.team);
  AddTeamUse(context.state.team_shares, request.team,
             team == request.objects->teams.end() ? 1.0 : team->second.share,
             use.elapsed, context.now);
  StageProgress& progress = request.stages.at(attempt.stage);
  progress.spend += spend;
  if (!is_wasted) {
    progress.useful_spend += spend;
  }
}

// Appends one token in its turn and sends it on if the caller gets a stream.
void Deliver(StepContext& context,
             RequestState& request,
             AttemptState& attempt,
             const std::string& text) {
  NodeState& state = context.state;
  StageProgress& progress = request.stages.at(attempt.stage);
  progress.text += text;
  ++progress.tokens;
  ++attempt.tokens;
  ++state.statistics.tokens_delivered;
  if (!request.parsed.is_stream || StreamedStage(request) != attempt.stage) {
    return;
  }
  if (!request.has_stream_begun) {
    state.statistics.time_to_first_token.Add(context.now - request.arrived_at);
  }
  const int64_t created =
      std::chrono::duration_cast<std::chrono::seconds>(
          WallTimeAt(state.settings, context.now).time_since_epoch())
          .count();
  context.Emit(CallerFragment{request.id, StreamChunk(request, text, created)});
  request.has_stream_begun = true;
}

void DeliverEarlyFragments(StepContext& context,
                           RequestState& request,
                           AttemptState& attempt) {
  StageProgress& progress = request.stages.at(attempt.stage);
  while (!progress.early_fragments.empty() &&
         progress.early_fragments.begin()->first == progress.tokens) {
    const std::string text = progress.early_fragments.begin()->second;
    progress.early_fragments.erase(progress.early_fragments.begin());
    Deliver(context, request, attempt, text);
  }
}

void RecordServiceTimes(NodeState& state,
                        const RequestState& request,
                        const AttemptState& attempt,
                        TimePoint now) {
  const Stage& stage = StageOf(request, attempt.stage);
  if (!attempt.is_stream) {
    RecordServiceTime(state.estimator, stage, SizeOf(request),
                      now - attempt.started_at);
  } else if (attempt.tokens > 0) {
    RecordStreamEnd(
        state.estimator, stage, SizeOf(request), now - attempt.first_token_at,
        TokenCount(
            static_cast<int64_t>(request.stages.at(attempt.stage).tokens)));
  }
}

void CompleteStage(StepContext& context,
                   RequestState& request,
                   const AttemptState& attempt,
                   const AttemptFinished& finished) {
  NodeState& state = context.state;
  StageProgress& progress = request.stages.at(attempt.stage);
  AttemptUse use = UseOf(request, attempt, context.now);
  if (finished.prompt_tokens.value() > 0) {
    use.prompt_tokens = finished.prompt_tokens;
  }
  ChargeAttempt(context, request, attempt, use, /*is_wasted=*/false);
  RecordServiceTimes(state, request, attempt, context.now);
  RecordStageOutcome(FindOrAddRetryBudget(state.retry_budgets, attempt.stage),
                     true);
  progress.result = attempt.is_stream
                        ? StreamResult(progress.text, progress.tokens)
                        : ServiceResult(finished.body);
  progress.status = StageStatus::kCompleted;
  request.has_run_attempt = true;
  // A hedge that lost.
  CancelAttempts(context, request, attempt.stage);
  if (IsComplete(request)) {
    AnswerRequest(context, request);
  } else if (request.is_expired) {
    RefuseRequest(context, request, Reason::kDeadlineExpired);
  } else {
    StartReadyStages(context, request);
  }
}

// Whether the answer is whole and belongs to the attempt.
AttemptOutcome JudgeAnswer(const RequestState& request,
                           const AttemptState& attempt,
                           const AttemptFinished& finished) {
  if (finished.outcome != AttemptOutcome::kCompleted) {
    return finished.outcome;
  }
  if (finished.echoed_attempt != finished.attempt.value()) {
    return AttemptOutcome::kOutcomeUnknown;
  }
  const StageProgress& progress = request.stages.at(attempt.stage);
  if (!attempt.is_stream) {
    return ServiceResult(finished.body).empty()
               ? AttemptOutcome::kOutcomeUnknown
               : finished.outcome;
  }
  const auto told = static_cast<uint64_t>(finished.output_tokens.value());
  const bool is_whole =
      progress.early_fragments.empty() &&
      (told == 0 || told == attempt.tokens || told == progress.tokens);
  return is_whole ? finished.outcome : AttemptOutcome::kOutcomeUnknown;
}

void NoteOutcome(RequestState& request, AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kRefused:
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kCompleted:
      request.has_run_attempt = true;
      break;
    case AttemptOutcome::kOutcomeUnknown:
    case AttemptOutcome::kLate:
      request.has_unknown_attempt = true;
      break;
  }
}

FailedAttempt DescribeFailure(StepContext& context,
                              const RequestState& request,
                              const AttemptState& attempt,
                              AttemptOutcome outcome) {
  const StageProgress& progress = request.stages.at(attempt.stage);
  FailedAttempt failed;
  failed.outcome = outcome;
  failed.attempts = progress.attempts;
  failed.is_stream = attempt.is_stream;
  failed.tokens_delivered = TokenCount(static_cast<int64_t>(progress.tokens));
  failed.time_left = request.deadline - context.now;
  failed.time_needed = PlanOf(context, request).predicted;
  return failed;
}

void RepeatOrGiveUp(StepContext& context,
                    RequestState& request,
                    const AttemptState& attempt,
                    AttemptOutcome outcome) {
  NodeState& state = context.state;
  const Stage& stage = StageOf(request, attempt.stage);
  StageProgress& progress = request.stages.at(attempt.stage);
  if (!progress.open_attempts.empty()) {
    // The other one of a hedged pair may still answer.
    return;
  }
  if (request.is_expired) {
    RefuseRequest(context, request, Reason::kDeadlineExpired);
    return;
  }
  RetryBudget& budget = FindOrAddRetryBudget(state.retry_budgets, stage.name);
  const RetryDecision decision =
      DecideRetry(stage, DescribeFailure(context, request, attempt, outcome),
                  request.objects->deployment.policy, budget);
  if (decision.is_budget_exhausted) {
    state.reasons.Add(Reason::kRetryBudgetExhausted);
  }
  if (decision.action == RetryAction::kGiveUp) {
    RefuseRequest(context, request, decision.reason);
    return;
  }
  state.reasons.Add(decision.reason);
  RecordDecision(state.decisions, request.id, context.now,
                 "stage " + stage.name.value() +
                     " repeated: " + std::string(ToString(decision.reason)));
  ++state.statistics.repeated_attempts;
  if (decision.action == RetryAction::kResume) {
    ++state.statistics.resumed_streams;
  }
  if (decision.exclude_endpoint) {
    progress.avoided.push_back(attempt.ticket.endpoint);
  }
  // Tokens ahead of a gap come again from the next engine.
  progress.early_fragments.clear();
  QueueStage(context, request, stage.name);
}

}  // namespace

void StartStageAttempt(StepContext& context,
                       RequestState& request,
                       const Stage& stage,
                       const EndpointId& endpoint,
                       bool is_hedge) {
  NodeState& state = context.state;
  StageProgress& progress = request.stages.at(stage.name);
  const AttemptId id = NextAttemptId(state);
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      request.deadline - context.now);

  AttemptState attempt;
  attempt.request = request.id;
  attempt.stage = stage.name;
  attempt.ticket = BeginAttempt(state.endpoints, endpoint, context.now);
  attempt.address = FindEndpoint(state.endpoints, endpoint)->address;
  attempt.is_stream = stage.role == StageRole::kGenerate;
  attempt.is_hedge = is_hedge;
  attempt.started_at = context.now;

  StartAttempt command;
  command.attempt = id;
  command.request = request.id;
  command.endpoint = endpoint;
  command.address = attempt.address;
  command.path = attempt.is_stream ? kEnginePath : stage.path;
  command.body = AttemptBody(request, stage, id, remaining);
  command.is_stream = attempt.is_stream;
  command.is_idempotent = stage.idempotent;
  command.timeout = request.deadline - context.now;
  if (!stage.idempotent) {
    command.action_key = request.key.value();
  }
  if (request.has_claim) {
    command.timeout += kOutcomeGrace;
  }

  if (attempt.is_stream && request.parsed.prefix_hash != 0) {
    RecordPrefix(state.prefixes, endpoint, request.parsed.prefix_hash,
                 context.now);
  }
  progress.status = StageStatus::kRunning;
  progress.open_attempts.push_back(id);
  if (++progress.attempts == 1) {
    ++state.statistics.first_attempts;
    RecordFirstAttempt(FindOrAddRetryBudget(state.retry_budgets, stage.name));
    if (stage.role == StageRole::kGenerate) {
      CountDemand(context, stage);
    }
  }
  if (!is_hedge) {
    const auto hedge = HedgeTime(context, request, stage, attempt.started_at);
    const TimePoint half_way =
        context.now + (request.deadline - context.now) / 2;
    PlanReview(context, request, hedge ? std::min(*hedge, half_way) : half_way);
  }
  state.attempts.emplace(id, std::move(attempt));
  context.Emit(std::move(command));
}

void CancelAttempts(StepContext& context,
                    RequestState& request,
                    const StageId& stage) {
  NodeState& state = context.state;
  StageProgress& progress = request.stages.at(stage);
  for (const AttemptId& id : progress.open_attempts) {
    const AttemptState attempt = std::move(state.attempts.at(id));
    state.attempts.erase(id);
    EndCancelledAttempt(state.endpoints, attempt.ticket);
    ChargeAttempt(context, request, attempt,
                  UseOf(request, attempt, context.now), /*is_wasted=*/true);
    context.Emit(CancelAttempt{id, attempt.address, attempt.is_stream});
  }
  progress.open_attempts.clear();
}

void TakeFragment(StepContext& context, const AttemptFragment& fragment) {
  NodeState& state = context.state;
  const auto open = state.attempts.find(fragment.attempt);
  if (open == state.attempts.end()) {
    state.reasons.Add(Reason::kAnswerLate);
    return;
  }
  if (fragment.echoed_attempt != fragment.attempt.value()) {
    state.reasons.Add(Reason::kAnswerMismatch);
    return;
  }
  AttemptState& attempt = open->second;
  RequestState& request = state.requests.at(attempt.request);
  StageProgress& progress = request.stages.at(attempt.stage);
  if (attempt.tokens == 0 && attempt.first_token_at == TimePoint()) {
    attempt.first_token_at = context.now;
    RecordFirstToken(state.estimator, StageOf(request, attempt.stage),
                     SizeOf(request), context.now - attempt.started_at);
  }
  if (fragment.sequence < progress.tokens) {
    state.reasons.Add(Reason::kFragmentRepeated);
  } else if (fragment.sequence == progress.tokens) {
    Deliver(context, request, attempt, fragment.text);
    DeliverEarlyFragments(context, request, attempt);
  } else if (progress.early_fragments.size() < kMaxEarlyFragments) {
    progress.early_fragments.emplace(fragment.sequence, fragment.text);
  }
}

void TakeFinished(StepContext& context, const AttemptFinished& finished) {
  NodeState& state = context.state;
  const auto open = state.attempts.find(finished.attempt);
  if (open == state.attempts.end()) {
    state.reasons.Add(Reason::kAnswerLate);
    return;
  }
  const AttemptState attempt = std::move(open->second);
  state.attempts.erase(open);
  RequestState& request = state.requests.at(attempt.request);
  const Stage& stage = StageOf(request, attempt.stage);
  std::erase(request.stages.at(attempt.stage).open_attempts, finished.attempt);

  if (finished.outcome == AttemptOutcome::kCompleted &&
      finished.echoed_attempt != finished.attempt.value()) {
    state.reasons.Add(Reason::kAnswerMismatch);
  }
  const AttemptOutcome outcome = JudgeAnswer(request, attempt, finished);
  LearnFromAttempt(context, request, attempt, outcome);
  NoteOutcome(request, outcome);
  const PoolId pool = stage.pool;
  if (outcome == AttemptOutcome::kCompleted) {
    CompleteStage(context, request, attempt, finished);
  } else {
    if (!IsKnownNotRun(outcome)) {
      // Tokens that were delivered are of use if the stream is resumed.
      ChargeAttempt(context, request, attempt,
                    UseOf(request, attempt, context.now),
                    /*is_wasted=*/attempt.tokens == 0);
    }
    RecordStageOutcome(FindOrAddRetryBudget(state.retry_budgets, stage.name),
                       false);
    RepeatOrGiveUp(context, request, attempt, outcome);
  }
  WakePool(context, pool);
}

}  // namespace peridotmill
