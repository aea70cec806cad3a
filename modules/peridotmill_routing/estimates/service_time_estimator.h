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

// Classes of input size, each four times the one before, from 256 bytes.
inline constexpr size_t kSizeClasses = 8;
using SizeClass = uint8_t;
SizeClass SizeClassOf(size_t input_bytes);

// Operators' priors weigh as many samples as this.
inline constexpr double kPriorWeight = 20;
// Stages beyond this number displace the least recently created.
inline constexpr size_t kMaxEstimatedStages = 256;

// What was learned of one stage and size class; times in milliseconds.
struct StageEstimate {
  // Whole calls; for generation, the time to the first token.
  QuantileHistogram first;
  // Generation only.
  QuantileHistogram per_token;
  QuantileHistogram output_tokens;
};

// Learned service times of all stages.
struct ServiceTimeEstimator {
  std::map<StageId, std::array<std::unique_ptr<StageEstimate>, kSizeClasses>>
      stages;
};

// Records a completed call that is not streamed.
void RecordServiceTime(ServiceTimeEstimator& estimator,
                       const Stage& stage,
                       SizeClass size_class,
                       Duration elapsed);

void RecordFirstToken(ServiceTimeEstimator& estimator,
                      const Stage& stage,
                      SizeClass size_class,
                      Duration elapsed);

// Records a completed stream; `generating` is the time after its first token.
void RecordStreamEnd(ServiceTimeEstimator& estimator,
                     const Stage& stage,
                     SizeClass size_class,
                     Duration generating,
                     TokenCount output_tokens);

// Time of the whole stage at the quantile. For generation this is the time to
// the first token at the quantile plus the median time per token times the
// output length at the quantile; taking an upper quantile of all three would
// overstate the sum.
Duration ServiceTimeQuantile(ServiceTimeEstimator& estimator,
                             const Stage& stage,
                             SizeClass size_class,
                             double quantile);

// Time to the first token, or of the whole call when not streamed.
Duration FirstAnswerQuantile(ServiceTimeEstimator& estimator,
                             const Stage& stage,
                             SizeClass size_class,
                             double quantile);

// Time that a stream still needs after `tokens` tokens.
Duration RemainingStreamTime(ServiceTimeEstimator& estimator,
                             const Stage& stage,
                             SizeClass size_class,
                             TokenCount tokens,
                             double quantile);

// Time that a running call which has answered nothing yet still needs, given
// that it has taken `elapsed` so far.
Duration RemainingCallTime(ServiceTimeEstimator& estimator,
                           const Stage& stage,
                           SizeClass size_class,
                           Duration elapsed,
                           double quantile);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ESTIMATES_SERVICE_TIME_ESTIMATOR_H_
