#include <cmath>
#include <string>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/requests/gateway_request.h"

namespace peridotmill {

void GatewayRequest::OnProgressTimeout() {
  progress_timer_.reset();
  if (call_ == nullptr || IsPlainResponseStarted() || is_preparing_takeover_) {
    return;
  }
  // Ending the attempt is final, so whatever its replacement needs is secured
  // first.
  const AttemptHistory next = HistoryAfterAbandonment();
  if (IsUnfinishable() || !next.MayRetry(*route_) || !CanTakeOver(next) ||
      (are_results_released_ && !TryTakeStageRerun()) ||
      !context_.retry_budget.TryTakeRetries(pool_, 1, context_.clock.Now())) {
    return;
  }
  if (!are_results_released_) {
    AbandonAttempt();
    StartAttempt();
    return;
  }
  is_preparing_takeover_ = true;
  context_.events.Write("takeover_prepared",
                        {{"request", request_.id.value()},
                         {"endpoint", endpoint_->registration.id.value()},
                         {"events", std::to_string(AttemptEventCount())}});
  BeginStageRerun();
}

AttemptHistory GatewayRequest::HistoryAfterAbandonment() const {
  AttemptHistory history = attempt_history_;
  history.Add(endpoint_->registration.id, AttemptOutcome::kOutcomeUnknown);
  return history;
}

void GatewayRequest::AbandonAttempt() {
  ++gateway_->counters_.repeats;
  gateway_->reasons_.Add(Reason::kAttemptTimeout);
  context_.events.Write(
      "attempt_abandoned",
      {{"request", request_.id.value()},
       {"endpoint", endpoint_->registration.id.value()},
       {"events", std::to_string(AttemptEventCount())},
       {"ms", std::to_string(std::lround(ToMilliseconds(
                  context_.clock.Now() - attempt_started_at_)))}});
  EndAttempt(CallOutcome::kFailure, AttemptOutcome::kOutcomeUnknown);
}

void GatewayRequest::TakeOver() {
  is_preparing_takeover_ = false;
  if (call_ != nullptr) {
    const bool is_quarantined =
        context_.quarantine != nullptr &&
        context_.quarantine->QuarantineLeft(prompt_parts_);
    if (is_quarantined || IsUnfinishable() ||
        !CanTakeOver(HistoryAfterAbandonment())) {
      CancelTakeover(is_quarantined ? "quarantined" : "no_endpoint");
      return;
    }
    AbandonAttempt();
  }
  StartAttempt();
}

void GatewayRequest::CancelTakeover(std::string_view reason) {
  is_preparing_takeover_ = false;
  for (auto& task : stage_tasks_) {
    task.reset();
  }
  are_results_released_ = true;
  context_.events.Write(
      "takeover_cancelled",
      {{"request", request_.id.value()}, {"reason", std::string(reason)}});
  RestartProgressTimer();
}

}  // namespace peridotmill
