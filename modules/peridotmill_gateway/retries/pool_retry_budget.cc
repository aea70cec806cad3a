#include "peridotmill_gateway/retries/pool_retry_budget.h"

#include <algorithm>
#include <numeric>

namespace peridotmill {

PoolRetryBudget::Counts& PoolRetryBudget::CountsOf(const PoolId& pool,
                                                   TimePoint now) {
  Counts& counts = counts_[pool];
  const Duration slice = settings_.window / kSlices;
  if (now - counts.slice_start >= settings_.window + slice) {
    counts = Counts();
    counts.slice_start = now;
  }
  while (now - counts.slice_start >= slice) {
    std::shift_right(counts.first.begin(), counts.first.end(), 1);
    std::shift_right(counts.repeated.begin(), counts.repeated.end(), 1);
    counts.first[0] = 0;
    counts.repeated[0] = 0;
    counts.slice_start += slice;
  }
  return counts;
}

bool PoolRetryBudget::TryTakeRetries(const PoolId& pool,
                                     int count,
                                     TimePoint now) {
  Counts& counts = CountsOf(pool, now);
  const double first =
      std::accumulate(counts.first.begin(), counts.first.end() - 2, 0.0);
  const double repeated =
      std::accumulate(counts.repeated.begin(), counts.repeated.end(), 0.0);
  if (repeated + count > settings_.ratio * first + settings_.node_allowance) {
    return false;
  }
  counts.repeated[0] += count;
  return true;
}

}  // namespace peridotmill
