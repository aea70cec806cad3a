#ifndef PERIDOTMILL_CORE_ATTEMPTS_ATTEMPT_OUTCOME_H_
#define PERIDOTMILL_CORE_ATTEMPTS_ATTEMPT_OUTCOME_H_

#include <cstdint>

namespace peridotmill {

// What is known about an attempt when it ends.
enum class AttemptOutcome : uint8_t {
  kCompleted,
  // No byte left this process.
  kNotSent,
  // The endpoint answered that it did not run the call.
  kRefused,
  // Bytes may have left and no complete answer came.
  kOutcomeUnknown,
  // The endpoint ran the call and reported a failure.
  kFailed,
  // The answer came after the attempt's deadline.
  kLate,
};

// Whether a call that is not idempotent may be attempted again.
constexpr bool IsKnownNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kNotSent ||
         outcome == AttemptOutcome::kRefused;
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_ATTEMPTS_ATTEMPT_OUTCOME_H_
