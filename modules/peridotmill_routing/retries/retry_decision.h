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

// An attempt that ended without a complete answer.
struct FailedAttempt {
  AttemptOutcome outcome = AttemptOutcome::kSentUnknown;
  // Attempts of the stage made so far, this one included.
  int32_t attempts = 1;
  bool is_stream = false;
  // Tokens of the stream that the caller already has.
  TokenCount tokens_delivered;
  // Time until the request's deadline.
  Duration time_left{};
  // What the request needs from here at the refusal quantile, with the stage
  // run anew or resumed.
  Duration time_needed{};
};

enum class RetryAction : uint8_t {
  kRetry,
  // Retry on another engine, from the tokens already delivered.
  kResume,
  kGiveUp,
};

struct RetryDecision {
  RetryAction action = RetryAction::kGiveUp;
  // Why the attempt is repeated, or why the request is refused.
  Reason reason = Reason::kStageFailed;
  // Set besides `reason` when the budget was spent; has its own counter.
  bool is_budget_exhausted = false;
  // Whether the next attempt should avoid the endpoint that failed.
  bool exclude_endpoint = true;
};

// Why an attempt with this outcome would be repeated.
Reason RetryReasonOf(AttemptOutcome outcome);

// Decides what follows a failed attempt and withdraws from the budget. A call
// that is not idempotent is repeated only when it is known not to have run,
// under every policy. kRetryAnywhere has no budget and excludes no endpoint.
RetryDecision DecideRetry(const Stage& stage,
                          const FailedAttempt& attempt,
                          RoutingPolicy policy,
                          RetryBudget& budget);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_RETRIES_RETRY_DECISION_H_
