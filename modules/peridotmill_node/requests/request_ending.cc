#include "peridotmill_node/requests/request_ending.h"

#include <algorithm>

#include "peridotmill_node/requests/action_requests.h"
#include "peridotmill_node/requests/attempt_runner.h"
#include "peridotmill_node/requests/bodies.h"
#include "peridotmill_node/requests/stage_scheduler.h"

namespace peridotmill {
namespace {

// Removes the request and lets the pools that it used serve others.
void Forget(StepContext& context, RequestState& request) {
  NodeState& state = context.state;
  for (const auto& [name, progress] : request.stages) {
    WakePool(context, StageOf(request, name).pool);
  }
  const RequestId id = request.id;
  state.deadlines.erase({request.deadline, id});
  state.requests.erase(id);
}

void MarkSpendWasted(StepContext& context, const RequestState& request) {
  for (const auto& [name, progress] : request.stages) {
    if (progress.status == StageStatus::kCompleted) {
      MarkWasted(context.state.ledger, {name, request.team, request.pipeline},
                 progress.useful_spend);
    }
  }
}

bool HasOpenAttempt(const RequestState& request) {
  return std::any_of(
      request.stages.begin(), request.stages.end(),
      [](const auto& entry) { return !entry.second.open_attempts.empty(); });
}

// Tells the caller that the deadline has passed, and lets the action run on.
void AwaitOutcome(StepContext& context, RequestState& request) {
  NodeState& state = context.state;
  state.reasons.Add(Reason::kDeadlineExpired);
  if (!request.is_caller_gone) {
    context.Emit(CallerRefusal{request.id, Reason::kDeadlineExpired,
                               Execution::kUnknown, "", "",
                               request.has_stream_begun});
  }
  request.is_caller_gone = true;
  request.is_expired = true;
  state.deadlines.erase({request.deadline, request.id});
  request.deadline += kOutcomeGrace;
  state.deadlines.emplace(request.deadline, request.id);
}

}  // namespace

void AnswerRequest(StepContext& context, RequestState& request) {
  NodeState& state = context.state;
  const int64_t created =
      std::chrono::duration_cast<std::chrono::seconds>(
          WallTimeAt(state.settings, context.now).time_since_epoch())
          .count();
  const bool is_stream = request.parsed.is_stream;
  if (request.has_claim) {
    constexpr int kOk = 200;
    RecordActionEnd(context, request, kOk, WholeAnswer(request, created),
                    Execution::kRan);
  }
  if (!request.is_caller_gone) {
    context.Emit(CallerAnswer{
        request.id,
        is_stream ? StreamEnd(request, created) : WholeAnswer(request, created),
        is_stream});
  }
  if (request.is_expired) {
    ++state.statistics.completed_late;
    MarkSpendWasted(context, request);
  } else {
    ++state.statistics.completed_on_time;
    state.statistics.request_duration.Add(context.now - request.arrived_at);
  }
  RecordDecision(state.decisions, request.id, context.now, "answered");
  Forget(context, request);
}

void RefuseRequest(StepContext& context,
                   RequestState& request,
                   Reason reason,
                   const std::string& message) {
  RefuseRequestAs(context, request, reason, ExecutionOf(request), message);
}

void RefuseRequestAs(StepContext& context,
                     RequestState& request,
                     Reason reason,
                     Execution execution,
                     const std::string& message) {
  NodeState& state = context.state;
  for (auto& [name, progress] : request.stages) {
    CancelAttempts(context, request, name);
    LeaveQueue(context, request, name);
  }
  MarkSpendWasted(context, request);
  EndClaim(context, request, reason, execution);
  if (!request.is_expired) {
    state.reasons.Add(reason);
  }
  RecordDecision(state.decisions, request.id, context.now,
                 "refused: " + std::string(ToString(reason)) + ", " +
                     std::string(ToString(execution)));
  if (!request.is_caller_gone) {
    context.Emit(CallerRefusal{request.id, reason, execution, message, "",
                               request.has_stream_begun});
  }
  Forget(context, request);
}

void ExpireRequests(StepContext& context) {
  NodeState& state = context.state;
  while (!state.deadlines.empty() &&
         state.deadlines.begin()->first <= context.now) {
    RequestState& request = state.requests.at(state.deadlines.begin()->second);
    if (request.has_claim && !request.is_expired && HasOpenAttempt(request)) {
      AwaitOutcome(context, request);
    } else if (!request.claim.empty() && !request.has_claim) {
      // Another request may be running the action under the same key.
      RefuseRequestAs(context, request, Reason::kActionUnknown,
                      Execution::kUnknown);
    } else {
      RefuseRequest(context, request, Reason::kDeadlineExpired);
    }
  }
}

}  // namespace peridotmill
