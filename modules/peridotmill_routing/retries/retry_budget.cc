#include "peridotmill_routing/retries/retry_budget.h"

#include <algorithm>

namespace peridotmill {
namespace {

void Deposit(double& tokens, double& unearned, double amount, double capacity) {
  const double repaid = std::min(unearned, amount);
  unearned -= repaid;
  tokens = std::min(capacity, tokens + amount - repaid);
}

// Withdraws one token. Sums of deposits have rounding errors, so a token that
// is almost complete counts as one.
bool TakeToken(double& tokens) {
  constexpr double kWholeToken = 1 - 1e-9;
  if (tokens < kWholeToken) {
    return false;
  }
  tokens = std::max(0.0, tokens - 1);
  return true;
}

}  // namespace

RetryBudget& FindOrAddRetryBudget(RetryBudgets& budgets, const StageId& stage) {
  const auto found = budgets.find(stage);
  if (found != budgets.end()) {
    return found->second;
  }
  if (budgets.size() >= kMaxBudgetedStages) {
    // A configuration has fewer stages, so some entries belong to stages of
    // earlier revisions.
    budgets.erase(budgets.begin());
  }
  return budgets[stage];
}

void RecordFirstAttempt(RetryBudget& budget) {
  ++budget.first_attempts;
  const double deposit_factor =
      budget.consecutive_failures >= kFailingStageConsecutiveFailures
          ? kFailingStageDepositFactor
          : 1.0;
  Deposit(budget.retry_tokens, budget.unearned_retry_tokens,
          kRetryTokensPerFirstAttempt * deposit_factor, kMaxRetryTokens);
  Deposit(budget.not_sent_tokens, budget.unearned_not_sent_tokens,
          kNotSentTokensPerFirstAttempt * deposit_factor, kMaxNotSentTokens);
  budget.hedge_tokens = std::min(
      kMaxHedgeTokens,
      budget.hedge_tokens + kHedgeTokensPerFirstAttempt * deposit_factor);
}

void RecordStageOutcome(RetryBudget& budget, bool is_success) {
  budget.consecutive_failures =
      is_success ? 0
                 : std::min(budget.consecutive_failures + 1,
                            kFailingStageConsecutiveFailures);
}

bool TakeRetryToken(RetryBudget& budget, bool is_first_after_not_sent) {
  const bool is_granted =
      (is_first_after_not_sent && TakeToken(budget.not_sent_tokens)) ||
      TakeToken(budget.retry_tokens);
  budget.extra_attempts += is_granted ? 1 : 0;
  return is_granted;
}

bool HasHedgeTokens(const RetryBudget& budget) {
  return budget.hedge_tokens >= 1 && budget.retry_tokens >= 1;
}

bool TakeHedgeTokens(RetryBudget& budget) {
  if (!HasHedgeTokens(budget)) {
    return false;
  }
  TakeToken(budget.hedge_tokens);
  TakeToken(budget.retry_tokens);
  ++budget.extra_attempts;
  return true;
}

}  // namespace peridotmill
