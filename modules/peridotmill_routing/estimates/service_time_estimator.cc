#include "peridotmill_routing/estimates/service_time_estimator.h"

#include <algorithm>
#include <bit>

#include "peridotmill_core/time/milliseconds.h"

namespace peridotmill {
namespace {

// How a prior for a whole generation is divided until tokens were measured:
// a fifth of the time to the first token, and half of the permitted length.
constexpr double kFirstTokenShare = 0.2;
constexpr double kLengthShare = 0.5;

std::unique_ptr<StageEstimate> MakeEstimate(const Stage& stage) {
  const auto median = static_cast<double>(stage.service_time.median.count());
  const auto p95 = static_cast<double>(stage.service_time.p95.count());
  auto estimate = std::make_unique<StageEstimate>();
  if (stage.role != StageRole::kGenerate) {
    estimate->first = MakePrior(median, p95, kPriorWeight);
    return estimate;
  }
  const double longest = std::max(1, stage.max_output_tokens);
  const double length = std::max(1.0, kLengthShare * longest);
  const double per_token = (1 - kFirstTokenShare) * median / length;
  const double spread = median > 0 ? std::max(1.0, p95 / median) : 1.0;
  estimate->first = MakePrior(kFirstTokenShare * median, kFirstTokenShare * p95,
                              kPriorWeight);
  estimate->per_token = MakePrior(per_token, per_token * spread, kPriorWeight);
  estimate->output_tokens =
      MakePrior(length, std::min(longest, length * spread), kPriorWeight);
  return estimate;
}

StageEstimate& EstimateOf(ServiceTimeEstimator& estimator,
                          const Stage& stage,
                          SizeClass size_class) {
  auto found = estimator.stages.find(stage.name);
  if (found == estimator.stages.end()) {
    if (estimator.stages.size() >= kMaxEstimatedStages) {
      // More stages than a configuration holds: names of earlier revisions.
      estimator.stages.erase(estimator.stages.begin());
    }
    found = estimator.stages.try_emplace(stage.name).first;
  }
  auto& slot = found->second[std::min<size_t>(size_class, kSizeClasses - 1)];
  if (slot == nullptr) {
    slot = MakeEstimate(stage);
  }
  return *slot;
}

}  // namespace

SizeClass SizeClassOf(size_t input_bytes) {
  // 8 bits are 256 bytes; each class covers two bits.
  const auto bits = static_cast<int>(std::bit_width(input_bytes));
  return static_cast<SizeClass>(
      std::clamp((bits - 7) / 2, 0, static_cast<int>(kSizeClasses) - 1));
}

void RecordServiceTime(ServiceTimeEstimator& estimator,
                       const Stage& stage,
                       SizeClass size_class,
                       Duration elapsed) {
  AddSample(EstimateOf(estimator, stage, size_class).first,
            ToMilliseconds(elapsed));
}

void RecordFirstToken(ServiceTimeEstimator& estimator,
                      const Stage& stage,
                      SizeClass size_class,
                      Duration elapsed) {
  AddSample(EstimateOf(estimator, stage, size_class).first,
            ToMilliseconds(elapsed));
}

void RecordStreamEnd(ServiceTimeEstimator& estimator,
                     const Stage& stage,
                     SizeClass size_class,
                     Duration generating,
                     TokenCount output_tokens) {
  StageEstimate& estimate = EstimateOf(estimator, stage, size_class);
  const auto tokens = static_cast<double>(output_tokens.value());
  if (tokens >= 1) {
    AddSample(estimate.output_tokens, tokens);
    AddSample(estimate.per_token, ToMilliseconds(generating) / tokens);
  }
}

Duration ServiceTimeQuantile(ServiceTimeEstimator& estimator,
                             const Stage& stage,
                             SizeClass size_class,
                             double quantile) {
  const Duration first =
      FirstAnswerQuantile(estimator, stage, size_class, quantile);
  if (stage.role != StageRole::kGenerate) {
    return first;
  }
  return first + RemainingStreamTime(estimator, stage, size_class,
                                     TokenCount(0), quantile);
}

Duration FirstAnswerQuantile(ServiceTimeEstimator& estimator,
                             const Stage& stage,
                             SizeClass size_class,
                             double quantile) {
  return FromMilliseconds(
      QuantileOf(EstimateOf(estimator, stage, size_class).first, quantile));
}

Duration RemainingStreamTime(ServiceTimeEstimator& estimator,
                             const Stage& stage,
                             SizeClass size_class,
                             TokenCount tokens,
                             double quantile) {
  const StageEstimate& estimate = EstimateOf(estimator, stage, size_class);
  const auto so_far = static_cast<double>(tokens.value());
  // A length learned from longer answers must not exceed the present limit.
  const double length =
      std::min<double>(stage.max_output_tokens,
                       QuantileAbove(estimate.output_tokens, quantile, so_far));
  return FromMilliseconds(std::max(0.0, length - so_far) *
                          QuantileOf(estimate.per_token, 0.5));
}

Duration RemainingCallTime(ServiceTimeEstimator& estimator,
                           const Stage& stage,
                           SizeClass size_class,
                           Duration elapsed,
                           double quantile) {
  const StageEstimate& estimate = EstimateOf(estimator, stage, size_class);
  const double so_far = ToMilliseconds(elapsed);
  Duration remaining = FromMilliseconds(
      QuantileAbove(estimate.first, quantile, so_far) - so_far);
  if (stage.role == StageRole::kGenerate) {
    remaining += RemainingStreamTime(estimator, stage, size_class,
                                     TokenCount(0), quantile);
  }
  return std::max(Duration::zero(), remaining);
}

}  // namespace peridotmill
