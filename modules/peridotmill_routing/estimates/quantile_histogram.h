#ifndef PERIDOTMILL_ROUTING_ESTIMATES_QUANTILE_HISTOGRAM_H_
#define PERIDOTMILL_ROUTING_ESTIMATES_QUANTILE_HISTOGRAM_H_

#include <array>
#include <cstddef>

namespace peridotmill {

// Bucket edges grow by 10% each, from 0.1 to above 600,000.
inline constexpr size_t kHistogramBuckets = 164;
// Upper limit of the total weight. Older samples are scaled down to stay below
// it, so that the histogram reflects about this many recent samples.
inline constexpr double kMaxHistogramWeight = 64;

// Histogram of positive values with logarithmic buckets, in which old samples
// decay. Quantiles are accurate to 5%.
//
// Boost.Accumulators' P-square estimator is no alternative: it keeps five
// markers per quantile instead of 164 buckets, but it can neither forget old
// samples nor start from a weighted prior, and the conditional quantiles of a
// stream in progress need the whole distribution.
struct QuantileHistogram {
  std::array<float, kHistogramBuckets> weights = {};
  double total = 0;
};

// Returns a log-normal distribution of the given weight with this median and
// 95th percentile. Both must be positive.
QuantileHistogram MakeLogNormalPrior(double median, double p95, double weight);

void AddSample(QuantileHistogram& histogram, double value);

// Returns the value below which the fraction `quantile` of the weight lies, or
// 0 when the histogram is empty.
double QuantileOf(const QuantileHistogram& histogram, double quantile);

// Returns a value that at least this share of the samples does not exceed: the
// upper edge of the bucket whose centre QuantileOf() returns.
double QuantileBound(const QuantileHistogram& histogram, double quantile);

// Returns the conditional quantile among the values above `floor`, which is at
// least `floor`.
double QuantileAbove(const QuantileHistogram& histogram,
                     double quantile,
                     double floor);

}  // namespace peridotmill

#endif  // PERIDOTMILL_ROUTING_ESTIMATES_QUANTILE_HISTOGRAM_H_
