#include "peridotmill_actions/origin/origin_step.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "peridotmill_actions/actions_step.h"
#include "peridotmill_actions/log/log_keys.h"
#include "peridotmill_actions/origin/home_exchange.h"
#include "peridotmill_core/hashing/hashing.h"

namespace peridotmill {
namespace {

bool IsPastRetention(const OriginContext& context, const IdempotencyKey& key) {
  const auto created_at = CreationTimeOf(key);
  return created_at && *created_at + context.state.retention.count() <
                           context.now.epoch_seconds();
}

void Refuse(OriginContext& context,
            const RequestId& request,
            const Nonce& nonce,
            Reason reason,
            Execution execution) {
  ActionResult result;
  result.request = request;
  result.nonce = nonce;
  result.reason = reason;
  result.execution = execution;
  context.commands.emplace_back(std::move(result));
}

// An outcome that is known goes to the caller; an unknown one is a refusal.
void GiveRecordedAnswer(OriginContext& context,
                        const RequestId& request,
                        const Nonce& nonce,
                        const ActionAnswer& answer) {
  if (answer.execution == Execution::kUnknown) {
    Refuse(context, request, nonce, Reason::kActionUnknown,
           Execution::kUnknown);
    return;
  }
  ActionResult result;
  result.request = request;
  result.nonce = nonce;
  result.kind = ActionResultKind::kDuplicate;
  result.answer = answer;
  result.execution = answer.execution;
  context.commands.emplace_back(std::move(result));
}

// The action may still finish only while its claimant lives.
void RefuseInProgress(OriginContext& context,
                      const RequestId& request,
                      const Nonce& nonce,
                      const NodeId& holder,
                      Incarnation incarnation) {
  const bool is_live = IsLive(context.state, holder, incarnation);
  Refuse(context, request, nonce,
         is_live ? Reason::kActionInProgress : Reason::kActionUnknown,
         Execution::kUnknown);
}

void SendClaim(OriginContext& context, const Nonce& nonce, OpenAction& action) {
  ChooseTarget(context, action.exchange, action.team, action.key);
  ClaimRequest request;
  request.team = action.team;
  request.key = action.key;
  request.request_digest = action.request_digest;
  request.nonce = nonce;
  request.claimant = context.state.self;
  request.claimant_incarnation = context.state.incarnation;
  request.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
      action.deadline - context.now.steady);
  SendToHome(context, action.exchange, std::move(request));
}

void SendOutcome(OriginContext& context, OpenAction& action) {
  ChooseTarget(context, action.exchange, action.team, action.key);
  SendToHome(context, action.exchange, action.outcome);
}

void SendLookup(OriginContext& context, OpenLookup& open) {
  ChooseTarget(context, open.exchange, open.lookup.team, open.lookup.key);
  SendToHome(context, open.exchange, open.lookup);
}

void StartSettling(OriginContext& context,
                   const Nonce& nonce,
                   OpenAction& action,
                   bool is_void,
                   ActionAnswer answer) {
  action.phase = OriginPhase::kSettling;
  action.outcome = {action.team, action.key, nonce, is_void, std::move(answer)};
  action.exchange.unanswered = 0;
  SendOutcome(context, action);
}

// Gives up a claim that was not granted. It is voided unless its only copy is
// known to be dropped.
void Abandon(OriginContext& context, const Nonce& nonce, bool is_dropped) {
  OpenAction& action = context.state.actions.at(nonce);
  if (is_dropped && action.exchange.sends <= 1) {
    context.state.actions.erase(nonce);
  } else {
    StartSettling(context, nonce, action, true, {});
  }
}

void RefuseAndAbandon(OriginContext& context,
                      const Nonce& nonce,
                      Reason reason,
                      Execution execution,
                      bool is_dropped) {
  Refuse(context, context.state.actions.at(nonce).request, nonce, reason,
         execution);
  Abandon(context, nonce, is_dropped);
}

void EndAtDeadline(OriginContext& context, const Nonce& nonce) {
  const OpenAction& action = context.state.actions.at(nonce);
  if (action.status == ClaimStatus::kInProgress) {
    RefuseInProgress(context, action.request, nonce, action.holder,
                     action.holder_incarnation);
    Abandon(context, nonce, false);
  } else {
    RefuseAndAbandon(context, nonce, Reason::kStoreUnavailable,
                     Execution::kNotRun, false);
  }
}

void OnStoreUnavailable(OriginContext& context,
                        const Nonce& nonce,
                        OpenAction& action,
                        bool is_in_doubt) {
  const bool is_remote = action.exchange.target != context.state.self;
  if (is_remote && !context.is_store_down) {
    FallBack(context, action.exchange);
    SendClaim(context, nonce, action);
    return;
  }
  RefuseAndAbandon(context, nonce, Reason::kStoreUnavailable,
                   Execution::kNotRun, !is_in_doubt);
}

void TickAction(OriginContext& context, const Nonce& nonce) {
  OpenAction& action = context.state.actions.at(nonce);
  const TimePoint now = context.now.steady;
  if (action.phase == OriginPhase::kAsking && action.deadline <= now) {
    EndAtDeadline(context, nonce);
  } else if (action.phase == OriginPhase::kRunning ||
             now < action.exchange.next_send) {
    return;
  } else if (action.phase == OriginPhase::kAsking) {
    SendClaim(context, nonce, action);
  } else {
    SendOutcome(context, action);
  }
}

void TickLookups(OriginContext& context) {
  const TimePoint now = context.now.steady;
  auto& lookups = context.state.lookups;
  for (auto it = lookups.begin(); it != lookups.end();) {
    OpenLookup& open = it->second;
    if (open.deadline <= now) {
      Refuse(context, open.lookup.request, Nonce(), Reason::kStoreUnavailable,
             Execution::kUnknown);
      it = lookups.erase(it);
      continue;
    }
    if (open.exchange.next_send <= now) {
      SendLookup(context, open);
    }
    ++it;
  }
}

}  // namespace

void StartAction(OriginContext& context, const BeginAction& begin) {
  OriginState& state = context.state;
  if (IsPastRetention(context, begin.key)) {
    // The key may have been used within its retention.
    Refuse(context, begin.request, begin.nonce, Reason::kKeyExpired,
           Execution::kUnknown);
    return;
  }
  if (state.actions.size() >= kMaxOpenActions) {
    Refuse(context, begin.request, begin.nonce, Reason::kClaimTableFull,
           Execution::kNotRun);
    return;
  }
  const auto [position, is_new] = state.actions.try_emplace(begin.nonce);
  if (!is_new) {
    Refuse(context, begin.request, begin.nonce, Reason::kBadRequest,
           Execution::kNotRun);
    return;
  }
  OpenAction& action = position->second;
  action.request = begin.request;
  action.team = begin.team;
  action.key = begin.key;
  action.request_digest = begin.request_digest;
  action.deadline = begin.deadline;
  SendClaim(context, begin.nonce, action);
}

void StartLookup(OriginContext& context,
                 const ActionLookup& lookup,
                 TimePoint deadline) {
  if (IsPastRetention(context, lookup.key)) {
    Refuse(context, lookup.request, Nonce(), Reason::kKeyExpired,
           Execution::kUnknown);
    return;
  }
  if (context.state.lookups.size() >= kMaxOpenLookups) {
    Refuse(context, lookup.request, Nonce(), Reason::kClaimTableFull,
           Execution::kUnknown);
    return;
  }
  OpenLookup& open = context.state.lookups[lookup.request];
  open.lookup = lookup;
  open.deadline = deadline;
  SendLookup(context, open);
}

void Settle(OriginContext& context, const Nonce& nonce, ActionAnswer answer) {
  const auto found = context.state.actions.find(nonce);
  if (found == context.state.actions.end() ||
      found->second.phase != OriginPhase::kRunning) {
    return;
  }
  if (answer.body.size() > kMaxInlineAnswer) {
    answer.digest = ContentDigest(answer.body);
    answer.body.clear();
  }
  StartSettling(context, nonce, found->second, false, std::move(answer));
}

void Void(OriginContext& context, const Nonce& nonce) {
  const auto found = context.state.actions.find(nonce);
  if (found != context.state.actions.end() &&
      found->second.phase != OriginPhase::kSettling) {
    StartSettling(context, nonce, found->second, true, {});
  }
}

void StepOrigin(OriginContext& context, const ClaimReply& reply) {
  const auto found = context.state.actions.find(reply.nonce);
  if (found == context.state.actions.end() ||
      found->second.phase != OriginPhase::kAsking) {
    return;
  }
  OpenAction& action = found->second;
  if (action.deadline <= context.now.steady) {
    EndAtDeadline(context, reply.nonce);
    return;
  }
  NoteReply(context, action.exchange);
  switch (reply.status) {
    case ClaimStatus::kGranted: {
      action.phase = OriginPhase::kRunning;
      ActionResult result;
      result.request = action.request;
      result.nonce = reply.nonce;
      result.kind = ActionResultKind::kGranted;
      context.commands.emplace_back(std::move(result));
      return;
    }
    case ClaimStatus::kDuplicate:
      GiveRecordedAnswer(context, action.request, reply.nonce, reply.answer);
      // The key is decided for good, so that the claim needs no void.
      context.state.actions.erase(found);
      return;
    case ClaimStatus::kInProgress:
    case ClaimStatus::kPending:
      action.status = reply.status;
      action.holder = reply.holder;
      action.holder_incarnation = reply.holder_incarnation;
      return;
    case ClaimStatus::kKeyReused:
      RefuseAndAbandon(context, reply.nonce, Reason::kKeyReused,
                       Execution::kNotRun, !reply.is_in_doubt);
      return;
    case ClaimStatus::kKeyExpired:
      RefuseAndAbandon(context, reply.nonce, Reason::kKeyExpired,
                       Execution::kUnknown, !reply.is_in_doubt);
      return;
    case ClaimStatus::kTableFull:
      RefuseAndAbandon(context, reply.nonce, Reason::kClaimTableFull,
                       Execution::kNotRun, !reply.is_in_doubt);
      return;
    case ClaimStatus::kStoreUnavailable:
      OnStoreUnavailable(context, reply.nonce, action, reply.is_in_doubt);
      return;
  }
}

void StepOrigin(OriginContext& context, const OutcomeAck& ack) {
  const auto found = context.state.actions.find(ack.nonce);
  if (found != context.state.actions.end() &&
      found->second.phase == OriginPhase::kSettling) {
    context.state.actions.erase(found);
  }
}

void StepOrigin(OriginContext& context, const ActionLookupReply& reply) {
  const auto found = context.state.lookups.find(reply.request);
  if (found == context.state.lookups.end()) {
    return;
  }
  OpenLookup& open = found->second;
  switch (reply.status) {
    case LookupStatus::kCompleted:
      GiveRecordedAnswer(context, reply.request, Nonce(), reply.answer);
      break;
    case LookupStatus::kInProgress:
      RefuseInProgress(context, reply.request, Nonce(), reply.holder,
                       reply.holder_incarnation);
      break;
    case LookupStatus::kNotFound:
      // A claim may still be on its way, so that "not run" would be too much.
      Refuse(context, reply.request, Nonce(), Reason::kActionNotFound,
             Execution::kUnknown);
      break;
    case LookupStatus::kKeyExpired:
      Refuse(context, reply.request, Nonce(), Reason::kKeyExpired,
             Execution::kUnknown);
      break;
    case LookupStatus::kStoreUnavailable:
      if (open.exchange.target != context.state.self &&
          !context.is_store_down) {
        FallBack(context, open.exchange);
        SendLookup(context, open);
        return;
      }
      Refuse(context, reply.request, Nonce(), Reason::kStoreUnavailable,
             Execution::kUnknown);
      break;
  }
  context.state.lookups.erase(found);
}

void SetOriginNodes(OriginContext& context, std::vector<ActionNode> nodes) {
  context.state.nodes = std::move(nodes);
  // What was sent to a node that has left is sent again at once.
  const auto repeat_if_gone = [&](HomeExchange& exchange) {
    const auto& live = context.state.nodes;
    if (std::ranges::find(live, exchange.target, &ActionNode::id) ==
        live.end()) {
      exchange.next_send = context.now.steady;
    }
  };
  for (auto& [nonce, action] : context.state.actions) {
    repeat_if_gone(action.exchange);
  }
  for (auto& [request, open] : context.state.lookups) {
    repeat_if_gone(open.exchange);
  }
}

void TickOrigin(OriginContext& context) {
  std::vector<Nonce> nonces;
  nonces.reserve(context.state.actions.size());
  for (const auto& [nonce, action] : context.state.actions) {
    nonces.push_back(nonce);
  }
  for (const Nonce& nonce : nonces) {
    TickAction(context, nonce);
  }
  TickLookups(context);
}

}  // namespace peridotmill
