#include "peridotmill_gateway/admission/stage_admission.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// The most urgent requests are accepted up to this multiple of their target,
// for the prediction is not exact; each step of priority lowers it.
constexpr double kTargetFactor = 1.0;
constexpr double kFactorStep = 0.1;
constexpr double kLeastFactor = 0.6;
// Returning callers are accepted while they are served well within their
// patience.
constexpr double kReturningShare = 0.6;
// Callers honour up to this share of the time they have left.
constexpr double kHonouredShare = 1.0 / 3;
constexpr Duration kShortestRetry = std::chrono::milliseconds(250);
// Callers that are refused together return over this multiple of the delay.
constexpr double kSpreadFactor = 0.5;

Duration Scale(Duration duration, double factor) {
  return FromMilliseconds(ToMilliseconds(duration) * factor);
}

}  // namespace

std::optional<Duration> RefuseForQueue(const StageAdmissionInput& input,
                                       double spread) {
  const double factor =
      std::max(kLeastFactor, kTargetFactor - kFactorStep * input.priority);
  const Duration limit = input.is_returning
                             ? Scale(input.patience, kReturningShare)
                             : Scale(input.target_latency, factor);
  if (input.predicted <= limit) {
    return std::nullopt;
  }
  // The queue has drained to the limit by then.
  const Duration drained = std::max(kShortestRetry, input.predicted - limit);
  return std::min(Scale(drained, 1 + kSpreadFactor * spread),
                  Scale(input.time_left, kHonouredShare));
}

}  // namespace peridotmill
