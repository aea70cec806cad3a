#ifndef PERIDOTMILL_CORE_TIME_MILLISECONDS_H_
#define PERIDOTMILL_CORE_TIME_MILLISECONDS_H_

#include <chrono>
#include <cmath>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// Returns a duration in milliseconds with a fraction, for scores and
// statistics.
inline double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Converts milliseconds to a duration. Clamps the value to one hour in either
// direction, so that infinite values do not overflow Duration.
inline Duration FromMilliseconds(double milliseconds) {
  constexpr double kHourMs = 3'600'000;
  const double bounded = std::fmin(std::fmax(milliseconds, -kHourMs), kHourMs);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(bounded));
}

// Returns the weight of a sample of the given age: 1 for a new sample, 0.5
// after `half_life`.
inline double ExponentialDecay(Duration age, Duration half_life) {
  if (age <= Duration::zero()) {
    return 1.0;
  }
  return std::exp2(-ToMilliseconds(age) / ToMilliseconds(half_life));
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_TIME_MILLISECONDS_H_
