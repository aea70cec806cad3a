#ifndef PERIDOTMILL_NODE_METRICS_NODE_STATISTICS_H_
#define PERIDOTMILL_NODE_METRICS_NODE_STATISTICS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "peridotmill_core/peridotmill_core.h"

namespace peridotmill {

// Quantiles of one duration in milliseconds, estimated in constant memory.
// @see boost/accumulators/statistics/extended_p_square.hpp
class DurationStatistic {
 public:
  DurationStatistic();
  ~DurationStatistic();
  DurationStatistic(DurationStatistic&&) noexcept;
  DurationStatistic& operator=(DurationStatistic&&) noexcept;

  void Add(Duration duration);

  uint64_t count() const;
  double sum_ms() const;
  double p50_ms() const;
  double p95_ms() const;
  double p99_ms() const;

 private:
  class Accumulators;
  std::unique_ptr<Accumulators> accumulators_;
};

// What a node counts over its life, besides reasons and cost.
struct NodeStatistics {
  uint64_t requests = 0;
  uint64_t completed_on_time = 0;
  uint64_t completed_late = 0;
  uint64_t first_attempts = 0;
  uint64_t repeated_attempts = 0;
  uint64_t resumed_streams = 0;
  uint64_t tokens_delivered = 0;
  DurationStatistic time_to_first_token;
  DurationStatistic request_duration;
};

}  // namespace peridotmill

#endif  // PERIDOTMILL_NODE_METRICS_NODE_STATISTICS_H_
