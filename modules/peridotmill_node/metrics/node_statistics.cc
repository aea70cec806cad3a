#include "peridotmill_node/metrics/node_statistics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace peridotmill {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using Set = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count,
                        accumulators::tag::sum,
                        accumulators::tag::extended_p_square>>;

}  // namespace

class DurationStatistic::Accumulators {
 public:
  Accumulators()
      : set_(accumulators::extended_p_square_probabilities = kQuantiles) {}
  Set& set() { return set_; }

  // The estimate needs as many samples as it has markers.
  double Quantile(size_t index) const {
    constexpr uint64_t kMarkers = 2 * kQuantiles.size() + 3;
    if (accumulators::count(set_) == 0) {
      return 0;
    }
    if (accumulators::count(set_) < kMarkers) {
      return accumulators::sum(set_) /
             static_cast<double>(accumulators::count(set_));
    }
    return accumulators::extended_p_square(
        set_)[static_cast<std::ptrdiff_t>(index)];
  }

 private:
  Set set_;
};

DurationStatistic::DurationStatistic()
    : accumulators_(std::make_unique<Accumulators>()) {}
DurationStatistic::~DurationStatistic() = default;
DurationStatistic::DurationStatistic(DurationStatistic&&) noexcept = default;
DurationStatistic& DurationStatistic::operator=(DurationStatistic&&) noexcept =
    default;

void DurationStatistic::Add(Duration duration) {
  accumulators_->set()(
      std::chrono::duration<double, std::milli>(duration).count());
}

uint64_t DurationStatistic::count() const {
  return accumulators::count(accumulators_->set());
}

double DurationStatistic::sum_ms() const {
  return accumulators::sum(accumulators_->set());
}

double DurationStatistic::p50_ms() const {
  return accumulators_->Quantile(0);
}

double DurationStatistic::p95_ms() const {
  return accumulators_->Quantile(1);
}

double DurationStatistic::p99_ms() const {
  return accumulators_->Quantile(2);
}

}  // namespace peridotmill
