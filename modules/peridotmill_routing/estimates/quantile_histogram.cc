#include "peridotmill_routing/estimates/quantile_histogram.h"

#include <algorithm>
#include <cmath>

namespace peridotmill {
namespace {

constexpr double kLowestBucketEdge = 0.1;
constexpr double kBucketGrowth = 1.1;

size_t BucketIndex(double value) {
  if (!(value > kLowestBucketEdge)) {
    return 0;
  }
  const double position =
      std::log(value / kLowestBucketEdge) / std::log(kBucketGrowth);
  return std::min(kHistogramBuckets - 1, static_cast<size_t>(position));
}

double BucketLowerEdge(size_t bucket) {
  return kLowestBucketEdge *
         std::pow(kBucketGrowth, static_cast<double>(bucket));
}

// Returns the geometric mean of a bucket's edges.
double BucketCentre(size_t bucket) {
  return BucketLowerEdge(bucket) * std::sqrt(kBucketGrowth);
}

double NormalCdf(double x) {
  return 0.5 * std::erfc(-x / std::sqrt(2.0));
}

}  // namespace

QuantileHistogram MakeLogNormalPrior(double median, double p95, double weight) {
  // 95th percentile of the standard normal distribution.
  constexpr double kZ95 = 1.6449;
  const double centre = std::log(std::max(median, kLowestBucketEdge));
  const double sigma = std::max(
      0.05, (std::log(std::max(p95, kLowestBucketEdge)) - centre) / kZ95);
  QuantileHistogram histogram;
  double below = 0;
  for (size_t i = 0; i < kHistogramBuckets; ++i) {
    const double upper =
        i + 1 == kHistogramBuckets
            ? 1.0
            : NormalCdf((std::log(BucketLowerEdge(i + 1)) - centre) / sigma);
    histogram.weights[i] = static_cast<float>(weight * (upper - below));
    below = upper;
  }
  histogram.total = weight;
  return histogram;
}

void AddSample(QuantileHistogram& histogram, double value) {
  if (histogram.total + 1 > kMaxHistogramWeight) {
    const double keep = (kMaxHistogramWeight - 1) / histogram.total;
    for (float& weight : histogram.weights) {
      weight *= static_cast<float>(keep);
    }
    histogram.total = kMaxHistogramWeight - 1;
  }
  histogram.weights[BucketIndex(value)] += 1;
  histogram.total += 1;
}

double QuantileOf(const QuantileHistogram& histogram, double quantile) {
  return QuantileAbove(histogram, quantile, 0);
}

double QuantileBound(const QuantileHistogram& histogram, double quantile) {
  return QuantileOf(histogram, quantile) * std::sqrt(kBucketGrowth);
}

double QuantileAbove(const QuantileHistogram& histogram,
                     double quantile,
                     double floor) {
  const size_t first = floor > 0 ? BucketIndex(floor) : 0;
  double total = 0;
  for (size_t i = first; i < kHistogramBuckets; ++i) {
    total += histogram.weights[i];
  }
  // Rounding errors leave small weights in buckets without samples.
  constexpr double kNegligibleWeight = 1e-6;
  if (total < kNegligibleWeight) {
    return floor;
  }
  double below = 0;
  for (size_t i = first; i < kHistogramBuckets; ++i) {
    below += histogram.weights[i];
    if (below >= quantile * total - kNegligibleWeight) {
      return std::max(floor, BucketCentre(i));
    }
  }
  return std::max(floor, BucketCentre(kHistogramBuckets - 1));
}

}  // namespace peridotmill
