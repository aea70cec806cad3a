#ifndef PERIDOTMILL_CORE_REASONS_REASON_H_
#define PERIDOTMILL_CORE_REASONS_REASON_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace peridotmill {

// Why a request was refused, an attempt repeated or an answer dropped. Each
// reason has a counter. The order is that of the table in reason.cc.
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
  // Retries.
  kConnectFailed,
  kEndpointRefused,
  kEndpointFailed,
  kStreamBroken,
  kAttemptTimeout,
  kHedge,
  kRetryBudgetExhausted,
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

// Whether a refused request was run. The word given to a caller is always
// true: kNotRun only when no attempt can have run.
enum class Execution : uint8_t { kNotRun, kRan, kUnknown };

struct ReasonInfo {
  Reason reason;
  ReasonKind kind;
  // Name in answers, logs and metrics, in snake case.
  std::string_view name;
  // What happened, for operators.
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
