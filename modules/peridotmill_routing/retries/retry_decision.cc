#include "peridotmill_routing/retries/retry_decision.h"

namespace peridotmill {
namespace {

// Returns why another attempt is not allowed regardless of the budget, or
// nothing when it is allowed.
std::optional<Reason> RetryRefusalReason(const Stage& stage,
                                         const FailedAttempt& attempt) {
  if (!stage.idempotent && !IsKnownNotRun(attempt.outcome)) {
    return Reason::kStageFailed;
  }
  if (attempt.time_left <= Duration::zero()) {
    return Reason::kDeadlineExpired;
  }
  if (attempt.time_needed > attempt.time_left) {
    return Reason::kDeadlineUnreachable;
  }
  if (attempt.attempts >= stage.max_attempts) {
    return Reason::kStageFailed;
  }
  return std::nullopt;
}

}  // namespace

Reason RetryReasonOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
      return Reason::kConnectFailed;
    case AttemptOutcome::kRefused:
      return Reason::kEndpointRefused;
    case AttemptOutcome::kOutcomeUnknown:
      return Reason::kStreamBroken;
    case AttemptOutcome::kLate:
      return Reason::kAttemptTimeout;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kCompleted:
      break;
  }
  return Reason::kEndpointFailed;
}

RetryDecision DecideRetry(const Stage& stage,
                          const FailedAttempt& attempt,
                          RoutingPolicy policy,
                          RetryBudget& budget) {
  RetryDecision decision;
  const bool is_unrestricted = policy == RoutingPolicy::kRetryAnywhere;
  decision.exclude_endpoint = !is_unrestricted;
  if (const std::optional<Reason> refusal =
          RetryRefusalReason(stage, attempt)) {
    decision.reason = *refusal;
    return decision;
  }
  const bool is_first_after_not_sent =
      attempt.attempts == 1 && attempt.outcome == AttemptOutcome::kNotSent;
  if (is_unrestricted) {
    ++budget.extra_attempts;
  } else if (!TakeRetryToken(budget, is_first_after_not_sent)) {
    decision.reason = Reason::kStageFailed;
    decision.is_budget_exhausted = true;
    return decision;
  }
  decision.reason = RetryReasonOf(attempt.outcome);
  decision.action =
      attempt.is_stream && attempt.tokens_delivered > TokenCount(0)
          ? RetryAction::kResume
          : RetryAction::kRetry;
  return decision;
}

}  // namespace peridotmill
