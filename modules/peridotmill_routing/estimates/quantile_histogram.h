#ifndef PERIDOTMILL_ROUTING_ESTIMATES_QUANTILE_HISTOGRAM_H_
#define PERIDOTMILL_ROUTING_ESTIMATES_QUANTILE_HISTOGRAM_H_

#include <array>
#include <cstddef>

namespace peridotmill {

// Buckets grow by 10% each, from 0.1 to above 600,000.
inline constexpr size_t kQuantileBuckets = 164;
// Weight of all samples together stays below this; it is how many samples the
// estimate remembers.
inline constexpr double kQuantileMemory = 64;

// Decaying histogram of positive values with logarithmic buckets; quantiles
// are exact to 5%.
//
// Boost.Accumulators' P-square estimator was considered: it keeps five markers
// per quantile instead of 164 buckets, but it can neither forget old samples
// nor start from a weighted prior, and the conditional quantiles of a stream
// in progress need the whole distribution.
struct QuantileHistogram {
  std::array<float, kQuantileBuckets> weights = {};
  double total = 0;
};

// A log-normal distribution of the given weight through median and 95th
// percentile. Both must be positive.
QuantileHistogram MakePrior(double median, double p95, double weight);

void AddSample(QuantileHistogram& histogram, double value);

// Value below which the share `quantile` of the weight lies; 0 when empty.
double QuantileOf(const QuantileHistogram& histogram, double quantile);

// The same among values above `floor`; at least `floor`.
double QuantileAbove(const QuantileHistogram& histogram,
                     double quantile,
                     double floor);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ESTIMATES_QUANTILE_HISTOGRAM_H_
