#include "peridotmill_routing/estimates/service_time_estimator.h"

#include <algorithm>
#include <bit>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// The configured service time covers a whole generation. Until streams have
// been measured, a fifth of that time is assigned to the first token, and the
// output is assumed to have half of the permitted length.
constexpr double kFirstTokenTimeFraction = 0.2;
constexpr double kOutputLengthFraction = 0.5;

std::unique_ptr<StageEstimate> MakeEstimate(const Stage& stage) {
  const auto median = static_cast<double>(stage.service_time.median.count());
  const auto p95 = static_cast<double>(stage.service_time.p95.count());
  auto estimate = std::make_unique<StageEstimate>();
  if (stage.role != StageRole::kGenerate) {
    estimate->first_response = MakeLogNormalPrior(median, p95, kPriorWeight);
    return estimate;
  }
  const double longest = std::max(1, stage.max_output_tokens);
  const double length = std::max(1.0, kOutputLengthFraction * longest);
  const double time_per_token = (1 - kFirstTokenTimeFraction) * median / length;
  const double spread = median > 0 ? std::max(1.0, p95 / median) : 1.0;
  estimate->first_response =
      MakeLogNormalPrior(kFirstTokenTimeFraction * median,
                         kFirstTokenTimeFraction * p95, kPriorWeight);
  estimate->time_per_token =
      MakeLogNormalPrior(time_per_token, time_per_token * spread, kPriorWeight);
  estimate->output_tokens = MakeLogNormalPrior(
      length, std::min(longest, length * spread), kPriorWeight);
  return estimate;
}

StageEstimate& FindOrAddEstimate(ServiceTimeEstimator& estimator,
                                 const Stage& stage,
                                 SizeClass size_class) {
  auto found = estimator.stages.find(stage.name);
  if (found == estimator.stages.end()) {
    if (estimator.stages.size() >= kMaxEstimatedStages) {
      // A configuration has fewer stages, so some entries belong to stages of
      // earlier revisions.
      estimator.stages.erase(estimator.stages.begin());
    }
    found = estimator.stages.try_emplace(stage.name).first;
  }
  auto& slot = found->second[std::min<size_t>(size_class, kSizeClassCount - 1)];
  if (slot == nullptr) {
    slot = MakeEstimate(stage);
  }
  return *slot;
}

}  // namespace

SizeClass SizeClassOf(size_t input_bytes) {
  // Class 0 covers sizes of up to 8 bits, that is, below 256 bytes. Each
  // further class covers two bits.
  const auto bits = static_cast<int>(std::bit_width(input_bytes));
  return static_cast<SizeClass>(
      std::clamp((bits - 7) / 2, 0, static_cast<int>(kSizeClassCount) - 1));
}

void RecordServiceTime(ServiceTimeEstimator& estimator,
                       const Stage& stage,
                       SizeClass size_class,
                       Duration elapsed) {
  AddSample(FindOrAddEstimate(estimator, stage, size_class).first_response,
            ToMilliseconds(elapsed));
}

void RecordFirstToken(ServiceTimeEstimator& estimator,
                      const Stage& stage,
                      SizeClass size_class,
                      Duration elapsed) {
  AddSample(FindOrAddEstimate(estimator, stage, size_class).first_response,
            ToMilliseconds(elapsed));
}

void RecordStreamEnd(ServiceTimeEstimator& estimator,
                     const Stage& stage,
                     SizeClass size_class,
                     Duration generation_time,
                     TokenCount output_tokens) {
  StageEstimate& estimate = FindOrAddEstimate(estimator, stage, size_class);
  const auto tokens = static_cast<double>(output_tokens.value());
  if (tokens >= 1) {
    AddSample(estimate.output_tokens, tokens);
    AddSample(estimate.time_per_token,
              ToMilliseconds(generation_time) / tokens);
  }
}

Duration ServiceTimeQuantile(ServiceTimeEstimator& estimator,
                             const Stage& stage,
                             SizeClass size_class,
                             double quantile) {
  const Duration first =
      FirstResponseQuantile(estimator, stage, size_class, quantile);
  if (stage.role != StageRole::kGenerate) {
    return first;
  }
  return first + RemainingStreamTime(estimator, stage, size_class,
                                     TokenCount(0), quantile);
}

Duration FirstResponseQuantile(ServiceTimeEstimator& estimator,
                               const Stage& stage,
                               SizeClass size_class,
                               double quantile) {
  return FromMilliseconds(
      QuantileOf(FindOrAddEstimate(estimator, stage, size_class).first_response,
                 quantile));
}

Duration RemainingStreamTime(ServiceTimeEstimator& estimator,
                             const Stage& stage,
                             SizeClass size_class,
                             TokenCount tokens,
                             double quantile) {
  const StageEstimate& estimate =
      FindOrAddEstimate(estimator, stage, size_class);
  const auto so_far = static_cast<double>(tokens.value());
  // Lengths measured under a higher limit must not exceed the current one.
  const double length =
      std::min<double>(stage.max_output_tokens,
                       QuantileAbove(estimate.output_tokens, quantile, so_far));
  return FromMilliseconds(std::max(0.0, length - so_far) *
                          QuantileOf(estimate.time_per_token, 0.5));
}

Duration RemainingCallTime(ServiceTimeEstimator& estimator,
                           const Stage& stage,
                           SizeClass size_class,
                           Duration elapsed,
                           double quantile) {
  const StageEstimate& estimate =
      FindOrAddEstimate(estimator, stage, size_class);
  const double so_far = ToMilliseconds(elapsed);
  Duration remaining = FromMilliseconds(
      QuantileAbove(estimate.first_response, quantile, so_far) - so_far);
  if (stage.role == StageRole::kGenerate) {
    remaining += RemainingStreamTime(estimator, stage, size_class,
                                     TokenCount(0), quantile);
  }
  return std::max(Duration::zero(), remaining);
}

}  // namespace peridotmill
