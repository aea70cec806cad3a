#include "peridotmill_limits/concurrency/adaptive_limit.h"

#include <algorithm>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// Single calls vary several times over, so means are compared, not calls.
constexpr double kLatencySmoothing = 1.0 / 8;
constexpr int32_t kMinSamples = 8;
constexpr double kTolerance = 2.5;
constexpr double kDecrease = 0.8;
// One decrease per interval: calls that were open together tell one story.
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(200);
constexpr Duration kMinimumWindow = std::chrono::seconds(30);
// Bounds of the weight of a new report of foreign load.
constexpr double kMinForeignWeight = 0.01;
constexpr double kMaxForeignWeight = 0.5;
constexpr double kGrowthOverGuess = 4;

void RollWindow(LatencyBaseline& baseline, TimePoint now) {
  if (now - baseline.window_started < kMinimumWindow) {
    return;
  }
  baseline.previous_minimum = baseline.minimum;
  baseline.minimum = baseline.smoothed;
  baseline.window_started = now;
}

void Decrease(AdaptiveLimit& limit, TimePoint now) {
  if (now - limit.decreased_at >= kDecreaseInterval) {
    limit.limit = std::max(1.0, limit.limit * kDecrease);
    limit.decreased_at = now;
  }
}

// Returns the smoothed latency over its recent minimum; 0 while unknown.
double UpdateBaseline(LatencyBaseline& baseline,
                      double latency,
                      TimePoint now) {
  ++baseline.samples;
  if (baseline.samples < kMinSamples) {
    baseline.smoothed += (latency - baseline.smoothed) / baseline.samples;
    return 0;
  }
  baseline.smoothed += kLatencySmoothing * (latency - baseline.smoothed);
  if (baseline.samples == kMinSamples) {
    baseline.minimum = baseline.smoothed;
    baseline.previous_minimum = baseline.smoothed;
    baseline.window_started = now;
  }
  RollWindow(baseline, now);
  baseline.minimum = std::min(baseline.minimum, baseline.smoothed);
  const double lowest = std::min(baseline.minimum, baseline.previous_minimum);
  return lowest > 0 ? baseline.smoothed / lowest : 0;
}

}  // namespace

AdaptiveLimit MakeAdaptiveLimit(const Pool& pool) {
  AdaptiveLimit limit;
  limit.limit = std::max(1, pool.concurrency);
  limit.most = limit.limit * kGrowthOverGuess;
  return limit;
}

AdaptiveLimit& GetOrCreateLimit(AdaptiveLimits& limits,
                                const EndpointId& endpoint,
                                const Pool& pool) {
  const auto found = limits.find(endpoint);
  if (found != limits.end()) {
    return found->second;
  }
  if (limits.size() >= kMaxLimits) {
    // Names of endpoints that have gone; the rest is learned again.
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
      limit.baselines[std::min<size_t>(size_class, kLatencyClasses - 1)];
  const double ratio = UpdateBaseline(baseline, ToMilliseconds(latency), now);
  if (ratio == 0) {
    return;
  }
  if (ratio > kTolerance) {
    Decrease(limit, now);
  } else if (in_flight * 2 >= EffectiveLimit(limit)) {
    // An unused limit must not grow: nothing shows that it would hold.
    limit.limit = std::min(limit.most, limit.limit + 1.0 / limit.limit);
  }
}

void RecordOverload(AdaptiveLimit& limit, TimePoint now) {
  Decrease(limit, now);
}

void RecordOtherNodesLoad(AdaptiveLimit& limit, double foreign_load) {
  const double foreign = std::max(0.0, foreign_load);
  // n nodes that all follow the same reports swing between all and nothing
  // unless each corrects by less than 2/n; the load tells how many there are.
  const double nodes = 1 + foreign / EffectiveLimit(limit);
  const double weight =
      std::clamp(1 / nodes, kMinForeignWeight, kMaxForeignWeight);
  limit.foreign_load += weight * (foreign - limit.foreign_load);
}

int32_t EffectiveLimit(const AdaptiveLimit& limit) {
  return std::max(1, static_cast<int32_t>(limit.limit - limit.foreign_load));
}

}  // namespace peridotmill
