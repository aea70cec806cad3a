#include "peridotmill_limits/concurrency/adaptive_limit.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// The latency of single calls varies by a factor of several, so the limit is
// adapted to the exponentially smoothed latency.
constexpr double kLatencySmoothingFactor = 1.0 / 8;
constexpr int32_t kMinBaselineSamples = 8;
// Smoothed latency over its recent minimum above which the limit decreases.
constexpr double kMaxLatencyRatio = 2.5;
constexpr double kDecreaseFactor = 0.8;
// The limit decreases at most once per interval, because calls that were in
// flight together all report the same overload.
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(200);
constexpr Duration kBaselineWindow = std::chrono::seconds(30);
// Bounds of the smoothing weight of a new report of other nodes' load.
constexpr double kMinOtherNodesWeight = 0.01;
constexpr double kMaxOtherNodesWeight = 0.5;
// Maximum limit, as a multiple of the pool's configured concurrency.
constexpr double kMaxGrowthFactor = 4;

// Starts a new window of the minimum when the present one has ended.
void RotateWindowIfDue(LatencyBaseline& baseline, TimePoint now) {
  if (now - baseline.window_started_at < kBaselineWindow) {
    return;
  }
  baseline.previous_minimum_ms = baseline.minimum_ms;
  baseline.minimum_ms = baseline.smoothed_ms;
  baseline.window_started_at = now;
}

// Decreases the limit unless it decreased within kDecreaseInterval.
void DecreaseLimit(AdaptiveLimit& limit, TimePoint now) {
  if (now - limit.decreased_at >= kDecreaseInterval) {
    limit.limit = std::max(1.0, limit.limit * kDecreaseFactor);
    limit.decreased_at = now;
  }
}

// Adds a sample. Returns the ratio of the smoothed latency to its recent
// minimum, or 0 while there are fewer than kMinBaselineSamples samples or the
// minimum is 0.
double UpdateBaseline(LatencyBaseline& baseline,
                      double latency_ms,
                      TimePoint now) {
  ++baseline.samples;
  if (baseline.samples < kMinBaselineSamples) {
    baseline.smoothed_ms +=
        (latency_ms - baseline.smoothed_ms) / baseline.samples;
    return 0;
  }
  baseline.smoothed_ms +=
      kLatencySmoothingFactor * (latency_ms - baseline.smoothed_ms);
  if (baseline.samples == kMinBaselineSamples) {
    baseline.minimum_ms = baseline.smoothed_ms;
    baseline.previous_minimum_ms = baseline.smoothed_ms;
    baseline.window_started_at = now;
  }
  RotateWindowIfDue(baseline, now);
  baseline.minimum_ms = std::min(baseline.minimum_ms, baseline.smoothed_ms);
  const double lowest_ms =
      std::min(baseline.minimum_ms, baseline.previous_minimum_ms);
  return lowest_ms > 0 ? baseline.smoothed_ms / lowest_ms : 0;
}

}  // namespace

AdaptiveLimit MakeAdaptiveLimit(const Pool& pool) {
  AdaptiveLimit limit;
  limit.limit = std::max(1, pool.concurrency);
  limit.max_limit = limit.limit * kMaxGrowthFactor;
  return limit;
}

AdaptiveLimit& GetOrCreateLimit(AdaptiveLimits& limits,
                                const EndpointId& endpoint,
                                const Pool& pool) {
  const auto found = limits.find(endpoint);
  if (found != limits.end()) {
    return found->second;
  }
  if (limits.size() >= kMaxEndpointLimits) {
    // Most entries belong to endpoints that no longer exist. The limits of the
    // others adapt again.
    limits.clear();
  }
  return limits.emplace(endpoint, MakeAdaptiveLimit(pool)).first->second;
}

void RecordLatency(AdaptiveLimit& limit,
                   uint8_t size_class,
                   Duration latency,
                   int32_t in_flight,
                   TimePoint now) {
  LatencyBaseline& baseline =
      limit.baselines[std::min<size_t>(size_class, kLatencyClassCount - 1)];
  const double ratio = UpdateBaseline(baseline, ToMilliseconds(latency), now);
  if (ratio == 0) {
    return;
  }
  if (ratio > kMaxLatencyRatio) {
    DecreaseLimit(limit, now);
  } else if (in_flight * 2 >= EffectiveLimit(limit)) {
    // A limit that is not used must not grow, because no measurement shows that
    // the endpoint could sustain it.
    limit.limit = std::min(limit.max_limit, limit.limit + 1.0 / limit.limit);
  }
}

void RecordOverload(AdaptiveLimit& limit, TimePoint now) {
  DecreaseLimit(limit, now);
}

void RecordOtherNodesLoad(AdaptiveLimit& limit, double other_nodes_load) {
  const double reported = std::max(0.0, other_nodes_load);
  // If n nodes react to the same reports, their limits oscillate between all
  // and none of the endpoint's capacity unless each node corrects by less than
  // 2/n. The number of nodes is estimated from the load.
  const double nodes = 1 + reported / EffectiveLimit(limit);
  const double weight =
      std::clamp(1 / nodes, kMinOtherNodesWeight, kMaxOtherNodesWeight);
  limit.other_nodes_load += weight * (reported - limit.other_nodes_load);
}

int32_t EffectiveLimit(const AdaptiveLimit& limit) {
  return std::max(1,
                  static_cast<int32_t>(limit.limit - limit.other_nodes_load));
}

}  // namespace peridotmill
