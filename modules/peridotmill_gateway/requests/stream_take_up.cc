#include <algorithm>
#include <iterator>

#include "peridotmill_gateway/requests/gateway_request.h"

namespace peridotmill {
namespace {

// A refused caller may begin anew after about the duration of one call.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(300);
constexpr Duration kVersionCheckInterval = std::chrono::milliseconds(10);

}  // namespace

bool GatewayRequest::MayTakeUpStream() {
  const bool is_taken_up = route_->is_resumable &&
                           request_.resume_after_event &&
                           !request_.resume_after_event->empty();
  if (!is_taken_up || stream_version_ || context_.stream_versions == nullptr) {
    return true;
  }
  version_timer_.reset();
  const StreamVersionVerdict verdict = context_.stream_versions->Find(
      pool_, team_, request_.resumed_request, accepted_at_);
  switch (verdict.kind) {
    case StreamVersionVerdict::Kind::kKnown:
      stream_version_ = verdict.version;
      context_.stream_versions->Bind(pool_, team_, request_.resumed_request,
                                     verdict.version);
      if (Candidates().empty()) {
        Fail(Reason::kStreamVersionGone, kDefaultRetryAfter);
        return false;
      }
      return true;
    case StreamVersionVerdict::Kind::kUnknown:
      Fail(Reason::kStreamVersionUnknown, kDefaultRetryAfter);
      return false;
    case StreamVersionVerdict::Kind::kWait:
      version_timer_ =
          context_.timers.After(kVersionCheckInterval, [this] { Begin(); });
      return false;
  }
  return true;
}

void GatewayRequest::BindStreamVersion() {
  if (stream_version_ || !route_->is_resumable) {
    return;
  }
  stream_version_ = attempt_version_;
  if (context_.stream_versions != nullptr) {
    context_.stream_versions->Bind(pool_, team_, request_.id, attempt_version_);
  }
}

const std::vector<EndpointPtr>& GatewayRequest::Candidates() const {
  const std::vector<EndpointPtr>& serving = context_.endpoints.Serving(pool_);
  if (!stream_version_) {
    return serving;
  }
  candidates_.clear();
  std::copy_if(serving.begin(), serving.end(), std::back_inserter(candidates_),
               [this](const EndpointPtr& endpoint) {
                 return endpoint->registration.software_version ==
                        *stream_version_;
               });
  return candidates_;
}

}  // namespace peridotmill
