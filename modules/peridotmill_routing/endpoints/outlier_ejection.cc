#include "peridotmill_routing/endpoints/outlier_ejection.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

constexpr double kLatencySmoothing = 0.2;
// Caps the ratio of a single call so that one outlier cannot cause an ejection.
constexpr double kMaxSampleLatencyRatio = 20.0;
constexpr int32_t kMinLatencySamples = 8;
constexpr Duration kLatencyHalfLife = std::chrono::seconds(10);

bool CountsTowardEjectionLimit(const EndpointView& view) {
  return view.is_listed && !view.is_leaving;
}

// Returns whether another endpoint of the pool may be ejected. At most a third
// may be, so that a failure with a common cause cannot eject the whole pool.
bool IsEjectionAllowed(const EndpointTable& table,
                       const PoolId& pool,
                       TimePoint now) {
  const auto found = table.pools.find(pool);
  if (found == table.pools.end()) {
    return false;
  }
  size_t listed = 0;
  size_t ejected = 0;
  for (const uint32_t position : found->second.members) {
    const EndpointView& view = table.endpoints[position];
    if (CountsTowardEjectionLimit(view)) {
      ++listed;
      ejected += view.ejected_until > now || view.is_on_probation ? 1 : 0;
    }
  }
  return (ejected + 1) * 3 <= listed;
}

void Eject(EndpointTable& table, EndpointView& view, TimePoint now) {
  // After a failed probe the endpoint already counts as ejected in
  // IsEjectionAllowed().
  if (!view.is_on_probation && !IsEjectionAllowed(table, view.pool, now)) {
    return;
  }
  const int32_t doublings = std::min(view.consecutive_ejections, 6);
  view.ejected_until =
      now + std::min<Duration>(kBaseEjectionTime * (1 << doublings),
                               kMaxEjectionTime);
  view.is_on_probation = true;
  ++view.consecutive_ejections;
}

double PoolMedianLatencyRatio(const EndpointTable& table,
                              const PoolId& pool,
                              TimePoint now) {
  std::vector<double> ratios;
  for (const uint32_t position : table.pools.at(pool).members) {
    const EndpointView& view = table.endpoints[position];
    if (view.latency_samples >= kMinLatencySamples) {
      ratios.push_back(DecayedLatencyRatio(view, now));
    }
  }
  if (ratios.size() < 3) {
    return 0;
  }
  const auto middle =
      ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  return *middle;
}

void RecordLatency(EndpointView& view, double ratio, TimePoint now) {
  const double sample = std::min(ratio, kMaxSampleLatencyRatio);
  const double before = DecayedLatencyRatio(view, now);
  // A probe's latency has a weight of one half, so that a recovered endpoint
  // quickly loses the high ratio that led to its ejection.
  const double weight = view.is_on_probation ? 0.5 : kLatencySmoothing;
  view.latency_ratio = before + weight * (sample - before);
  view.latency_updated_at = now;
  ++view.latency_samples;
}

}  // namespace

double DecayedLatencyRatio(const EndpointView& view, TimePoint now) {
  return 1.0 +
         (view.latency_ratio - 1.0) *
             ExponentialDecay(now - view.latency_updated_at, kLatencyHalfLife);
}

void RecordHealth(EndpointTable& table,
                  EndpointView& view,
                  AttemptOutcome outcome,
                  Duration elapsed,
                  Duration expected,
                  TimePoint now) {
  if (expected > Duration::zero() && (outcome == AttemptOutcome::kCompleted ||
                                      outcome == AttemptOutcome::kLate)) {
    RecordLatency(view, ToMilliseconds(elapsed) / ToMilliseconds(expected),
                  now);
  }
  if (outcome != AttemptOutcome::kCompleted) {
    view.consecutive_failures +=
        outcome == AttemptOutcome::kNotSent ? kFailuresToEject : 1;
    view.failed_at = now;
    if (view.is_on_probation || view.consecutive_failures >= kFailuresToEject) {
      Eject(table, view, now);
    }
    return;
  }
  view.consecutive_failures = 0;
  // Computes the pool's median only when the endpoint's own ratio is high.
  if (view.latency_samples >= kMinLatencySamples &&
      view.latency_ratio > kEjectionLatencyRatio) {
    const double median = PoolMedianLatencyRatio(table, view.pool, now);
    if (median > 0 && view.latency_ratio > kEjectionLatencyRatio * median) {
      Eject(table, view, now);
      return;
    }
  }
  view.is_on_probation = false;
  view.consecutive_ejections = 0;
}

}  // namespace peridotmill
