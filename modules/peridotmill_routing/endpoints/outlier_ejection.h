#ifndef PERIDOTMILL_ROUTING_ENDPOINTS_OUTLIER_EJECTION_H_
#define PERIDOTMILL_ROUTING_ENDPOINTS_OUTLIER_EJECTION_H_

#include "peridotmill_core/attempts/attempt_outcome.h"
#include "peridotmill_routing/endpoints/endpoint_table.h"

namespace peridotmill {

// Consecutive failures that eject an endpoint. A failed connection ejects
// immediately: the endpoint may be gone although the host list, which lags,
// still contains it.
inline constexpr int32_t kFailuresToEject = 3;
// Duration of the first ejection. It doubles with each further ejection without
// a success in between, up to kMaxEjectionTime.
inline constexpr Duration kBaseEjectionTime = std::chrono::seconds(1);
inline constexpr Duration kMaxEjectionTime = std::chrono::seconds(60);
// An endpoint is ejected when its latency ratio exceeds the median of its pool
// by more than this factor.
inline constexpr double kEjectionLatencyRatio = 4.0;

// Updates the failure count, latency ratio and ejection of `view` after an
// attempt has ended.
void RecordHealth(EndpointTable& table,
                  EndpointView& view,
                  AttemptOutcome outcome,
                  Duration elapsed,
                  Duration expected,
                  TimePoint now);

// Returns the smoothed latency ratio. Without new samples it decays to 1, so
// that an endpoint that may have recovered is selected again.
double DecayedLatencyRatio(const EndpointView& view, TimePoint now);

// Returns whether the endpoint is listed, not leaving and not ejected at `now`.
inline bool IsUsable(const EndpointView& view, TimePoint now) {
  return view.is_listed && !view.is_leaving && view.ejected_until <= now;
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ENDPOINTS_OUTLIER_EJECTION_H_
