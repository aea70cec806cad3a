#include "peridotmill_routing/retries/retry_budget.h"

#include <algorithm>

namespace peridotmill {
namespace {

void Deposit(double& tokens, double& debt, double amount, double capacity) {
  const double repaid = std::min(debt, amount);
  debt -= repaid;
  tokens = std::min(capacity, tokens + amount - repaid);
}

// Sums of deposits are off by rounding; a token that is nearly whole counts.
bool Take(double& tokens) {
  constexpr double kWhole = 1 - 1e-9;
  if (tokens < kWhole) {
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
    // More stages than a configuration holds: names of earlier revisions.
    budgets.erase(budgets.begin());
  }
  return budgets[stage];
}

void RecordFirstAttempt(RetryBudget& budget) {
  ++budget.first_attempts;
  const double share =
      budget.failures_in_row >= kDeadStageFailures ? kDeadStageShare : 1.0;
  Deposit(budget.retry_tokens, budget.retry_debt, kRetryShare * share,
          kMaxRetryTokens);
  Deposit(budget.not_sent_tokens, budget.not_sent_debt, kNotSentShare * share,
          kMaxNotSentTokens);
  budget.hedge_tokens =
      std::min(kMaxHedgeTokens, budget.hedge_tokens + kHedgeShare * share);
}

void RecordStageOutcome(RetryBudget& budget, bool is_success) {
  budget.failures_in_row =
      is_success ? 0 : std::min(budget.failures_in_row + 1, kDeadStageFailures);
}

bool TakeRetry(RetryBudget& budget, bool is_first_after_not_sent) {
  const bool is_granted =
      (is_first_after_not_sent && Take(budget.not_sent_tokens)) ||
      Take(budget.retry_tokens);
  budget.extra_attempts += is_granted ? 1 : 0;
  return is_granted;
}

bool CanHedge(const RetryBudget& budget) {
  return budget.hedge_tokens >= 1 && budget.retry_tokens >= 1;
}

bool TakeHedge(RetryBudget& budget) {
  if (!CanHedge(budget)) {
    return false;
  }
  Take(budget.hedge_tokens);
  Take(budget.retry_tokens);
  ++budget.extra_attempts;
  return true;
}

}  // namespace peridotmill
