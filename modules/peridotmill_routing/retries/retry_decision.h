#ifndef PERIDOTMILL_ROUTING_RETRIES_RETRY_DECISION_H_
#define PERIDOTMILL_ROUTING_RETRIES_RETRY_DECISION_H_

#include <cstdint>
#include <optional>

#include "peridotmill_config/objects/objects.h"
#include "peridotmill_core/attempts/attempt_outcome.h"
#include "peridotmill_core/reasons/reason.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/units/units.h"
#include "peridotmill_routing/retries/retry_budget.h"

namespace peridotmill {

// An attempt that ended without a complete response.
struct FailedAttempt {
  AttemptOutcome outcome = AttemptOutcome::kOutcomeUnknown;
  // Attempts of the stage made so far, this one included.
  int32_t attempts = 1;
  bool is_stream = false;
  // Tokens of the stream that the caller has already received.
  TokenCount tokens_delivered;
  // Time until the request's deadline.
  Duration time_left{};
  // Time that the request still needs at the refusal quantile, including
  // another attempt of the stage or its resumption.
  Duration time_needed{};
};

enum class RetryAction : uint8_t {
  kRetry,
  // Retry on another engine, continuing after the tokens already delivered.
  kResume,
  kGiveUp,
};

struct RetryDecision {
  RetryAction action = RetryAction::kGiveUp;
  // Why the attempt is retried, or why the request is refused.
  Reason reason = Reason::kStageFailed;
  // Whether the retry was refused because the budget is exhausted. `reason` is
  // kStageFailed then; exhausted budgets have a counter of their own.
  bool is_budget_exhausted = false;
  // Whether the next attempt should avoid the endpoint that failed.
  bool exclude_endpoint = true;
};

// Returns the reason that is reported for a retry after this outcome.
Reason RetryReasonOf(AttemptOutcome outcome);

// Decides whether a failed attempt is retried, resumed or given up, and
// withdraws a retry from the budget. Under every policy, a call that is not
// idempotent is retried only when it is known not to have run. kRetryAnywhere
// ignores the budget and excludes no endpoint.
RetryDecision DecideRetry(const Stage& stage,
                          const FailedAttempt& attempt,
                          RoutingPolicy policy,
                          RetryBudget& budget);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_RETRIES_RETRY_DECISION_H_
