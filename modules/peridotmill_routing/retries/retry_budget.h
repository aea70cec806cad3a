#ifndef PERIDOTMILL_ROUTING_RETRIES_RETRY_BUDGET_H_
#define PERIDOTMILL_ROUTING_RETRIES_RETRY_BUDGET_H_

#include <cstdint>
#include <map>

#include "peridotmill_core/ids/ids.h"

namespace peridotmill {

// Extra attempts of a stage stay under 10% of its first attempts: 8% for any
// retry, 2% only for first retries after kNotSent, which cost the endpoint
// nothing. Hedges take from the 8% and are limited to 2% besides.
inline constexpr double kRetryShare = 0.08;
inline constexpr double kNotSentShare = 0.02;
inline constexpr double kHedgeShare = 0.02;
// Share of the deposits while every attempt of the stage fails. It pays back
// what the buckets held when the failure began, so that amplification during
// the failure itself tends below 1.1 too.
inline constexpr double kDeadStageShare = 0.5;
inline constexpr int32_t kDeadStageFailures = 20;
// What a bucket can hold, and what it holds at the start. The start is
// lent: deposits begin when the first attempts have earned it.
inline constexpr double kMaxRetryTokens = 8;
inline constexpr double kMaxNotSentTokens = 4;
inline constexpr double kMaxHedgeTokens = 2;
inline constexpr double kInitialRetryTokens = 2;
inline constexpr double kInitialNotSentTokens = 1;
inline constexpr size_t kMaxBudgetedStages = 256;

// Token buckets of one stage.
struct RetryBudget {
  double retry_tokens = kInitialRetryTokens;
  double not_sent_tokens = kInitialNotSentTokens;
  double hedge_tokens = 0;
  // Deposits withheld until the initial tokens are earned.
  double retry_debt = kInitialRetryTokens;
  double not_sent_debt = kInitialNotSentTokens;
  int32_t failures_in_row = 0;
  uint64_t first_attempts = 0;
  uint64_t extra_attempts = 0;
};

using RetryBudgets = std::map<StageId, RetryBudget>;

RetryBudget& FindOrAddRetryBudget(RetryBudgets& budgets, const StageId& stage);

// Deposits for a stage's first attempt.
void RecordFirstAttempt(RetryBudget& budget);

// Notes whether an attempt of the stage succeeded.
void RecordStageOutcome(RetryBudget& budget, bool is_success);

// Withdraw for one extra attempt; false when the budget does not allow it.
bool TakeRetry(RetryBudget& budget, bool is_first_after_not_sent);
bool CanHedge(const RetryBudget& budget);
bool TakeHedge(RetryBudget& budget);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_RETRIES_RETRY_BUDGET_H_
