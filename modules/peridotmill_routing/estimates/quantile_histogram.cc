#include "peridotmill_routing/estimates/quantile_histogram.h"

#include <algorithm>
#include <cmath>

namespace peridotmill {
namespace {

constexpr double kLowest = 0.1;
constexpr double kGrowth = 1.1;

size_t BucketOf(double value) {
  if (!(value > kLowest)) {
    return 0;
  }
  const double position = std::log(value / kLowest) / std::log(kGrowth);
  return std::min(kQuantileBuckets - 1, static_cast<size_t>(position));
}

double LowerEdge(size_t bucket) {
  return kLowest * std::pow(kGrowth, static_cast<double>(bucket));
}

// Geometric middle of a bucket.
double ValueOf(size_t bucket) {
  return LowerEdge(bucket) * std::sqrt(kGrowth);
}

double NormalCdf(double x) {
  return 0.5 * std::erfc(-x / std::sqrt(2.0));
}

}  // namespace

QuantileHistogram MakePrior(double median, double p95, double weight) {
  // 95th percentile of the standard normal distribution.
  constexpr double kZ95 = 1.6449;
  const double centre = std::log(std::max(median, kLowest));
  const double sigma =
      std::max(0.05, (std::log(std::max(p95, kLowest)) - centre) / kZ95);
  QuantileHistogram histogram;
  double below = 0;
  for (size_t i = 0; i < kQuantileBuckets; ++i) {
    const double upper =
        i + 1 == kQuantileBuckets
            ? 1.0
            : NormalCdf((std::log(LowerEdge(i + 1)) - centre) / sigma);
    histogram.weights[i] = static_cast<float>(weight * (upper - below));
    below = upper;
  }
  histogram.total = weight;
  return histogram;
}

void AddSample(QuantileHistogram& histogram, double value) {
  if (histogram.total + 1 > kQuantileMemory) {
    const double keep = (kQuantileMemory - 1) / histogram.total;
    for (float& weight : histogram.weights) {
      weight *= static_cast<float>(keep);
    }
    histogram.total = kQuantileMemory - 1;
  }
  histogram.weights[BucketOf(value)] += 1;
  histogram.total += 1;
}

double QuantileOf(const QuantileHistogram& histogram, double quantile) {
  return QuantileAbove(histogram, quantile, 0);
}

double QuantileAbove(const QuantileHistogram& histogram,
                     double quantile,
                     double floor) {
  const size_t first = floor > 0 ? BucketOf(floor) : 0;
  double total = 0;
  for (size_t i = first; i < kQuantileBuckets; ++i) {
    total += histogram.weights[i];
  }
  // Rounding leaves traces of weight where there were no samples.
  constexpr double kNothing = 1e-6;
  if (total < kNothing) {
    return floor;
  }
  double below = 0;
  for (size_t i = first; i < kQuantileBuckets; ++i) {
    below += histogram.weights[i];
    if (below >= quantile * total - kNothing) {
      return std::max(floor, ValueOf(i));
    }
  }
  return std::max(floor, ValueOf(kQuantileBuckets - 1));
}

}  // namespace peridotmill
