#ifndef PERIDOTMILL_ROUTING_ESTIMATES_SERVICE_TIME_ESTIMATOR_H_
#define PERIDOTMILL_ROUTING_ESTIMATES_SERVICE_TIME_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "peridotmill_config/objects/objects.h"
#include "peridotmill_core/time/clock.h"
#include "peridotmill_core/units/units.h"
#include "peridotmill_routing/estimates/quantile_histogram.h"

namespace peridotmill {

// Number of input size classes. The first ends at 256 bytes, and each covers
// sizes up to four times those of the class before.
inline constexpr size_t kSizeClassCount = 8;
using SizeClass = uint8_t;
SizeClass SizeClassOf(size_t input_bytes);

// Weight, in samples, of the service times that an operator configured.
inline constexpr double kPriorWeight = 20;
// At this number of stages, a new stage replaces the first one by name.
inline constexpr size_t kMaxEstimatedStages = 256;

// Distributions measured for one stage and size class; times in milliseconds.
struct StageEstimate {
  // Time to the first token for generation, otherwise of the whole call.
  QuantileHistogram first_response;
  // Used for generation only.
  QuantileHistogram time_per_token;
  QuantileHistogram output_tokens;
};

// Estimates the service times of all stages from measurements.
struct ServiceTimeEstimator {
  std::map<StageId, std::array<std::unique_ptr<StageEstimate>, kSizeClassCount>>
      stages;
};

// Records the service time of a completed call that is not streamed.
void RecordServiceTime(ServiceTimeEstimator& estimator,
                       const Stage& stage,
                       SizeClass size_class,
                       Duration elapsed);

// Records the time to the first token of a stream.
void RecordFirstToken(ServiceTimeEstimator& estimator,
                      const Stage& stage,
                      SizeClass size_class,
                      Duration elapsed);

// Records a completed stream. `generation_time` is the time from its first
// token to its end.
void RecordStreamEnd(ServiceTimeEstimator& estimator,
                     const Stage& stage,
                     SizeClass size_class,
                     Duration generation_time,
                     TokenCount output_tokens);

// Returns the service time of the whole stage at the quantile. For generation
// this is the time to the first token at the quantile plus the median time per
// token times the output length at the quantile; an upper quantile of all three
// would overestimate the sum.
Duration ServiceTimeQuantile(ServiceTimeEstimator& estimator,
                             const Stage& stage,
                             SizeClass size_class,
                             double quantile);

// Returns the quantile of the time to the first token for generation, otherwise
// of the time of the whole call.
Duration FirstResponseQuantile(ServiceTimeEstimator& estimator,
                               const Stage& stage,
                               SizeClass size_class,
                               double quantile);

// Returns the remaining time of a stream that has produced `tokens` tokens.
Duration RemainingStreamTime(ServiceTimeEstimator& estimator,
                             const Stage& stage,
                             SizeClass size_class,
                             TokenCount tokens,
                             double quantile);

// Returns the remaining time of a call that started `elapsed` ago and has not
// responded yet.
Duration RemainingCallTime(ServiceTimeEstimator& estimator,
                           const Stage& stage,
                           SizeClass size_class,
                           Duration elapsed,
                           double quantile);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ESTIMATES_SERVICE_TIME_ESTIMATOR_H_
