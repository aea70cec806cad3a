#include "peridotmill_gateway/pace/engine_pace.h"

#include <algorithm>
#include <cmath>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

constexpr double kNominalResponseMs = 25;
constexpr double kNominalPrefillTokensPerMs = 50;
// Weight of a new sample once there are enough; the first ones weigh more.
constexpr double kSampleWeight = 0.2;
constexpr double kUsualPaceWeight = 0.02;
constexpr double kMinSampleRatio = 0.3;
constexpr double kMaxSampleRatio = 6;
constexpr Duration kPaceHalfLife = std::chrono::seconds(10);
constexpr double kSlowPace = 2;
constexpr double kNoLongerSlowPace = 1.4;

double MovingAverageWeight(double weight, int samples) {
  // As if one sample of the usual pace had come first.
  return std::max(weight, 1.0 / (samples + 2));
}

}  // namespace

Duration NominalResponseTime(double tokens) {
  return FromMilliseconds(kNominalResponseMs +
                          tokens / kNominalPrefillTokensPerMs);
}

void RecordResponseTime(EnginePace& engine,
                        UsualPace& usual,
                        double tokens,
                        Duration elapsed,
                        TimePoint now) {
  const double ratio =
      ToMilliseconds(elapsed) / ToMilliseconds(NominalResponseTime(tokens));
  if (ratio < kMinSampleRatio * usual.ratio) {
    return;
  }
  const double bounded = std::min(ratio, kMaxSampleRatio * usual.ratio);
  usual.ratio += MovingAverageWeight(kUsualPaceWeight, usual.samples) *
                 (bounded - usual.ratio);
  ++usual.samples;
  const double log_sample = std::log(
      std::clamp(ratio / usual.ratio, kMinSampleRatio, kMaxSampleRatio));
  const double log_pace = std::log(EstimateEnginePace(engine, now));
  engine.log_pace =
      log_pace + MovingAverageWeight(kSampleWeight, engine.samples) *
                     (log_sample - log_pace);
  ++engine.samples;
  engine.updated_at = now;
}

double EstimateEnginePace(const EnginePace& engine, TimePoint now) {
  return std::exp(engine.log_pace *
                  ExponentialDecay(now - engine.updated_at, kPaceHalfLife));
}

double PrefillTokensPerMs(const EnginePace& engine,
                          const UsualPace& usual,
                          TimePoint now) {
  return kNominalPrefillTokensPerMs /
         (usual.ratio * EstimateEnginePace(engine, now));
}

bool UpdateIsSlow(EnginePace& engine, TimePoint now) {
  const bool was_slow = engine.is_slow;
  engine.is_slow = EstimateEnginePace(engine, now) >=
                   (was_slow ? kNoLongerSlowPace : kSlowPace);
  return engine.is_slow != was_slow;
}

}  // namespace peridotmill
