#include "peridotmill_routing/endpoints/outlier_ejection.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

constexpr double kLatencySmoothing = 0.2;
// Ratios of single calls are capped so that one outlier cannot eject.
constexpr double kMaxSampleRatio = 20.0;
constexpr int32_t kMinLatencySamples = 8;
constexpr Duration kLatencyHalfLife = std::chrono::seconds(10);

bool CountsForFloor(const EndpointView& view) {
  return view.is_listed && !view.is_leaving;
}

// Whether another endpoint of the pool may be ejected: at most a third, so
// that a common cause cannot eject the whole pool.
bool MayEject(const EndpointTable& table, const PoolId& pool, TimePoint now) {
  const auto found = table.pools.find(pool);
  if (found == table.pools.end()) {
    return false;
  }
  size_t listed = 0;
  size_t ejected = 0;
  for (const uint32_t position : found->second.members) {
    const EndpointView& view = table.endpoints[position];
    if (CountsForFloor(view)) {
      ++listed;
      ejected += view.ejected_until > now || view.is_on_probation ? 1 : 0;
    }
  }
  return (ejected + 1) * 3 <= listed;
}

void Eject(EndpointTable& table, EndpointView& view, TimePoint now) {
  // A failed probe extends an ejection that the floor already counts.
  if (!view.is_on_probation && !MayEject(table, view.pool, now)) {
    return;
  }
  const int32_t doublings = std::min(view.ejections, 6);
  view.ejected_until =
      now + std::min<Duration>(kBaseEjection * (1 << doublings), kMaxEjection);
  view.is_on_probation = true;
  ++view.ejections;
}

double PoolMedianRatio(const EndpointTable& table,
                       const PoolId& pool,
                       TimePoint now) {
  std::vector<double> ratios;
  for (const uint32_t position : table.pools.at(pool).members) {
    const EndpointView& view = table.endpoints[position];
    if (view.latency_samples >= kMinLatencySamples) {
      ratios.push_back(AgedLatencyRatio(view, now));
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
  const double sample = std::min(ratio, kMaxSampleRatio);
  const double before = AgedLatencyRatio(view, now);
  // A probe's latency replaces half of what led to the ejection.
  const double weight = view.is_on_probation ? 0.5 : kLatencySmoothing;
  view.latency_ratio = before + weight * (sample - before);
  view.latency_at = now;
  ++view.latency_samples;
}

}  // namespace

double AgedLatencyRatio(const EndpointView& view, TimePoint now) {
  return 1.0 + (view.latency_ratio - 1.0) *
                   ExponentialDecay(now - view.latency_at, kLatencyHalfLife);
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
  // The median is only computed for endpoints that are slow by themselves.
  if (view.latency_samples >= kMinLatencySamples &&
      view.latency_ratio > kSlowRatio) {
    const double median = PoolMedianRatio(table, view.pool, now);
    if (median > 0 && view.latency_ratio > kSlowRatio * median) {
      Eject(table, view, now);
      return;
    }
  }
  view.is_on_probation = false;
  view.ejections = 0;
}

}  // namespace peridotmill
