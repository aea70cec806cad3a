#ifndef PERIDOTMILL_CORE_REASONS_REASON_H_
#define PERIDOTMILL_CORE_REASONS_REASON_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace peridotmill {

// Why a request was refused, an attempt retried, or a response or frame
// dropped. Each reason has a counter. The table in reason.cc has the same
// order.
enum class Reason : uint8_t {
  // Refusals.
  kMissingToken,
  kUnknownTeam,
  kPipelineNotAllowed,
  kUnknownPipeline,
  kBadRequest,
  kBodyTooLarge,
  kBadDeadline,
  kDeadlineExpired,
  kDeadlineUnreachable,
  kQueueFull,
  kTeamShareExceeded,
  kNoEndpoint,
  kStageFailed,
  kAnswerTooLarge,
  kKeyRequired,
  kKeyReused,
  kKeyExpired,
  kActionInProgress,
  kActionUnknown,
  kActionNotFound,
  kStoreUnavailable,
  kClaimTableFull,
  kNotConfigured,
  kShuttingDown,
  kCallerGone,
  kRequestQuarantined,
  kConfigurationOutdated,
  kStreamVersionUnknown,
  kStreamVersionGone,
  // Retries.
  kConnectFailed,
  kEndpointRefused,
  kEndpointFailed,
  kStreamBroken,
  kAttemptTimeout,
  kHedge,
  kRetryBudgetExhausted,
  kRequestSuspected,
  // Drops.
  kAnswerMismatch,
  kAnswerLate,
  kFragmentRepeated,
  kPeerFrameMalformed,
  kPeerNotAuthenticated,
};
inline constexpr size_t kReasonCount =
    static_cast<size_t>(Reason::kPeerNotAuthenticated) + 1;

enum class ReasonKind : uint8_t { kRefusal, kRetry, kDrop };

// Whether a refused request was executed. A caller must be able to rely on the
// value: kNotRun is reported only if no attempt can have been executed.
enum class Execution : uint8_t { kNotRun, kRan, kUnknown };

// Properties of one reason.
struct ReasonInfo {
  Reason reason;
  ReasonKind kind;
  // Name in responses, logs and metrics, in snake case.
  std::string_view name;
  // Explanation for callers and operators.
  std::string_view description;
  // HTTP status of a refusal; 0 for other kinds.
  int http_status;
};

const std::array<ReasonInfo, kReasonCount>& AllReasons();
const ReasonInfo& GetReasonInfo(Reason reason);
std::string_view ToString(Reason reason);
std::string_view ToString(ReasonKind kind);
std::string_view ToString(Execution execution);

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_REASONS_REASON_H_
