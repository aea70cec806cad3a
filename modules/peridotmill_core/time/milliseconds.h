#ifndef PERIDOTMILL_CORE_TIME_MILLISECONDS_H_
#define PERIDOTMILL_CORE_TIME_MILLISECONDS_H_

#include <chrono>
#include <cmath>

#include "peridotmill_core/time/clock.h"

namespace peridotmill {

// A duration as a fraction of milliseconds, for scores and statistics.
inline double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Durations beyond the range of the clock are cut to an hour.
inline Duration FromMilliseconds(double milliseconds) {
  constexpr double kHour = 3'600'000;
  const double bounded = std::fmin(std::fmax(milliseconds, -kHour), kHour);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(bounded));
}

// Weight of something that is `age` old; 1 when new, 0.5 after `half_life`.
inline double ExponentialDecay(Duration age, Duration half_life) {
  if (age <= Duration::zero()) {
    return 1.0;
  }
  return std::exp2(-ToMilliseconds(age) / ToMilliseconds(half_life));
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_CORE_TIME_MILLISECONDS_H_
