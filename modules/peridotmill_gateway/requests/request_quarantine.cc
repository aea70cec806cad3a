#include <algorithm>

#include "peridotmill_gateway/requests/gateway_request.h"

namespace peridotmill {
namespace {

constexpr int kFirstNonSuccess = 300;
// The store counts a probe within milliseconds.
constexpr Duration kProbeCheckInterval = std::chrono::milliseconds(10);
// A stream with this many events shows that the engine does not crash on the
// request. The first event may still leave an engine that crashes.
constexpr uint64_t kEventsThatClearRequest = 2;

}  // namespace

const std::vector<SuspectId>& GatewayRequest::Suspects() {
  if (!id_ && context_.quarantine != nullptr &&
      context_.quarantine->MayConcern(fingerprint_)) {
    Identify();
  }
  return suspects_;
}

SuspectId GatewayRequest::Identify() {
  if (!id_) {
    id_ = IdentifyRequest(team_, request_);
    suspects_.push_back(*id_);
  }
  return *id_;
}

bool GatewayRequest::MayPassQuarantine(void (GatewayRequest::*next)()) {
  quarantine_timer_.reset();
  if (context_.quarantine == nullptr) {
    return true;
  }
  const QuarantineVerdict verdict =
      context_.quarantine->TryRun(request_.id, Suspects());
  switch (verdict.kind) {
    case QuarantineVerdict::Kind::kRun:
      return true;
    case QuarantineVerdict::Kind::kRefuse:
      Fail(Reason::kRequestQuarantined, verdict.retry_after);
      return false;
    case QuarantineVerdict::Kind::kAwaitProbe:
      quarantine_timer_ = context_.timers.After(
          kProbeCheckInterval, [this, next] { (this->*next)(); });
      return false;
  }
  return true;
}

void GatewayRequest::OnQuarantined(const std::vector<SuspectId>& quarantined) {
  if (is_ended_) {
    return;
  }
  const std::vector<SuspectId>& own = Suspects();
  if (std::find_first_of(own.begin(), own.end(), quarantined.begin(),
                         quarantined.end()) == own.end()) {
    return;
  }
  const auto left = context_.quarantine->QuarantineLeft(own);
  if (!left) {
    // Another node has reported a quarantine that is over.
    return;
  }
  if (call_ != nullptr) {
    if (AttemptEventCount() > 0 || is_response_head_sent_) {
      return;
    }
    EndAttempt(CallOutcome::kCancelled, AttemptOutcome::kOutcomeUnknown);
  }
  Fail(Reason::kRequestQuarantined, *left);
}

void GatewayRequest::RecordProgress(uint64_t events_before) {
  const uint64_t before = events_before - events_before_attempt_;
  if (context_.quarantine != nullptr && before < kEventsThatClearRequest &&
      AttemptEventCount() >= kEventsThatClearRequest) {
    context_.quarantine->RecordSuccess(Suspects());
  }
}

void GatewayRequest::RecordAttemptEnd(HttpCallEnd end) {
  if (context_.quarantine == nullptr || end == HttpCallEnd::kNotSent) {
    return;
  }
  // A response that ends with its connection looks complete after a crash too.
  const bool is_cut_stream =
      IsAuthenticStreamResponse() &&
      (AttemptEventCount() == 0 || event_splitter_.ends_inside_event());
  if (end == HttpCallEnd::kComplete && !is_cut_stream) {
    if (response_head_.status < kFirstNonSuccess &&
        response_head_.is_authentic) {
      context_.quarantine->RecordSuccess(Suspects());
    }
    return;
  }
  if (AttemptEventCount() < kEventsThatClearRequest) {
    is_crash_suspect_ = true;
    context_.quarantine->RecordCrash(
        request_.id,
        {endpoint_->registration.id, endpoint_->registration.started_at_ms},
        attempt_started_at_, Identify(), prompt_parts_);
  }
}

}  // namespace peridotmill
