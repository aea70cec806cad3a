#include "peridotmill_node/requests/action_requests.h"

#include <chrono>
#include <utility>

#include "peridotmill_node/fleet/fleet_commands.h"
#include "peridotmill_node/requests/request_ending.h"
#include "peridotmill_node/requests/stage_scheduler.h"

namespace peridotmill {
namespace {

constexpr Duration kLookUpTimeout = std::chrono::seconds(2);
constexpr int kOk = 200;

void RefuseQuery(StepContext& context,
                 const RequestId& id,
                 Reason reason,
                 Execution execution) {
  context.state.reasons.Add(reason);
  context.Emit(CallerRefusal{id, reason, execution, "", "", false});
}

// Hands a recorded answer to a caller.
void SendRecorded(StepContext& context,
                  const RequestId& id,
                  const ActionAnswer& answer) {
  const bool is_whole = answer.http_status == kOk && !answer.body.empty();
  if (is_whole) {
    context.Emit(CallerAnswer{id, answer.body, false});
  } else {
    // The outcome is known, but the answer was a refusal or was not kept.
    RefuseQuery(context, id,
                answer.http_status == kOk ? Reason::kAnswerTooLarge
                                          : Reason::kStageFailed,
                answer.execution);
  }
}

// A request that is answered from the record of an earlier one.
void AnswerFromRecord(StepContext& context,
                      RequestState& request,
                      const ActionAnswer& answer) {
  RecordDecision(context.state.decisions, request.id, context.now,
                 "answered from the record of the key");
  SendRecorded(context, request.id, answer);
  context.state.deadlines.erase({request.deadline, request.id});
  context.state.requests.erase(RequestId(request.id));
}

}  // namespace

ActionTime ActionTimeOf(const StepContext& context) {
  return {context.now, WallTimeAt(context.state.settings, context.now)};
}

void ClaimAction(StepContext& context, RequestState& request) {
  NodeState& state = context.state;
  BeginAction begin;
  begin.request = request.id;
  begin.team = request.team;
  begin.key = request.key;
  begin.request_digest =
      ContentDigest(request.pipeline.value() + "\n" + request.parsed.input);
  begin.nonce = Nonce(state.random.HexToken());
  begin.deadline = request.deadline;
  request.claim = begin.nonce;
  Execute(context, Begin(state.fleet.actions, begin, ActionTimeOf(context)));
}

void TakeActionResult(StepContext& context, const ActionResult& result) {
  NodeState& state = context.state;
  if (result.nonce.empty()) {
    // A look-up. Its caller may be gone, which the adapter notices.
    if (result.kind == ActionResultKind::kDuplicate) {
      SendRecorded(context, result.request, result.answer);
    } else {
      RefuseQuery(context, result.request, result.reason, result.execution);
    }
    return;
  }
  const auto open = state.requests.find(result.request);
  if (open == state.requests.end()) {
    if (result.kind == ActionResultKind::kGranted) {
      // The request ended while its claim was on the way; nothing was sent.
      Execute(context, VoidClaim(state.fleet.actions, result.nonce,
                                 ActionTimeOf(context)));
    }
    return;
  }
  RequestState& request = open->second;
  switch (result.kind) {
    case ActionResultKind::kGranted:
      request.has_claim = true;
      RecordDecision(state.decisions, request.id, context.now, "claim granted");
      StartReadyStages(context, request);
      break;
    case ActionResultKind::kDuplicate:
      AnswerFromRecord(context, request, result.answer);
      break;
    case ActionResultKind::kRefused:
      request.claim = Nonce();
      RefuseRequestAs(context, request, result.reason, result.execution);
      break;
  }
}

void RecordActionEnd(StepContext& context,
                     const RequestState& request,
                     int http_status,
                     const std::string& body,
                     Execution execution) {
  ActionAnswer answer;
  answer.execution = execution;
  answer.http_status = http_status;
  answer.body = body;
  Execute(context, RecordOutcome(context.state.fleet.actions, request.claim,
                                 std::move(answer), ActionTimeOf(context)));
}

void EndClaim(StepContext& context,
              const RequestState& request,
              Reason reason,
              Execution execution) {
  if (request.claim.empty()) {
    return;
  }
  if (!request.has_claim || execution == Execution::kNotRun) {
    Execute(context, VoidClaim(context.state.fleet.actions, request.claim,
                               ActionTimeOf(context)));
  } else {
    RecordActionEnd(context, request, GetReasonInfo(reason).http_status, "",
                    execution);
  }
}

void QueryAction(StepContext& context, const ActionQuery& query) {
  NodeState& state = context.state;
  if (!state.config.objects) {
    RefuseQuery(context, query.id, Reason::kNotConfigured, Execution::kUnknown);
    return;
  }
  const Team* team = FindTeam(state.config, query.token);
  if (team == nullptr) {
    RefuseQuery(
        context, query.id,
        query.token.empty() ? Reason::kMissingToken : Reason::kUnknownTeam,
        Execution::kUnknown);
    return;
  }
  Execute(context,
          LookUpAction(state.fleet.actions, {query.id, team->name, query.key},
                       context.now + kLookUpTimeout, ActionTimeOf(context)));
}

}  // namespace peridotmill
