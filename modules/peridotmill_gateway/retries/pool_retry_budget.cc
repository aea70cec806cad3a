#include "peridotmill_gateway/retries/pool_retry_budget.h"

#include <algorithm>
#include <numeric>

namespace peridotmill {

PoolRetryBudget::Counts& PoolRetryBudget::AdvanceCounts(const PoolId& pool,
                                                        TimePoint now) {
  Counts& counts = counts_[pool];
  const Duration slice = settings_.window / kSliceCount;
  if (now - counts.slice_start >= settings_.window + slice) {
    counts = Counts();
    counts.slice_start = now;
  }
  while (now - counts.slice_start >= slice) {
    std::shift_right(counts.first_calls.begin(), counts.first_calls.end(), 1);
    std::shift_right(counts.retries.begin(), counts.retries.end(), 1);
    counts.first_calls[0] = 0;
    counts.retries[0] = 0;
    counts.slice_start += slice;
  }
  return counts;
}

bool PoolRetryBudget::TryTakeRetries(const PoolId& pool,
                                     int count,
                                     TimePoint now) {
  Counts& counts = AdvanceCounts(pool, now);
  const double first_calls = std::accumulate(counts.first_calls.begin(),
                                             counts.first_calls.end() - 2, 0.0);
  const double retries =
      std::accumulate(counts.retries.begin(), counts.retries.end(), 0.0);
  if (retries + count >
      settings_.ratio * first_calls + settings_.node_allowance) {
    return false;
  }
  counts.retries[0] += count;
  return true;
}

}  // namespace peridotmill
