#ifndef PERIDOTMILL_ROUTING_RETRIES_RETRY_BUDGET_H_
#define PERIDOTMILL_ROUTING_RETRIES_RETRY_BUDGET_H_

#include <cstdint>
#include <map>

#include "peridotmill_core/ids/ids.h"

namespace peridotmill {

// Extra attempts of a stage stay under 10% of its first attempts: 8% for any
// retry, and 2% only for first retries after kNotSent, which add no load to the
// endpoint. Hedges withdraw from the 8% and are also limited to 2%.
inline constexpr double kRetryTokensPerFirstAttempt = 0.08;
inline constexpr double kNotSentTokensPerFirstAttempt = 0.02;
inline constexpr double kHedgeTokensPerFirstAttempt = 0.02;
// Factor on the deposits while every attempt of the stage fails. The reduction
// makes up for the tokens that the buckets held when the failure began, so that
// retry amplification during the failure itself also converges below 1.1.
inline constexpr double kFailingStageDepositFactor = 0.5;
// Consecutive failures after which a stage counts as failing as a whole.
inline constexpr int32_t kFailingStageConsecutiveFailures = 20;
// Capacity and initial content of each bucket, in attempts. First attempts earn
// the initial tokens afterwards: deposits are withheld until they have.
inline constexpr double kMaxRetryTokens = 8;
inline constexpr double kMaxNotSentTokens = 4;
inline constexpr double kMaxHedgeTokens = 2;
inline constexpr double kInitialRetryTokens = 2;
inline constexpr double kInitialNotSentTokens = 1;
inline constexpr size_t kMaxBudgetedStages = 256;

// Token buckets that limit the extra attempts of one stage.
struct RetryBudget {
  double retry_tokens = kInitialRetryTokens;
  double not_sent_tokens = kInitialNotSentTokens;
  double hedge_tokens = 0;
  // Part of the initial tokens that first attempts have not earned yet;
  // deposits reduce it before they fill the bucket.
  double unearned_retry_tokens = kInitialRetryTokens;
  double unearned_not_sent_tokens = kInitialNotSentTokens;
  int32_t consecutive_failures = 0;
  uint64_t first_attempts = 0;
  uint64_t extra_attempts = 0;
};

using RetryBudgets = std::map<StageId, RetryBudget>;

// Returns the stage's budget and adds one if there is none. At
// kMaxBudgetedStages, the budget of another stage is removed.
RetryBudget& FindOrAddRetryBudget(RetryBudgets& budgets, const StageId& stage);

// Deposits tokens for the first attempt of a stage call.
void RecordFirstAttempt(RetryBudget& budget);

// Records whether an attempt of the stage succeeded.
void RecordStageOutcome(RetryBudget& budget, bool is_success);

// Withdraw the tokens for one extra attempt. Return false when the budget does
// not allow it.
bool TakeRetryToken(RetryBudget& budget, bool is_first_after_not_sent);
bool HasHedgeTokens(const RetryBudget& budget);
bool TakeHedgeTokens(RetryBudget& budget);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_RETRIES_RETRY_BUDGET_H_
