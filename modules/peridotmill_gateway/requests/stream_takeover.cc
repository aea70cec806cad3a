#include <algorithm>
#include <cmath>
#include <string>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/requests/gateway_request.h"

namespace peridotmill {
namespace {

// Interval at which a stream without an engine looks for one.
constexpr Duration kResumeCheckInterval = std::chrono::milliseconds(100);

}  // namespace

void GatewayRequest::OnProgressTimeout() {
  progress_timer_.reset();
  if (call_ == nullptr || IsPlainResponseStarted() || is_preparing_takeover_) {
    return;
  }
  if (gateway_->stop_ && IsStreamStarted()) {
    // The node may exit before another engine has finished the stream.
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
  if (IsStreamStarted()) {
    abandoned_engine_ = endpoint_->registration.id;
  }
}

void GatewayRequest::TakeOver() {
  is_preparing_takeover_ = false;
  if (call_ != nullptr) {
    const bool is_quarantined =
        context_.quarantine != nullptr &&
        context_.quarantine->IsAnyQuarantined(Suspects());
    if (gateway_->stop_) {
      CancelTakeover("stopping");
      return;
    }
    if (is_quarantined || !CanTakeOver(HistoryAfterAbandonment())) {
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

bool GatewayRequest::WaitToResume() {
  const TimePoint end = std::min(deadline_, last_event_at_ + CallerTimeout());
  if (abandoned_engine_.empty() || !attempt_history_.MayRetry(*route_) ||
      context_.clock.Now() + kResumeCheckInterval >= end) {
    return false;
  }
  resume_timer_ =
      context_.timers.After(kResumeCheckInterval, [this] { TryToResume(); });
  return true;
}

void GatewayRequest::TryToResume() {
  resume_timer_.reset();
  if (!HasUntriedEndpoint(attempt_history_)) {
    // Those that refused may have room now, and the silent one may go on.
    attempt_history_.AllowAgain(abandoned_engine_);
  }
  if (HasUntriedEndpoint(attempt_history_) &&
      context_.retry_budget.TryTakeRetries(pool_, 1, context_.clock.Now())) {
    ++gateway_->counters_.repeats;
    StartAttempt();
  } else if (!WaitToResume()) {
    Fail(Reason::kNoEndpoint, EndpointRetryAfter());
  }
}

}  // namespace peridotmill
