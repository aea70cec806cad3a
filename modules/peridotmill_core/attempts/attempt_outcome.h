#ifndef PERIDOTMILL_CORE_ATTEMPTS_ATTEMPT_OUTCOME_H_
#define PERIDOTMILL_CORE_ATTEMPTS_ATTEMPT_OUTCOME_H_

#include <cstdint>

namespace peridotmill {

// What this process knows, when an attempt ends, about whether the endpoint
// executed the call.
enum class AttemptOutcome : uint8_t {
  kCompleted,
  // This process sent no byte of the call.
  kNotSent,
  // The endpoint responded that it did not execute the call.
  kRefused,
  // This process may have sent bytes but received no complete response.
  kOutcomeUnknown,
  // The endpoint executed the call and reported a failure.
  kFailed,
  // The response arrived after the attempt's deadline.
  kLate,
};

// Returns true if the endpoint certainly did not execute the call, so that even
// a call that is not idempotent may be retried.
constexpr bool IsKnownNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kRefused;
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_ATTEMPTS_ATTEMPT_OUTCOME_H_
