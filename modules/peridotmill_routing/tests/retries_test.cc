#include <gtest/gtest.h>

#include "peridotmill_routing/tests/routing_fixture.h"

namespace peridotmill::testing {
namespace {

using std::chrono::milliseconds;
using enum AttemptOutcome;

FailedAttempt MakeFailure(AttemptOutcome outcome, int32_t attempts = 1) {
  FailedAttempt attempt;
  attempt.outcome = outcome;
  attempt.attempts = attempts;
  attempt.time_left = milliseconds(1000);
  attempt.time_needed = milliseconds(100);
  return attempt;
}

struct RetryCase {
  const char* name;
  bool is_idempotent;
  AttemptOutcome outcome;
  int32_t attempts;
  int64_t tokens;
  int64_t time_left_ms;
  RetryAction action;
  Reason reason;
};

class RetryDecisionTest : public ::testing::TestWithParam<RetryCase> {};

// Guards against retries of a call that may have run and is not idempotent,
// under any policy, and against retries after the deadline or the permitted
// number.
TEST_P(RetryDecisionTest, DependsOnOutcomeAndTimeLeft) {
  const RetryCase& test_case = GetParam();
  for (const RoutingPolicy policy :
       {RoutingPolicy::kDefault, RoutingPolicy::kRetryAnywhere}) {
    Stage stage;
    stage.idempotent = test_case.is_idempotent;
    FailedAttempt attempt = MakeFailure(test_case.outcome, test_case.attempts);
    attempt.is_stream = test_case.tokens > 0;
    attempt.tokens_delivered = TokenCount(test_case.tokens);
    attempt.time_left = milliseconds(test_case.time_left_ms);
    RetryBudget budget;
    const RetryDecision decision = DecideRetry(stage, attempt, policy, budget);
    EXPECT_EQ(decision.action, test_case.action);
    EXPECT_EQ(decision.reason, test_case.reason);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    RetryDecisionTest,
    ::testing::Values(
        RetryCase{"NotSent", false, kNotSent, 1, 0, 900, RetryAction::kRetry,
                  Reason::kConnectFailed},
        RetryCase{"Refused", false, kRefused, 1, 0, 900, RetryAction::kRetry,
                  Reason::kEndpointRefused},
        RetryCase{"SentUnknown", false, kOutcomeUnknown, 1, 0, 900,
                  RetryAction::kGiveUp, Reason::kStageFailed},
        RetryCase{"Failed", false, kFailed, 1, 0, 900, RetryAction::kGiveUp,
                  Reason::kStageFailed},
        RetryCase{"Late", false, kLate, 1, 0, 900, RetryAction::kGiveUp,
                  Reason::kStageFailed},
        RetryCase{"IdempotentUnknown", true, kOutcomeUnknown, 1, 0, 900,
                  RetryAction::kRetry, Reason::kStreamBroken},
        RetryCase{"IdempotentLate", true, kLate, 2, 0, 900, RetryAction::kRetry,
                  Reason::kAttemptTimeout},
        RetryCase{"Resume", true, kOutcomeUnknown, 1, 5, 900,
                  RetryAction::kResume, Reason::kStreamBroken},
        RetryCase{"TooMany", true, kFailed, 3, 0, 900, RetryAction::kGiveUp,
                  Reason::kStageFailed},
        RetryCase{"TooLate", true, kFailed, 1, 0, 50, RetryAction::kGiveUp,
                  Reason::kDeadlineUnreachable},
        RetryCase{"Expired", true, kFailed, 1, 0, 0, RetryAction::kGiveUp,
                  Reason::kDeadlineExpired}),
    [](const auto& info) { return info.param.name; });

struct AmplificationCase {
  const char* name;
  AttemptOutcome outcome;
  int successes_before;
  bool is_hedged;
};

class AmplificationTest : public ::testing::TestWithParam<AmplificationCase> {};

// Guards against retries and hedges that multiply the load on a stage that
// fails as a whole, also when the token buckets were full before the failure.
TEST_P(AmplificationTest, ExtraAttemptsStayWithinATenthWhenAStageFails) {
  RetryBudget budget;
  for (int i = 0; i < GetParam().successes_before; ++i) {
    RecordFirstAttempt(budget);
    RecordStageOutcome(budget, true);
  }
  const Stage stage;
  constexpr int kRequests = 1000;
  int attempts = 0;
  for (int i = 0; i < kRequests; ++i) {
    RecordFirstAttempt(budget);
    int32_t attempts_made = 1;
    if (GetParam().is_hedged && DecideHedge(stage, attempts_made, budget)) {
      ++attempts_made;
    }
    RecordStageOutcome(budget, false);
    while (DecideRetry(stage, MakeFailure(GetParam().outcome, attempts_made),
                       RoutingPolicy::kDefault, budget)
               .action == RetryAction::kRetry) {
      ++attempts_made;
      RecordStageOutcome(budget, false);
    }
    attempts += attempts_made;
  }
  EXPECT_LE(attempts, kRequests * 11 / 10);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    AmplificationTest,
    ::testing::Values(AmplificationCase{"NotSent", kNotSent, 0, false},
                      AmplificationCase{"Refused", kRefused, 0, false},
                      AmplificationCase{"Failed", kFailed, 0, false},
                      AmplificationCase{"LateHedged", kLate, 0, true},
                      AmplificationCase{"FullNotSent", kNotSent, 9000, false},
                      AmplificationCase{"FullLateHedged", kLate, 9000, true}),
    [](const auto& info) { return info.param.name; });

class SeededRetryTest : public ::testing::TestWithParam<int> {};
INSTANTIATE_TEST_SUITE_P(Seeds,
                         SeededRetryTest,
                         ::testing::Range(1, kSeeds + 1));

// Guards against a mix of outcomes that exceeds the retry budget.
TEST_P(SeededRetryTest, ExtraAttemptsStayWithinATenthForRandomOutcomes) {
  Random random(static_cast<uint64_t>(GetParam()));
  const AttemptOutcome outcomes[] = {kCompleted,      kNotSent, kRefused,
                                     kOutcomeUnknown, kFailed,  kLate};
  const Stage stage;
  RetryBudget budget;
  for (int i = 0; i < 2000; ++i) {
    RecordFirstAttempt(budget);
    for (int32_t attempts_made = 1;; ++attempts_made) {
      const AttemptOutcome outcome = outcomes[random.Below(6)];
      RecordStageOutcome(budget, outcome == kCompleted);
      if (outcome == kCompleted ||
          DecideRetry(stage, MakeFailure(outcome, attempts_made),
                      RoutingPolicy::kDefault, budget)
                  .action == RetryAction::kGiveUp) {
        break;
      }
    }
    // The first attempts have earned the initial tokens after 50 of them.
    if (i >= 50) {
      ASSERT_LE(budget.extra_attempts * 10, budget.first_attempts) << i;
    }
  }
  EXPECT_GT(budget.extra_attempts, 150U);
}

struct HedgeCase {
  const char* name;
  bool is_idempotent;
  StageRole role;
  double weight;
  bool is_hedged;
};

class HedgeTest : public ::testing::TestWithParam<HedgeCase> {};

// Guards against hedges of calls that are not idempotent, of streams, and of
// stages for which cost weighs as much as attainment.
TEST_P(HedgeTest, HedgesOnlyIdempotentCallsWithHighWeight) {
  Stage stage;
  stage.name = StageId("s");
  stage.idempotent = GetParam().is_idempotent;
  stage.role = GetParam().role;
  ServiceTimeEstimator estimator;
  EXPECT_EQ(HedgeDelay(stage, estimator, 0, GetParam().weight,
                       RoutingPolicy::kDefault)
                .has_value(),
            GetParam().is_hedged);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    HedgeTest,
    ::testing::Values(
        HedgeCase{"Allowed", true, StageRole::kRerank, 0.8, true},
        HedgeCase{"NotIdempotent", false, StageRole::kService, 0.8, false},
        HedgeCase{"Stream", true, StageRole::kGenerate, 0.8, false},
        HedgeCase{"Cost", true, StageRole::kRerank, 0.5, false}),
    [](const auto& info) { return info.param.name; });

// Guards against hedges for more than 2% of the first attempts.
TEST(HedgeBudgetTest, AllowsTwoPercent) {
  const Stage stage;
  RetryBudget budget;
  int hedges = 0;
  for (int i = 0; i < 1000; ++i) {
    RecordFirstAttempt(budget);
    RecordStageOutcome(budget, true);
    hedges += DecideHedge(stage, 1, budget) ? 1 : 0;
  }
  EXPECT_LE(hedges, 20);
  EXPECT_GE(hedges, 15);
}

}  // namespace
}  // namespace peridotmill::testing
