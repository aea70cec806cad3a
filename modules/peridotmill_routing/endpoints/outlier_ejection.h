#ifndef PERIDOTMILL_ROUTING_ENDPOINTS_OUTLIER_EJECTION_H_
#define PERIDOTMILL_ROUTING_ENDPOINTS_OUTLIER_EJECTION_H_

#include "peridotmill_core/attempts/attempt_outcome.h"
#include "peridotmill_routing/endpoints/endpoint_table.h"

namespace peridotmill {

// Failures in a row that eject an endpoint. A failed connection ejects at
// once: the host list lags, and nothing can be done at such an endpoint.
inline constexpr int32_t kFailuresToEject = 3;
// An ejection lasts this long, doubled each time without a success between.
inline constexpr Duration kBaseEjection = std::chrono::seconds(1);
inline constexpr Duration kMaxEjection = std::chrono::seconds(60);
// An endpoint this many times slower than its pool's median is ejected.
inline constexpr double kSlowRatio = 4.0;

// Updates failures, latency and ejection of `view` from an ended attempt.
void RecordHealth(EndpointTable& table,
                  EndpointView& view,
                  AttemptOutcome outcome,
                  Duration elapsed,
                  Duration expected,
                  TimePoint now);

// The smoothed latency ratio, which fades to 1 while there are no samples so
// that a recovered endpoint is tried again.
double AgedLatencyRatio(const EndpointView& view, TimePoint now);

// Listed, not leaving and not ejected at `now`.
inline bool IsUsable(const EndpointView& view, TimePoint now) {
  return view.is_listed && !view.is_leaving && view.ejected_until <= now;
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ENDPOINTS_OUTLIER_EJECTION_H_
