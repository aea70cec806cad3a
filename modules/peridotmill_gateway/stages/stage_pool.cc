#include "peridotmill_gateway/stages/stage_pool.h"

#include <algorithm>
#include <limits>

#include "peridotmill_core/time/milliseconds.h"
#include "peridotmill_gateway/placement/endpoint_placement.h"
#include "peridotmill_gateway/stages/batch_queue.h"

namespace peridotmill {
namespace {

// A call times out after this many times its predicted time, plus the margin:
// slow endpoints take four to five times as long, and two calls of other nodes
// may be queued ahead of it.
constexpr int kCallTimeoutFactor = 3;
constexpr Duration kCallTimeoutMargin = std::chrono::milliseconds(300);
// A pool is saturated when at most one endpoint, or 1/kSaturatedIdleDivisor of
// its endpoints, is idle and the waiting items would fill at least
// 1/kSaturatedBacklogDivisor of a call to each endpoint.
constexpr ptrdiff_t kSaturatedIdleDivisor = 8;
constexpr ptrdiff_t kSaturatedBacklogDivisor = 4;

// Weight of the newest call in an endpoint's moving average of the call time
// ratio, and the bounds of one call's ratio: a slow endpoint takes up to eight
// times as long.
constexpr double kCallTimeRatioWeight = 0.3;
constexpr double kMinCallTimeRatio = 0.3;
constexpr double kMaxCallTimeRatio = 8;

// Share of an endpoint's result memory that results of another coordinator are
// assumed to take when this coordinator has just begun to use the pool and has
// found such results. The share decreases to zero over the result retention.
constexpr double kAssumedForeignMemoryShare = 0.6;
double ToSeconds(Duration duration) {
  constexpr double kMillisecondsPerSecond = 1000;
  return ToMilliseconds(duration) / kMillisecondsPerSecond;
}

}  // namespace

Duration StageCallTimeout(const StagePoolDefinition& pool, int item_count) {
  return kCallTimeoutFactor * PredictCallTime(pool, item_count) +
         kCallTimeoutMargin;
}

bool IsStageEndpointUsable(const Endpoint& endpoint,
                           const StagePoolDefinition& pool,
                           TimePoint now) {
  return IsEndpointUsable(
      endpoint, now,
      kCallTimeoutFactor * PredictCallTime(pool, pool.batch_size));
}

std::vector<EndpointPtr> FindIdleEndpoints(
    const std::vector<EndpointPtr>& serving,
    const StagePoolDefinition& pool,
    TimePoint now) {
  std::vector<EndpointPtr> idle;
  for (const EndpointPtr& endpoint : serving) {
    if (endpoint->open_calls < pool.max_concurrent_calls &&
        IsStageEndpointUsable(*endpoint, pool, now)) {
      idle.push_back(endpoint);
    }
  }
  std::stable_sort(idle.begin(), idle.end(),
                   [](const EndpointPtr& a, const EndpointPtr& b) {
                     return a->result_bytes < b->result_bytes;
                   });
  return idle;
}

bool IsPoolSaturated(const std::vector<EndpointPtr>& serving,
                     const StagePoolDefinition& pool,
                     int waiting_items,
                     TimePoint now) {
  const auto idle = std::count_if(
      serving.begin(), serving.end(), [&](const EndpointPtr& endpoint) {
        return endpoint->open_calls < pool.max_concurrent_calls &&
               !IsHeldOff(*endpoint, now);
      });
  return idle <= std::max<ptrdiff_t>(
                     1, std::ssize(serving) / kSaturatedIdleDivisor) &&
         ptrdiff_t{waiting_items} * kSaturatedBacklogDivisor >=
             std::ssize(serving) * pool.batch_size;
}

std::map<FailureDomainId, Duration> PredictDomainWaits(
    const std::vector<EndpointPtr>& serving,
    const StagePoolDefinition& pool,
    const std::unordered_map<EndpointId, TimePoint>& call_ends,
    TimePoint now) {
  std::map<FailureDomainId, Duration> waits;
  for (const EndpointPtr& endpoint : serving) {
    if (!IsStageEndpointUsable(*endpoint, pool, now)) {
      continue;
    }
    const auto call_end = call_ends.find(endpoint->registration.id);
    const Duration wait =
        call_end == call_ends.end() ||
                endpoint->open_calls < pool.max_concurrent_calls
            ? Duration::zero()
            : std::max(Duration::zero(), call_end->second - now);
    const auto [entry, is_new] =
        waits.emplace(endpoint->registration.failure_domain, wait);
    entry->second = std::min(entry->second, wait);
  }
  return waits;
}

int64_t EstimateFreeResultBytes(const Endpoint& endpoint,
                                const StagePoolDefinition& pool,
                                TimePoint now) {
  if (pool.result_capacity_bytes == 0) {
    return std::numeric_limits<int64_t>::max();
  }
  // Foreign results expire, or are released, within the result retention.
  const double age = ToMilliseconds(now - endpoint.untracked_results_since) /
                     ToMilliseconds(pool.result_retention);
  const double foreign = static_cast<double>(endpoint.untracked_result_bytes) *
                         std::max(0.0, 1 - age);
  return pool.result_capacity_bytes - endpoint.result_bytes -
         static_cast<int64_t>(foreign);
}

void AssumeForeignResultsAt(const std::vector<EndpointPtr>& endpoints,
                            const StagePoolDefinition& pool,
                            TimePoint now) {
  const auto assumed =
      static_cast<int64_t>(kAssumedForeignMemoryShare *
                           static_cast<double>(pool.result_capacity_bytes));
  for (const EndpointPtr& endpoint : endpoints) {
    if (endpoint->untracked_result_bytes < assumed) {
      endpoint->untracked_result_bytes = assumed;
      endpoint->untracked_results_since = now;
    }
  }
}

void RecordCallTime(Endpoint& endpoint,
                    const StagePoolDefinition& pool,
                    int item_count,
                    Duration elapsed) {
  const double ratio = ToMilliseconds(elapsed) /
                       ToMilliseconds(PredictCallTime(pool, item_count));
  endpoint.call_time_ratio +=
      kCallTimeRatioWeight *
      (std::clamp(ratio, kMinCallTimeRatio, kMaxCallTimeRatio) -
       endpoint.call_time_ratio);
}

PoolThroughput EstimateThroughput(const std::vector<EndpointPtr>& serving,
                                  const StagePoolDefinition& pool,
                                  Duration result_storage_time,
                                  TimePoint now) {
  PoolThroughput throughput;
  const double call_seconds = ToSeconds(PredictCallTime(pool, pool.batch_size));
  for (const EndpointPtr& endpoint : serving) {
    if (!IsStageEndpointUsable(*endpoint, pool, now)) {
      continue;
    }
    throughput.items_per_second += pool.max_concurrent_calls * pool.batch_size /
                                   (call_seconds * endpoint->call_time_ratio);
    throughput.result_bytes_per_second +=
        static_cast<double>(pool.result_capacity_bytes) /
        ToSeconds(result_storage_time);
  }
  return throughput;
}

}  // namespace peridotmill
