#include "peridotmill_core/reasons/reason.h"

namespace peridotmill {
namespace {

using enum Reason;
constexpr ReasonKind kRefusal = ReasonKind::kRefusal;
constexpr ReasonKind kRetry = ReasonKind::kRetry;
constexpr ReasonKind kDrop = ReasonKind::kDrop;

constexpr std::array<ReasonInfo, kReasonCount> kReasons = {{
    {kMissingToken, kRefusal, "missing_token", "no bearer token was given",
     401},
    {kUnknownTeam, kRefusal, "unknown_team", "the token belongs to no team",
     401},
    {kPipelineNotAllowed, kRefusal, "pipeline_not_allowed",
     "the team may not use the pipeline", 403},
    {kUnknownPipeline, kRefusal, "unknown_pipeline",
     "no pipeline has this name", 404},
    {kBadRequest, kRefusal, "bad_request", "the request is malformed", 400},
    {kBodyTooLarge, kRefusal, "body_too_large",
     "the request body exceeds the limit", 413},
    {kBadDeadline, kRefusal, "bad_deadline",
     "the deadline is not a positive number of milliseconds", 400},
    {kDeadlineExpired, kRefusal, "deadline_expired",
     "the deadline passed before the answer was complete", 504},
    {kDeadlineUnreachable, kRefusal, "deadline_unreachable",
     "the request cannot finish within its deadline", 503},
    {kQueueFull, kRefusal, "queue_full", "the queue of a stage's pool is full",
     503},
    {kTeamShareExceeded, kRefusal, "team_share_exceeded",
     "the team is over its share of a saturated pool", 429},
    {kNoEndpoint, kRefusal, "no_endpoint",
     "no endpoint of a stage's pool is usable", 503},
    {kStageFailed, kRefusal, "stage_failed",
     "a stage failed and may not be repeated", 502},
    {kAnswerTooLarge, kRefusal, "answer_too_large",
     "an endpoint's answer exceeds the limit", 502},
    {kKeyRequired, kRefusal, "key_required",
     "the pipeline needs an Idempotency-Key", 400},
    {kKeyReused, kRefusal, "key_reused",
     "the key was used with another request body", 422},
    {kKeyExpired, kRefusal, "key_expired",
     "the key is older than the retention of outcomes", 410},
    {kActionInProgress, kRefusal, "action_in_progress",
     "the action is still running under this key", 409},
    {kActionUnknown, kRefusal, "action_unknown",
     "the outcome of the action under this key is unknown", 409},
    {kActionNotFound, kRefusal, "action_not_found",
     "no action is known under this key", 404},
    {kStoreUnavailable, kRefusal, "store_unavailable",
     "the platform store does not answer", 503},
    {kClaimTableFull, kRefusal, "claim_table_full",
     "the table of claims is full", 503},
    {kNotConfigured, kRefusal, "not_configured",
     "the node has no configuration yet", 503},
    {kShuttingDown, kRefusal, "shutting_down", "the node is shutting down",
     503},
    {kCallerGone, kRefusal, "caller_gone", "the caller closed the connection",
     499},
    {kRequestQuarantined, kRefusal, "request_quarantined",
     "endpoints crash on the request or a part of its prompt", 503},
    {kConfigurationOutdated, kRefusal, "configuration_outdated",
     "the node is about to receive a newer configuration", 503},
    {kStreamVersionUnknown, kRefusal, "stream_version_unknown",
     "it is not known which software version began the stream", 503},
    {kStreamVersionGone, kRefusal, "stream_version_gone",
     "no endpoint has the software version that began the stream", 503},
    {kConnectFailed, kRetry, "connect_failed",
     "no connection to the endpoint; nothing was sent", 0},
    {kEndpointRefused, kRetry, "endpoint_refused",
     "the endpoint answered that it did not run the call", 0},
    {kEndpointFailed, kRetry, "endpoint_failed",
     "the endpoint answered with a failure", 0},
    {kStreamBroken, kRetry, "stream_broken",
     "the connection broke before the answer was complete", 0},
    {kAttemptTimeout, kRetry, "attempt_timeout",
     "the attempt exceeded its share of the deadline", 0},
    {kHedge, kRetry, "hedge", "a second attempt was started beside a slow one",
     0},
    {kRetryBudgetExhausted, kRetry, "retry_budget_exhausted",
     "a retry was withheld because the stage's budget is spent", 0},
    {kRequestSuspected, kRetry, "request_suspected",
     "a retry was withheld because endpoints may crash on the request", 0},
    {kAnswerMismatch, kDrop, "answer_mismatch",
     "an answer carried the identity of another attempt", 0},
    {kAnswerLate, kDrop, "answer_late",
     "an answer came after its attempt had ended", 0},
    {kFragmentRepeated, kDrop, "fragment_repeated",
     "a stream fragment was delivered before", 0},
    {kPeerFrameMalformed, kDrop, "peer_frame_malformed",
     "a peer sent a frame that cannot be read", 0},
    {kPeerNotAuthenticated, kDrop, "peer_not_authenticated",
     "a peer did not prove the shared key", 0},
}};

constexpr bool TableIsInEnumOrder() {
  for (size_t i = 0; i < kReasons.size(); ++i) {
    if (static_cast<size_t>(kReasons[i].reason) != i) {
      return false;
    }
  }
  return true;
}
static_assert(TableIsInEnumOrder());

}  // namespace

const std::array<ReasonInfo, kReasonCount>& AllReasons() {
  return kReasons;
}

const ReasonInfo& GetReasonInfo(Reason reason) {
  return kReasons[static_cast<size_t>(reason)];
}

std::string_view ToString(Reason reason) {
  return GetReasonInfo(reason).name;
}

std::string_view ToString(ReasonKind kind) {
  switch (kind) {
    case ReasonKind::kRefusal:
      return "refusal";
    case ReasonKind::kRetry:
      return "retry";
    case ReasonKind::kDrop:
      return "drop";
  }
  return "";
}

std::string_view ToString(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "not_run";
    case Execution::kRan:
      return "ran";
    case Execution::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace peridotmill
